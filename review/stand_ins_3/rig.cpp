#include "rig.h"

#include <algorithm>
#include <arpa/inet.h>
#include <cctype>
#include <chrono>
#include <csignal>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <filesystem>
#include <iostream>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <random>
#include <sstream>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

namespace rig {

using json = nlohmann::json;

namespace {

const auto ProgramStart = std::chrono::steady_clock::now();

std::string lower(std::string Text) {
  std::transform(Text.begin(), Text.end(), Text.begin(),
                 [](unsigned char Byte) { return std::tolower(Byte); });
  return Text;
}

sockaddr_in socketAddress(const std::string &Ip, int Port) {
  sockaddr_in Address{};
  Address.sin_family = AF_INET;
  Address.sin_port = htons(static_cast<std::uint16_t>(Port));
  ::inet_pton(AF_INET, Ip.c_str(), &Address.sin_addr);
  return Address;
}

int bindListener(const std::string &Ip, int Port) {
  const int Socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int On = 1;
  ::setsockopt(Socket, SOL_SOCKET, SO_REUSEADDR, &On, sizeof On);
  const auto Address = socketAddress(Ip, Port);
  if (::bind(Socket, reinterpret_cast<const sockaddr *>(&Address),
             sizeof Address) != 0 ||
      ::listen(Socket, 512) != 0) {
    ::close(Socket);
    return -1;
  }
  return Socket;
}

constexpr std::string_view Base64Digits =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

std::string toBase64(const std::string &Bytes) {
  std::string Text;
  for (std::size_t I = 0; I < Bytes.size(); I += 3) {
    std::uint32_t Group = 0;
    const auto Count = std::min<std::size_t>(3, Bytes.size() - I);
    for (std::size_t K = 0; K < 3; ++K)
      Group = Group << 8U |
              (K < Count ? static_cast<unsigned char>(Bytes[I + K]) : 0U);
    for (std::size_t K = 0; K < 4; ++K)
      Text += K <= Count ? Base64Digits[Group >> (18 - 6 * K) & 63U] : '=';
  }
  return Text;
}

std::string fromBase64(const std::string &Text) {
  std::string Bytes;
  std::uint32_t Group = 0;
  unsigned Bits = 0;
  for (const char Digit : Text) {
    const auto Value = Base64Digits.find(Digit);
    if (Value == std::string_view::npos)
      break;
    Group = Group << 6U | static_cast<std::uint32_t>(Value);
    Bits += 6;
    if (Bits >= 8) {
      Bits -= 8;
      Bytes += static_cast<char>(Group >> Bits & 255U);
    }
  }
  return Bytes;
}

std::string queryValue(const std::string &Target, const std::string &Name) {
  const auto Query = Target.find('?');
  if (Query == std::string::npos)
    return {};
  std::istringstream Parts(Target.substr(Query + 1));
  std::string Part;
  while (std::getline(Parts, Part, '&'))
    if (Part.starts_with(Name + "="))
      return Part.substr(Name.size() + 1);
  return {};
}

std::uint64_t queryNumber(const std::string &Target, const std::string &Name) {
  const auto Text = queryValue(Target, Name);
  return Text.empty() ? 0 : std::stoull(Text);
}

std::string
serialise(const std::string &Start,
          const std::vector<std::pair<std::string, std::string>> &Fields,
          const std::string &Body) {
  std::string Bytes = Start + "\r\n";
  for (const auto &[Name, Value] : Fields)
    Bytes.append(Name).append(": ").append(Value).append("\r\n");
  return Bytes + "Content-Length: " + std::to_string(Body.size()) + "\r\n\r\n" +
         Body;
}

std::string TemporaryPath;

void removeTemporary() {
  std::error_code Ignored;
  std::filesystem::remove_all(TemporaryPath, Ignored);
}

} // namespace

double now() {
  return std::chrono::duration<double>(std::chrono::steady_clock::now() -
                                       ProgramStart)
      .count();
}

void sleepFor(double Seconds) {
  std::this_thread::sleep_for(
      std::chrono::duration<double>(std::max(0.0, Seconds)));
}

void sleepUntil(double Time) { sleepFor(Time - now()); }

std::int64_t unixMilliseconds() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

recorder::recorder(const std::string &Path) : File(Path) {}

void recorder::line(const std::string &Text) {
  const std::lock_guard Lock(Mutex);
  char Time[32];
  std::snprintf(Time, sizeof Time, "%8.3f ", now());
  File << Time << Text << std::endl;
}

std::string http_message::field(const std::string &Name) const {
  for (const auto &[Key, Value] : Fields)
    if (lower(Key) == lower(Name))
      return Value;
  return {};
}

std::string http_message::word(std::size_t Index) const {
  std::istringstream Words(Start);
  std::string Word;
  for (std::size_t I = 0; I <= Index; ++I)
    if (!(Words >> Word))
      return {};
  return Word;
}

int http_message::status() const { return std::atoi(word(1).c_str()); }

stream::~stream() { ::close(Socket); }

bool stream::fill(double Until) {
  const double Left = Until - now();
  if (Left <= 0)
    return false;
  pollfd Wanted{Socket, POLLIN, 0};
  if (::poll(&Wanted, 1, static_cast<int>(Left * 1e3) + 1) <= 0)
    return false;
  char Bytes[16384];
  const auto Count = ::recv(Socket, Bytes, sizeof Bytes, 0);
  IsEnded = Count == 0;
  if (Count <= 0)
    return false;
  Buffer.append(Bytes, static_cast<std::size_t>(Count));
  return true;
}

bool stream::take(std::size_t Size, std::string &To, double Until) {
  while (Buffer.size() < Size)
    if (!fill(Until))
      return false;
  To.append(Buffer, 0, Size);
  Buffer.erase(0, Size);
  return true;
}

bool stream::takeLine(std::string &To, double Until) {
  To.clear();
  auto End = Buffer.find("\r\n");
  for (; End == std::string::npos; End = Buffer.find("\r\n"))
    if (!fill(Until))
      return false;
  To = Buffer.substr(0, End);
  Buffer.erase(0, End + 2);
  return true;
}

bool stream::takeChunks(std::string &To, double Until) {
  std::string Line;
  std::string LineEnd;
  while (takeLine(Line, Until)) {
    const auto Size = std::strtoul(Line.c_str(), nullptr, 16);
    if (Size > 0) {
      if (!take(Size, To, Until) || !takeLine(LineEnd, Until))
        return false;
      continue;
    }
    while (takeLine(Line, Until))
      if (Line.empty())
        return true;
    return false;
  }
  return false;
}

std::optional<http_message> stream::read(double Until) {
  auto End = Buffer.find("\r\n\r\n");
  for (; End == std::string::npos; End = Buffer.find("\r\n\r\n"))
    if (!fill(Until))
      return std::nullopt;
  http_message Message;
  std::istringstream Head(Buffer.substr(0, End));
  std::string Line;
  while (std::getline(Head, Line)) {
    if (!Line.empty() && Line.back() == '\r')
      Line.pop_back();
    if (Message.Start.empty()) {
      Message.Start = Line;
      continue;
    }
    const auto Colon = Line.find(':');
    const auto Value = Line.find_first_not_of(' ', Colon + 1);
    Message.Fields.emplace_back(
        Line.substr(0, Colon),
        Value == std::string::npos ? "" : Line.substr(Value));
  }
  Buffer.erase(0, End + 4);
  const auto Length = Message.field("Content-Length");
  if (!Message.field("Transfer-Encoding").empty()) {
    if (!takeChunks(Message.Body, Until))
      return std::nullopt;
  } else if (!Length.empty() || !Message.Start.starts_with("HTTP/")) {
    if (!take(std::strtoul(Length.c_str(), nullptr, 10), Message.Body, Until))
      return std::nullopt;
  } else {
    while (fill(Until)) {
    }
    if (!IsEnded)
      return std::nullopt;
    Message.Body.swap(Buffer);
  }
  return Message;
}

bool stream::write(const std::string &Bytes) {
  std::size_t Sent = 0;
  while (Sent < Bytes.size()) {
    const auto Count =
        ::send(Socket, Bytes.data() + Sent, Bytes.size() - Sent, MSG_NOSIGNAL);
    if (Count <= 0)
      return false;
    Sent += static_cast<std::size_t>(Count);
  }
  return true;
}

void stream::shutDown() { ::shutdown(Socket, SHUT_RDWR); }

void stream::resetOnClose() const {
  const linger Reset{1, 0};
  ::setsockopt(Socket, SOL_SOCKET, SO_LINGER, &Reset, sizeof Reset);
}

void stream::reset() {
  resetOnClose();
  ::shutdown(Socket, SHUT_RDWR);
}

int connectTo(const std::string &Ip, int Port, double Seconds) {
  const int Socket =
      ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
  const auto Address = socketAddress(Ip, Port);
  int Result = ::connect(Socket, reinterpret_cast<const sockaddr *>(&Address),
                         sizeof Address);
  if (Result != 0 && errno == EINPROGRESS) {
    pollfd Wanted{Socket, POLLOUT, 0};
    int Error = ETIMEDOUT;
    socklen_t Size = sizeof Error;
    if (::poll(&Wanted, 1, static_cast<int>(Seconds * 1e3)) == 1)
      ::getsockopt(Socket, SOL_SOCKET, SO_ERROR, &Error, &Size);
    Result = Error == 0 ? 0 : -1;
  }
  if (Result != 0) {
    ::close(Socket);
    return -1;
  }
  ::fcntl(Socket, F_SETFL, 0);
  const int On = 1;
  ::setsockopt(Socket, IPPROTO_TCP, TCP_NODELAY, &On, sizeof On);
  return Socket;
}

bool server::start(const std::string &Ip, int WantedPort, handler Given) {
  stop();
  Handler = std::move(Given);
  Listener = bindListener(Ip, WantedPort);
  if (Listener < 0)
    return false;
  sockaddr_in Address{};
  socklen_t Size = sizeof Address;
  ::getsockname(Listener, reinterpret_cast<sockaddr *>(&Address), &Size);
  Port = ntohs(Address.sin_port);
  IsStopped = false;
  Acceptor = std::thread([this] { acceptLoop(); });
  return true;
}

void server::acceptLoop() {
  while (!IsStopped) {
    pollfd Wanted{Listener, POLLIN, 0};
    if (::poll(&Wanted, 1, 50) <= 0)
      continue;
    const int Socket = ::accept4(Listener, nullptr, nullptr, SOCK_CLOEXEC);
    if (Socket < 0)
      continue;
    const int On = 1;
    ::setsockopt(Socket, IPPROTO_TCP, TCP_NODELAY, &On, sizeof On);
    const auto Stream = std::make_shared<stream>(Socket);
    {
      const std::lock_guard Lock(Mutex);
      std::erase_if(Streams, [](const auto &Entry) { return Entry.expired(); });
      Streams.push_back(Stream);
    }
    ++Threads;
    std::thread([this, Stream] {
      Handler(Stream);
      --Threads;
    }).detach();
  }
}

void server::stop() {
  if (IsStopped.exchange(true))
    return;
  ::shutdown(Listener, SHUT_RDWR);
  Acceptor.join();
  ::close(Listener);
  {
    const std::lock_guard Lock(Mutex);
    for (const auto &Entry : Streams)
      if (const auto Stream = Entry.lock())
        Stream->reset();
    Streams.clear();
  }
  while (Threads > 0)
    sleepFor(0.002);
}

int store::open(const std::string &Ip) {
  const int Machine = static_cast<int>(Listeners.size());
  Listeners.push_back(std::make_unique<server>());
  const bool IsOpen = Listeners.back()->start(
      Ip, 0, [this, Machine](const auto &Stream) { serve(Stream, Machine); });
  return IsOpen ? Listeners.back()->port() : 0;
}

void store::serve(const std::shared_ptr<stream> &Stream, int Machine) {
  while (const auto Request = Stream->read(now() + 3600)) {
    int Status = 200;
    if (!IsDown && Request->Start.find("table=servers") != std::string::npos)
      LastReader = Machine;
    auto Body = IsDown ? "{}" : answer(*Request, Status);
    if (IsDown) {
      Status = 503;
      Body = "{}";
    }
    sleepFor(0.004);
    if (!Stream->write(serialise("HTTP/1.1 " + std::to_string(Status) + " OK",
                                 {{"Content-Type", "application/json"}}, Body)))
      return;
  }
}

json store::describe(const std::string &Table, std::uint64_t After,
                     bool WithRemoved) const {
  json List = json::array();
  for (const auto &[Name, Row] : Rows) {
    if (Name.first != Table || Row.Version <= After ||
        (!Row.Value && !WithRemoved))
      continue;
    json Entry = {{"table", Table},
                  {"part", ""},
                  {"key", Name.second},
                  {"schemaVersion", Row.Version}};
    if (Row.Value)
      Entry["value"] = toBase64(*Row.Value);
    else
      Entry["removed"] = true;
    List.push_back(std::move(Entry));
  }
  return {{"rows", std::move(List)},
          {"hasMore", false},
          {"schemaVersion", Version},
          {"currentTimeS", 1000 + now()}};
}

std::string store::answer(const http_message &Request, int &Status) {
  const auto Target = Request.word(1);
  if (Target.starts_with("/rows-get")) {
    const std::lock_guard Lock(Mutex);
    return describe(queryValue(Target, "table"), 0, false).dump();
  }
  if (Target.starts_with("/rows-feed"))
    return readFeed(Target);
  if (Target.starts_with("/rows-tx"))
    return commit(Request.Body, Status);
  Status = 404;
  return "{}";
}

std::string store::readFeed(const std::string &Target) {
  const auto Table = queryValue(Target, "table");
  const auto After = queryNumber(Target, "after");
  const std::chrono::milliseconds Wait(queryNumber(Target, "waitMs"));
  std::unique_lock Lock(Mutex);
  Changed.wait_for(Lock, Wait, [&] {
    return std::any_of(Rows.begin(), Rows.end(), [&](const auto &Entry) {
      return Entry.first.first == Table && Entry.second.Version > After;
    });
  });
  return describe(Table, After, true).dump();
}

std::string store::commit(const std::string &Body, int &Status) {
  const auto Call = json::parse(Body);
  const std::lock_guard Lock(Mutex);
  json Current = json::array();
  for (const auto &Condition : Call.at("expectedRevision")) {
    const auto Found = Rows.find({Condition.at("table"), Condition.at("key")});
    const bool Exists = Found != Rows.end() && Found->second.Value;
    const std::uint64_t Is = Exists ? Found->second.Version : 0;
    if (Is == Condition.at("schemaVersion"))
      continue;
    Status = 412;
    if (Exists)
      Current.push_back({{"table", Condition.at("table")},
                         {"part", ""},
                         {"key", Condition.at("key")},
                         {"value", toBase64(*Found->second.Value)},
                         {"schemaVersion", Is}});
  }
  if (Status == 200) {
    ++Version;
    for (const auto &Put : Call.at("puts"))
      Rows[{Put.at("table"), Put.at("key")}] = {fromBase64(Put.at("value")),
                                                Version};
    for (const auto &Gone : Call.at("remove"))
      Rows[{Gone.at("table"), Gone.at("key")}] = {std::nullopt, Version};
  }
  Changed.notify_all();
  return json{{"rows", std::move(Current)},
              {"schemaVersion", Version},
              {"currentTimeS", 1000 + now()}}
      .dump();
}

std::uint64_t store::put(const std::string &Table, const std::string &Key,
                         const json &Value) {
  return putText(Table, Key, Value.dump());
}

std::uint64_t store::putText(const std::string &Table, const std::string &Key,
                             const std::string &Text) {
  const std::lock_guard Lock(Mutex);
  Rows[{Table, Key}] = {Text, ++Version};
  Changed.notify_all();
  return Version;
}

void store::remove(const std::string &Table, const std::string &Key) {
  const std::lock_guard Lock(Mutex);
  const auto Found = Rows.find({Table, Key});
  if (Found == Rows.end() || !Found->second.Value)
    return;
  Found->second = {std::nullopt, ++Version};
  Changed.notify_all();
}

std::optional<std::string> store::value(const std::string &Table,
                                        const std::string &Key) {
  const std::lock_guard Lock(Mutex);
  const auto Found = Rows.find({Table, Key});
  return Found == Rows.end() ? std::nullopt : Found->second.Value;
}

namespace {

constexpr double HeartbeatSeconds = 1.5;

} // namespace

endpoint::~endpoint() { crash(); }

bool endpoint::start(const std::string &NewId, bool IsDuringTraffic) {
  if (!Listener.start(Terms.Ip, Port,
                      [this](const auto &Stream) { serve(Stream); }))
    return false;
  {
    const std::lock_guard Lock(Mutex);
    Port = Listener.port();
    Id = NewId;
    Born = unixMilliseconds();
    ColdUntil = IsDuringTraffic ? now() + Terms.ColdSeconds : 0;
    Sequence = 0;
  }
  IsRunning = true;
  IsLeaving = false;
  beat();
  Beats = std::thread([this] { beatLoop(); });
  return true;
}

void endpoint::beat() {
  const std::lock_guard Lock(Mutex);
  if (IsLeaving)
    return;
  const double Cold = std::max(0.0, ColdUntil - now());
  Store.put("servers", Id,
            {{"address", Terms.Ip + ":" + std::to_string(Port)},
             {"born", Born},
             {"information",
              {{"service", Terms.Service},
               {"version", "v1"},
               {"zone", Terms.Zone},
               {"slots", Terms.Slots}}},
             {"status",
              {{"state", "ready"},
               {"sequence", ++Sequence},
               {"coldRemainingS", Cold}}}});
}

void endpoint::beatLoop() {
  double Next = now() + HeartbeatSeconds;
  while (IsRunning) {
    sleepFor(0.02);
    if (now() < Next || !IsRunning)
      continue;
    Next += HeartbeatSeconds;
    beat();
  }
}

void endpoint::crash() {
  if (!IsRunning.exchange(false))
    return;
  Listener.stop();
  Beats.join();
}

void endpoint::leave() {
  const std::lock_guard Lock(Mutex);
  IsLeaving = true;
  Store.remove("servers", Id);
}

void endpoint::serve(const std::shared_ptr<stream> &Stream) {
  while (IsRunning && serveOne(Stream)) {
  }
}

bool endpoint::serveOne(const std::shared_ptr<stream> &Stream) {
  const auto Request = Stream->read(now() + 10);
  if (!Request)
    return false;
  const std::string RequestId = Request->field("X-Request-Id");
  const std::string Expected = Request->field("X-Expected-Instance");
  if (!Expected.empty() && Expected != Id)
    return Stream->write(
        serialise("HTTP/1.1 421 Misdirected Request",
                  {{"X-Request-Id", RequestId}, {"X-Instance-Id", Id}}, ""));
  const auto Action = Behavior(*Request);
  if (Action.Crashes)
    return false;
  sleepFor(Action.WorkSeconds);
  return Stream->write(
      serialise("HTTP/1.1 " + std::to_string(Action.Status) + " OK",
                {{"X-Request-Id", RequestId},
                 {"X-Server-Stamp", Id + "." + RequestId},
                 {"Keep-Alive", "timeout=10"}},
                Action.Body));
}

vm::~vm() {
  if (Process > 0) {
    ::kill(Process, SIGKILL);
    ::waitpid(Process, nullptr, 0);
  }
}

// As deploy/settings.yaml is filled in on a small deployment.
void vm::writeSettings() const {
  std::ofstream File(Terms.Folder + "/" + Terms.Name + ".yaml");
  File << "vm:\n  name: \"" << Terms.Name << "\"\n  region: \"" << Terms.Region
       << "\"\n  failure_domain: \"" << Terms.Zone
       << "\"\n  cores: 0.2\n  memory_megabytes: 260\n  descriptors: 4100\n"
       << "addresses:\n  callers: \"" << Terms.Ip << ":" << CallerPort
       << "\"\n  readiness: \"" << Terms.Ip << ":" << ReadinessPort
       << "\"\n  directory: \"" << Terms.Ip << ":" << DirectoryPort
       << "\"\n  first_peer_port: 7740\n  metrics_port: 9464\n  seeds: [";
  for (std::size_t I = 0; I < Terms.Seeds.size(); ++I)
    File << (I > 0 ? ", " : "") << '"' << Terms.Seeds[I] << '"';
  File << "]\nstore: \"" << Terms.StoreAddress << "\"\nfailure_domains:\n";
  for (const auto &[Zone, Region] : Terms.Zones)
    File << "  - name: " << Zone << "\n    region: \"" << Region << "\"\n";
  File << "contracts: [\"base\", \"drain\", \"config\", \"cost\", \"retry\", "
          "\"recover\", \"places\", \"tenants\", \"quota\", \"rollout\", "
          "\"platform\"]\n"
          "bounds:\n  grace_seconds: 6\n  configuration_seconds: 2\n"
          "  endpoint_drain_seconds: 2\n  retry_ratio: 0.2\n"
          "  retry_window_seconds: 10\n  retry_slack: 60\n"
          "  quota_window_seconds: 5\n  quota_overshoot: 0.1\n"
          "  quota_slack: 20\n  rollout_share: 0.1\n  rollout_slack: 50\n";
}

bool vm::start() {
  writeSettings();
  const std::string Settings = Terms.Folder + "/" + Terms.Name + ".yaml";
  const std::string Log = Terms.Folder + "/" + Terms.Name + ".log";
  const std::string Variable = "SESAMEPADDLE_SETTINGS=" + Settings;
  const pid_t Parent = ::getpid();
  Process = ::fork();
  if (Process != 0)
    return Process > 0;
  ::prctl(PR_SET_PDEATHSIG, SIGKILL);
  if (::getppid() != Parent || ::chdir(Terms.Root.c_str()) != 0)
    ::_exit(9);
  const int File =
      ::open(Log.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
  ::dup2(File, STDOUT_FILENO);
  ::dup2(File, STDERR_FILENO);
  const char *Arguments[] = {"target/sesamepaddle", "ingress", nullptr};
  const char *Environment[] = {Variable.c_str(), "PATH=/usr/bin:/bin", nullptr};
  ::execve(Arguments[0], const_cast<char **>(Arguments),
           const_cast<char **>(Environment));
  ::_exit(9);
}

void vm::signal(int Number) const {
  if (Process > 0)
    ::kill(Process, Number);
}

bool vm::waitForEnd(double Seconds) {
  for (const double Until = now() + Seconds; now() < Until; sleepFor(0.01))
    if (::waitpid(Process, nullptr, WNOHANG) == Process) {
      Process = -1;
      return true;
    }
  return false;
}

bool vm::isReady() const {
  return request(Terms.Ip, ReadinessPort, "GET", "/readiness", {}, "", 0.5)
             .Status == 200;
}

bool vm::waitUntilReady(double Seconds) const {
  for (const double Until = now() + Seconds; now() < Until; sleepFor(0.02))
    if (isReady())
      return true;
  return false;
}

outcome request(const std::string &Ip, int Port, const std::string &Method,
                const std::string &Target,
                const std::vector<std::pair<std::string, std::string>> &Fields,
                const std::string &Body, double Seconds) {
  const double Until = now() + Seconds;
  const int Socket = connectTo(Ip, Port, std::min(1.0, Seconds));
  if (Socket < 0)
    return {};
  stream Stream(Socket);
  auto All = Fields;
  if (std::none_of(All.begin(), All.end(),
                   [](const auto &Field) { return Field.first == "Host"; }))
    All.emplace_back("Host", Ip);
  if (!Stream.write(serialise(Method + " " + Target + " HTTP/1.1", All, Body)))
    return {};
  const auto Answer = Stream.read(Until);
  if (!Answer)
    return {};
  return {Answer->status(), Answer->field("X-Server-Stamp"), Answer->Body};
}

namespace {

const std::vector<std::pair<std::string, std::string>> FleetZones = {
    {"lima-a", "lima"},         {"lima-b", "lima"},
    {"arequipa-a", "arequipa"}, {"arequipa-b", "arequipa"},
    {"trujillo-a", "trujillo"}, {"trujillo-b", "trujillo"}};
constexpr int StoreHost = 250;

json smallRoute(const std::string &Name, const std::string &Prefix,
                const std::string &Kind) {
  return {{"name", Name},
          {"prefix", Prefix},
          {"kind", Kind},
          {"timeoutS", 1.2},
          {"targetLatencyS", 0.6},
          {"priority", 1},
          {"service", "pedidos"},
          {"maxAttempts", 2},
          {"public", false},
          {"sticky", false},
          {"homeRegions", json::array()}};
}

} // namespace

json smallManifest() {
  json Service = {{"name", "pedidos"},      {"healthPath", "/health"},
                  {"connectionLimit", 360}, {"protocol", "h1"},
                  {"tls", false},           {"coldStartS", 3.0},
                  {"coldPerS", 4.4}};
  json Tenant = {{"name", "hotel"}, {"apiKeys", json::array({"key-hotel"})},
                 {"priority", 1},   {"ratePerS", 99},
                 {"burst", 99},     {"homeRegions", json::array()}};
  json Host = {
      {"host", "jepu9.example"},
      {"paths", json::array({smallRoute("r-safe", "/safe/", "safe"),
                             smallRoute("r-order", "/order/", "unsafe")})}};
  return {{"version", 7},
          {"services", json::array({Service})},
          {"limits",
           {{"headerBytes", 16384},
            {"bodyBytes", 67108864},
            {"headerTimeoutS", 3},
            {"idleTimeoutS", 15}}},
          {"tenants", json::array({Tenant})},
          {"hosts", json::array({Host})}};
}

fleet::fleet(const json &Manifest) : Network(freeNetwork()) {
  Store.put("op", "config", Manifest);
}

bool fleet::start() {
  const auto Folder = temporaryFolder();
  const char *Root = std::getenv("ROOT");
  int Last = 0;
  for (const auto &[Zone, Region] : FleetZones) {
    vm::terms Terms;
    Terms.Root = Root == nullptr ? "." : Root;
    Terms.Folder = Folder;
    Terms.Name = "front-" + Zone + "-1";
    Terms.Zone = Zone;
    Terms.Region = Region;
    Terms.Ip = ip(++Last);
    Terms.Seeds = {ip(1) + ":8688", ip(3) + ":8688", ip(5) + ":8688"};
    Terms.StoreAddress =
        ip(StoreHost) + ":" + std::to_string(Store.open(ip(StoreHost)));
    Terms.Zones = FleetZones;
    Vms.push_back(std::make_unique<vm>(Terms));
    if (!Vms.back()->start())
      return false;
  }
  return std::all_of(Vms.begin(), Vms.end(),
                     [](const auto &Vm) { return Vm->waitUntilReady(10); });
}

std::string freeNetwork() {
  std::random_device Random;
  for (int Try = 0; Try < 50; ++Try) {
    const std::string Network = "127." + std::to_string(20 + Random() % 200) +
                                "." + std::to_string(1 + Random() % 250);
    bool IsFree = true;
    for (const int Port :
         {vm::CallerPort, vm::ReadinessPort, vm::DirectoryPort, 7741, 9464}) {
      const int Socket = bindListener(Network + ".1", Port);
      IsFree = IsFree && Socket >= 0;
      if (Socket >= 0)
        ::close(Socket);
    }
    if (IsFree)
      return Network;
  }
  std::cerr << "no free ports\n";
  std::exit(2);
}

std::string temporaryFolder() {
  std::string Path =
      (std::filesystem::temp_directory_path() / "review-XXXXXX").string();
  if (::mkdtemp(Path.data()) == nullptr)
    std::exit(2);
  TemporaryPath = Path;
  std::atexit(removeTemporary);
  return Path;
}

bool isTroubleWanted() {
  const char *Value = std::getenv("TROUBLE");
  return Value == nullptr || std::string(Value) != "0";
}

} // namespace rig
