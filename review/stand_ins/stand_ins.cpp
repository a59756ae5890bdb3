#include "stand_ins.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <arpa/inet.h>
#include <array>
#include <cctype>
#include <cerrno>
#include <csignal>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
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

namespace review {

namespace {

using json = nlohmann::json;

constexpr int CannotRun = 2;

bool sameName(std::string_view Left, std::string_view Right) {
  return std::equal(Left.begin(), Left.end(), Right.begin(), Right.end(),
                    [](unsigned char One, unsigned char Other) {
                      return std::tolower(One) == std::tolower(Other);
                    });
}

sockaddr_in parseAddress(const std::string &Address) {
  const auto Colon = Address.rfind(':');
  sockaddr_in Parsed{};
  Parsed.sin_family = AF_INET;
  Parsed.sin_port =
      htons(static_cast<std::uint16_t>(std::stoi(Address.substr(Colon + 1))));
  if (inet_pton(AF_INET, Address.substr(0, Colon).c_str(), &Parsed.sin_addr) !=
      1)
    giveUp("bad address " + Address);
  return Parsed;
}

constexpr std::string_view Alphabet =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

std::string toBase64(std::string_view Bytes) {
  std::string Text;
  for (std::size_t At = 0; At < Bytes.size(); At += 3) {
    unsigned Group = 0;
    for (std::size_t Index = 0; Index < 3; ++Index)
      Group = Group << 8U | (At + Index < Bytes.size()
                                 ? static_cast<unsigned char>(Bytes[At + Index])
                                 : 0U);
    for (std::size_t Index = 0; Index < 4; ++Index)
      Text += At + Index <= Bytes.size()
                  ? Alphabet[Group >> (18U - 6U * Index) & 63U]
                  : '=';
  }
  return Text;
}

std::string fromBase64(std::string_view Text) {
  std::string Bytes;
  unsigned Group = 0;
  unsigned Bits = 0;
  for (const char Letter : Text) {
    const auto Value = Alphabet.find(Letter);
    if (Value == std::string_view::npos)
      break;
    Group = Group << 6U | static_cast<unsigned>(Value);
    Bits += 6;
    if (Bits >= 8) {
      Bits -= 8;
      Bytes += static_cast<char>(Group >> Bits & 255U);
    }
  }
  return Bytes;
}

int hexDigit(char Digit) {
  constexpr std::string_view Digits = "0123456789abcdef";
  const auto Value = Digits.find(
      static_cast<char>(std::tolower(static_cast<unsigned char>(Digit))));
  return Value == std::string_view::npos ? 0 : static_cast<int>(Value);
}

std::string queryValue(const std::string &Target, const std::string &Name) {
  auto At = Target.find('?');
  while (At != std::string::npos) {
    const auto End = Target.find('&', At + 1);
    const auto Field =
        Target.substr(At + 1, End == std::string::npos ? End : End - At - 1);
    At = End;
    if (!Field.starts_with(Name + "="))
      continue;
    std::string Decoded;
    for (std::size_t Index = Name.size() + 1; Index < Field.size(); ++Index)
      if (Field[Index] == '%' && Index + 2 < Field.size()) {
        Decoded += static_cast<char>(hexDigit(Field[Index + 1]) * 16 +
                                     hexDigit(Field[Index + 2]));
        Index += 2;
      } else {
        Decoded += Field[Index];
      }
    return Decoded;
  }
  return {};
}

std::uint64_t numberIn(const std::string &Target, const std::string &Name) {
  return std::strtoull(queryValue(Target, Name).c_str(), nullptr, 10);
}

json describe(const std::string &Table, const std::string &Key,
              const std::optional<std::string> &Value, std::uint64_t Revision) {
  json Row = {{"table", Table},
              {"part", ""},
              {"key", Key},
              {"schemaVersion", Revision}};
  if (Value)
    Row["value"] = toBase64(*Value);
  else
    Row["removed"] = true;
  return Row;
}

} // namespace

void giveUp(const std::string &Why) {
  std::cerr << "case could not run: " << Why << std::endl;
  std::_Exit(CannotRun);
}

record::record(const std::string &Path)
    : File(::open(Path.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC,
                  0644)) {
  if (File < 0)
    giveUp("cannot write " + Path);
}

double record::seconds() const {
  return std::chrono::duration<double>(steady::now() - Start).count();
}

void record::line(const std::string &Text) {
  std::ostringstream Line;
  Line.setf(std::ios::fixed);
  Line.precision(3);
  const std::lock_guard Lock(Mutex);
  Line << seconds() << " " << Text << "\n";
  const auto Whole = Line.str();
  std::cout << Whole << std::flush;
  if (::write(File, Whole.data(), Whole.size()) < 0)
    giveUp("cannot write the record");
}

std::string message::header(std::string_view Name) const {
  for (const auto &[Found, Value] : Headers)
    if (sameName(Found, Name))
      return Value;
  return {};
}

std::string message::word(std::size_t Index) const {
  std::istringstream Words(StartLine);
  std::string Word;
  for (std::size_t Count = 0; Count <= Index; ++Count)
    if (!(Words >> Word))
      return {};
  return Word;
}

int message::status() const {
  return static_cast<int>(std::strtol(word(1).c_str(), nullptr, 10));
}

byte_stream::~byte_stream() { ::close(Descriptor); }

std::unique_ptr<byte_stream> byte_stream::connect(const std::string &Address,
                                                  int ReceiveBytes) {
  const auto Peer = parseAddress(Address);
  const int Descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  auto Stream = std::make_unique<byte_stream>(Descriptor);
  if (ReceiveBytes > 0)
    ::setsockopt(Descriptor, SOL_SOCKET, SO_RCVBUF, &ReceiveBytes,
                 sizeof ReceiveBytes);
  // NOLINTNEXTLINE(cppcoreguidelines-pro-type-reinterpret-cast)
  if (::connect(Descriptor, reinterpret_cast<const sockaddr *>(&Peer),
                sizeof Peer) != 0)
    return nullptr;
  const int On = 1;
  ::setsockopt(Descriptor, IPPROTO_TCP, TCP_NODELAY, &On, sizeof On);
  return Stream;
}

bool byte_stream::send(std::string_view Bytes) {
  while (!Bytes.empty()) {
    const auto Sent =
        ::send(Descriptor, Bytes.data(), Bytes.size(), MSG_NOSIGNAL);
    if (Sent < 0 && errno == EINTR)
      continue;
    if (Sent <= 0)
      return false;
    Bytes.remove_prefix(static_cast<std::size_t>(Sent));
  }
  return true;
}

void byte_stream::shutdown() const { ::shutdown(Descriptor, SHUT_RDWR); }

read_end byte_stream::read(message &Message, milliseconds Timeout,
                           double BytesPerSecond) {
  constexpr std::size_t PieceBytes = 16 * 1024;
  std::array<char, PieceBytes> Piece{};
  const auto Start = steady::now();
  const auto Until = Start + Timeout;
  std::size_t Taken = 0;
  std::size_t Head = std::string::npos;
  std::size_t Length = 0;
  for (;;) {
    if (Head == std::string::npos) {
      Head = Buffer.find("\r\n\r\n");
      if (Head != std::string::npos) {
        Message = {};
        std::istringstream Lines(Buffer.substr(0, Head));
        for (std::string Line; std::getline(Lines, Line);) {
          if (!Line.empty() && Line.back() == '\r')
            Line.pop_back();
          const auto Colon = Line.find(':');
          if (Message.StartLine.empty()) {
            Message.StartLine = Line;
          } else if (Colon != std::string::npos) {
            auto Value = Line.substr(Colon + 1);
            Value.erase(0, Value.find_first_not_of(' '));
            Message.Headers.emplace_back(Line.substr(0, Colon), Value);
          }
        }
        Head += 4;
        Length = std::strtoull(Message.header("Content-Length").c_str(),
                               nullptr, 10);
      }
    }
    if (Head != std::string::npos && Buffer.size() >= Head + Length) {
      Message.Body = Buffer.substr(Head, Length);
      Buffer.erase(0, Head + Length);
      return read_end::Whole;
    }
    if (BytesPerSecond > 0)
      std::this_thread::sleep_until(
          Start + std::chrono::duration_cast<steady::duration>(
                      std::chrono::duration<double>(static_cast<double>(Taken) /
                                                    BytesPerSecond)));
    const auto Left =
        std::chrono::duration_cast<milliseconds>(Until - steady::now());
    pollfd Wait{Descriptor, POLLIN, 0};
    if (Left.count() <= 0 ||
        ::poll(&Wait, 1, static_cast<int>(Left.count())) == 0)
      return read_end::Late;
    const auto Received = ::recv(Descriptor, Piece.data(), Piece.size(), 0);
    if (Received < 0 && errno == EINTR)
      continue;
    if (Received <= 0) {
      if (Head != std::string::npos)
        Message.Body = Buffer.substr(Head);
      return Buffer.empty() ? read_end::Closed : read_end::Cut;
    }
    Taken += static_cast<std::size_t>(Received);
    Buffer.append(Piece.data(), static_cast<std::size_t>(Received));
  }
}

listener::listener(std::string Where, std::function<void(byte_stream &)> Task)
    : Address(std::move(Where)),
      Descriptor(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)),
      Serve(std::move(Task)) {
  const auto Own = parseAddress(Address);
  const int On = 1;
  ::setsockopt(Descriptor, SOL_SOCKET, SO_REUSEADDR, &On, sizeof On);
  // NOLINTNEXTLINE(cppcoreguidelines-pro-type-reinterpret-cast)
  if (::bind(Descriptor, reinterpret_cast<const sockaddr *>(&Own),
             sizeof Own) != 0 ||
      ::listen(Descriptor, 256) != 0)
    giveUp("cannot listen on " + Address);
  Acceptor = std::thread([this] {
    for (;;) {
      const int Accepted =
          ::accept4(Descriptor, nullptr, nullptr, SOCK_CLOEXEC);
      if (IsOver || (Accepted < 0 && errno != EINTR && errno != ECONNABORTED))
        return;
      if (Accepted < 0)
        continue;
      const int NoDelay = 1;
      ::setsockopt(Accepted, IPPROTO_TCP, TCP_NODELAY, &NoDelay,
                   sizeof NoDelay);
      const auto Stream = std::make_shared<byte_stream>(Accepted);
      const std::lock_guard Lock(Mutex);
      Streams.emplace_back(Stream);
      Workers.emplace_back([this, Stream] { Serve(*Stream); });
    }
  });
}

listener::~listener() {
  IsOver = true;
  ::shutdown(Descriptor, SHUT_RDWR);
  Acceptor.join();
  ::close(Descriptor);
  for (const auto &Entry : Streams)
    if (const auto Stream = Entry.lock())
      Stream->shutdown();
  for (auto &Worker : Workers)
    Worker.join();
}

platform_store::platform_store(const std::string &Address)
    : Server(std::make_unique<listener>(
          Address, [this](byte_stream &Stream) { serve(Stream); })) {}

platform_store::~platform_store() {
  {
    const std::lock_guard Lock(Mutex);
    IsOver = true;
  }
  Changed.notify_all();
  Server.reset();
}

double platform_store::secondsNow() const {
  return 1 + std::chrono::duration<double>(steady::now() - Start).count();
}

void platform_store::put(const std::string &Table, const std::string &Key,
                         const std::optional<std::string> &Value) {
  {
    const std::lock_guard Lock(Mutex);
    Tables[Table][Key] = {Value, ++Revision};
  }
  Changed.notify_all();
}

std::optional<std::string> platform_store::value(const std::string &Table,
                                                 const std::string &Key) {
  const std::lock_guard Lock(Mutex);
  return Tables[Table][Key].Value;
}

void platform_store::serve(byte_stream &Stream) {
  constexpr std::chrono::hours NoTimeout{1};
  message Request;
  while (Stream.read(Request, NoTimeout) == read_end::Whole) {
    int Status = 200;
    const auto Body = answer(Request, Status);
    std::this_thread::sleep_for(milliseconds(4));
    if (!Stream.send("HTTP/1.1 " + std::to_string(Status) +
                     " Status\r\nContent-Type: application/json\r\n"
                     "Content-Length: " +
                     std::to_string(Body.size()) + "\r\n\r\n" + Body))
      return;
  }
}

std::string platform_store::answer(const message &Request, int &Status) {
  const auto Target = Request.word(1);
  if (Target.starts_with("/rows-get?"))
    return readRows(Target);
  if (Target.starts_with("/rows-feed?"))
    return readFeed(Target);
  if (Target == "/rows-tx")
    return commit(Request.Body, Status);
  Status = 404;
  return "{}";
}

std::string platform_store::readRows(const std::string &Target) {
  const auto Name = queryValue(Target, "table");
  const auto From = queryValue(Target, "from");
  const auto Limit =
      std::clamp<std::uint64_t>(numberIn(Target, "limit"), 1, 500);
  const std::lock_guard Lock(Mutex);
  json Rows = json::array();
  bool HasMore = false;
  for (const auto &[Key, Row] : Tables[Name]) {
    if (!Row.Value || Key < From)
      continue;
    HasMore = Rows.size() >= Limit;
    if (HasMore)
      break;
    Rows.push_back(describe(Name, Key, Row.Value, Row.Revision));
  }
  return json{{"rows", Rows},
              {"hasMore", HasMore},
              {"schemaVersion", Revision},
              {"currentTimeS", secondsNow()}}
      .dump();
}

std::string platform_store::readFeed(const std::string &Target) {
  const auto Name = queryValue(Target, "table");
  const auto After = numberIn(Target, "after");
  const auto Until =
      steady::now() +
      milliseconds(std::min<std::uint64_t>(numberIn(Target, "waitMs"), 30'000));
  std::unique_lock Lock(Mutex);
  std::vector<std::pair<std::uint64_t, json>> Found;
  const auto Search = [&] {
    for (const auto &[Key, Row] : Tables[Name])
      if (Row.Revision > After)
        Found.emplace_back(Row.Revision,
                           describe(Name, Key, Row.Value, Row.Revision));
    return !Found.empty() || IsOver;
  };
  Changed.wait_until(Lock, Until, Search);
  std::sort(Found.begin(), Found.end(),
            [](const auto &Left, const auto &Right) {
              return Left.first < Right.first;
            });
  json Rows = json::array();
  for (auto &[At, Row] : Found)
    Rows.push_back(std::move(Row));
  return json{{"rows", Rows},
              {"schemaVersion", Revision},
              {"currentTimeS", secondsNow()}}
      .dump();
}

std::string platform_store::commit(const std::string &Body, int &Status) {
  const auto Call = json::parse(Body);
  std::unique_lock Lock(Mutex);
  json Current = json::array();
  bool DoesHold = true;
  for (const auto &Condition : Call.at("expectedRevision")) {
    const std::string Name = Condition.at("table");
    const std::string Key = Condition.at("key");
    const auto Found = Tables[Name].find(Key);
    const bool Exists = Found != Tables[Name].end() && Found->second.Value;
    DoesHold = DoesHold && (Exists ? Found->second.Revision : 0) ==
                               Condition.at("schemaVersion");
    if (Exists)
      Current.push_back(
          describe(Name, Key, Found->second.Value, Found->second.Revision));
  }
  json Answer = {{"currentTimeS", secondsNow()}};
  if (!DoesHold) {
    Status = 412;
    Answer["rows"] = Current;
  } else {
    ++Revision;
    for (const auto &Put : Call.at("puts"))
      Tables[Put.at("table")][Put.at("key")] = {
          fromBase64(Put.at("value").get<std::string>()), Revision};
    for (const auto &Key : Call.at("remove"))
      Tables[Key.at("table")][Key.at("key")] = {std::nullopt, Revision};
  }
  Answer["schemaVersion"] = Revision;
  Lock.unlock();
  Changed.notify_all();
  return Answer.dump();
}

std::string endpoint_entry::row(const std::string &State,
                                unsigned Sequence) const {
  return json{
      {"address", Address},
      {"born", Born},
      {"information",
       {{"service", Service},
        {"version", Version},
        {"zone", Zone},
        {"slots", Slots}}},
      {"status",
       {{"state", State}, {"sequence", Sequence}, {"coldRemainingS", 0}}}}
      .dump();
}

endpoint::endpoint(platform_store &Platform, endpoint_entry Own, handler Task)
    : Store(Platform), Entry(std::move(Own)), Handler(std::move(Task)) {
  Entry.Born = std::chrono::duration_cast<milliseconds>(
                   std::chrono::system_clock::now().time_since_epoch())
                   .count();
  Server = std::make_unique<listener>(
      Entry.Address, [this](byte_stream &Stream) { serve(Stream); });
  Heart = std::thread([this] { beat(); });
}

endpoint::~endpoint() {
  {
    const std::lock_guard Lock(Mutex);
    IsOver = true;
  }
  Stopping.notify_all();
  Heart.join();
  Server.reset();
}

void endpoint::beat() {
  std::unique_lock Lock(Mutex);
  while (!IsOver) {
    Store.put("servers", Entry.Id, Entry.row(State, ++Sequence));
    Stopping.wait_for(Lock, HeartbeatTime, [this] { return IsOver; });
  }
}

void endpoint::setState(const std::string &Wanted) {
  const std::lock_guard Lock(Mutex);
  State = Wanted;
  Store.put("servers", Entry.Id, Entry.row(State, ++Sequence));
}

unsigned endpoint::sequence() {
  const std::lock_guard Lock(Mutex);
  return Sequence;
}

void endpoint::serve(byte_stream &Stream) {
  constexpr std::chrono::seconds IdleTime{60};
  message Request;
  while (Stream.read(Request, IdleTime) == read_end::Whole) {
    const auto Expected = Request.header("X-Expected-Instance");
    if (!Expected.empty() && Expected != Entry.Id) {
      if (!Stream.send("HTTP/1.1 421 Misdirected Request\r\nX-Request-Id: " +
                       Request.header("X-Request-Id") + "\r\nX-Instance-Id: " +
                       Entry.Id + "\r\nContent-Length: 0\r\n\r\n"))
        return;
      continue;
    }
    if (!Handler(Stream, Request))
      return;
  }
}

std::string makeAnswer(const message &Request, int Status,
                       const std::string &Stamp, const std::string &Body,
                       const std::string &FirstHeaders) {
  return "HTTP/1.1 " + std::to_string(Status) + " Status\r\n" + FirstHeaders +
         "X-Request-Id: " + Request.header("X-Request-Id") +
         "\r\nX-Server-Stamp: " + Stamp +
         "\r\nContent-Length: " + std::to_string(Body.size()) + "\r\n\r\n" +
         Body;
}

vm_process::vm_process(const std::string &Folder, const vm_place &Where,
                       const std::vector<vm_place> &All,
                       const std::string &Store)
    : Place(Where) {
  const auto Settings = Folder + "/" + Place.Name + ".yaml";
  const auto Output = Folder + "/" + Place.Name + ".log";
  // What deploy/settings.yaml becomes, with the bounds of the pages.
  std::ofstream File(Settings);
  File << "vm:\n  name: \"" << Place.Name << "\"\n  region: \"" << Place.Region
       << "\"\n  failure_domain: \"" << Place.Zone
       << "\"\n  cores: 0.2\n  memory_megabytes: 260\n  descriptors: 4100\n"
       << "addresses:\n  callers: \"" << Place.callers()
       << "\"\n  readiness: \"" << Place.readiness() << "\"\n  directory: \""
       << Place.directory()
       << "\"\n  first_peer_port: 7740\n  metrics_port: 9464\n  seeds: [";
  for (std::size_t Index = 0; Index < All.size() && Index < 3; ++Index)
    File << (Index > 0 ? "," : "") << "\"" << All[Index].Ip << ":8688\"";
  File << "]\nstore: \"" << Store << "\"\nfailure_domains:\n";
  std::map<std::string, std::string> Zones;
  for (const auto &Other : All)
    Zones[Other.Zone] = Other.Region;
  for (const auto &[Zone, Region] : Zones)
    File << "  - name: " << Zone << "\n    region: \"" << Region << "\"\n";
  File << "bounds:\n  grace_seconds: 6\n  configuration_seconds: 2\n"
          "  endpoint_drain_seconds: 2\n  retry_ratio: 0.2\n"
          "  retry_window_seconds: 10\n  retry_slack: 60\n"
          "  quota_window_seconds: 5\n  quota_overshoot: 0.1\n"
          "  quota_slack: 20\n  rollout_share: 0.1\n  rollout_slack: 50\n";
  File.close();
  const auto Parent = ::getpid();
  Process = ::fork();
  if (Process != 0)
    return;
  ::prctl(PR_SET_PDEATHSIG, SIGKILL);
  if (::getppid() != Parent)
    std::_Exit(CannotRun);
  const int Log = ::open(Output.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
  ::dup2(Log, STDOUT_FILENO);
  ::dup2(Log, STDERR_FILENO);
  ::setenv("SESAMEPADDLE_SETTINGS", Settings.c_str(), 1);
  ::execl("target/sesamepaddle", "target/sesamepaddle", "ingress", nullptr);
  std::_Exit(CannotRun);
}

vm_process::~vm_process() {
  if (IsOver)
    return;
  ::kill(Process, SIGKILL);
  ::waitpid(Process, nullptr, 0);
}

void vm_process::signal(int Number) const { ::kill(Process, Number); }

bool vm_process::waitUntilReady(milliseconds Timeout) const {
  const auto Until = steady::now() + Timeout;
  while (steady::now() < Until) {
    if (statusOf(Place.readiness(), "/readiness") == 200)
      return true;
    std::this_thread::sleep_for(milliseconds(20));
  }
  return false;
}

bool vm_process::hasEnded(milliseconds Timeout) {
  const auto Until = steady::now() + Timeout;
  while (!IsOver) {
    IsOver = ::waitpid(Process, nullptr, WNOHANG) == Process;
    if (steady::now() >= Until)
      break;
    if (!IsOver)
      std::this_thread::sleep_for(milliseconds(5));
  }
  return IsOver;
}

int statusOf(const std::string &Address, const std::string &Path) {
  const auto Stream = byte_stream::connect(Address);
  message Answer;
  if (!Stream ||
      !Stream->send("GET " + Path + " HTTP/1.1\r\nHost: " + Address +
                    "\r\n\r\n") ||
      Stream->read(Answer, milliseconds(1'000)) != read_end::Whole)
    return 0;
  return Answer.status();
}

test_bed::test_bed(const std::string &Folder)
    : Record(Folder + "/record.txt"), HasTrouble(true),
      Network(std::random_device()() % 60'000) {
  const char *Trouble = std::getenv("TROUBLE");
  HasTrouble = Trouble == nullptr || std::string_view(Trouble) != "0";
  std::string Name =
      (std::filesystem::temp_directory_path() / "review-XXXXXX").string();
  if (::mkdtemp(Name.data()) == nullptr)
    giveUp("no temporary folder");
  Temporary = Name;
  if (::access("target/sesamepaddle", X_OK) != 0)
    giveUp("target/sesamepaddle is not built");
}

test_bed::~test_bed() {
  std::error_code Ignored;
  if (std::getenv("KEEP") == nullptr)
    std::filesystem::remove_all(Temporary, Ignored);
}

std::string test_bed::nextIp() {
  // 127.1.x.y to 127.234.x.y; the first address block stays with others.
  return "127." + std::to_string(1 + Network / 256) + "." +
         std::to_string(Network % 256) + "." + std::to_string(++LastHost);
}

std::vector<vm_place> test_bed::places(std::size_t Count) {
  std::vector<vm_place> Places;
  for (std::size_t Index = 0; Index < Count; ++Index) {
    const std::string Letter(1, static_cast<char>('a' + Index % 3));
    Places.push_back({"front-" + std::to_string(Index + 1), "region-" + Letter,
                      "zone-" + Letter, nextIp()});
  }
  return Places;
}

std::string makeManifest(unsigned Version,
                         const std::vector<manifest_route> &Routes) {
  json Services = json::array();
  json Paths = json::array();
  for (const auto &Route : Routes) {
    Services.push_back({{"name", Route.Name},
                        {"healthPath", "/health"},
                        {"connectionLimit", 360},
                        {"protocol", "h1"},
                        {"tls", false},
                        {"coldStartS", 3.0},
                        {"coldPerS", 4.4}});
    Paths.push_back({{"name", "r-" + Route.Name},
                     {"prefix", Route.Prefix},
                     {"kind", Route.Kind},
                     {"timeoutS", Route.TimeoutSeconds},
                     {"targetLatencyS", Route.TargetSeconds},
                     {"priority", 1},
                     {"service", Route.Name},
                     {"maxAttempts", Route.MaxAttempts},
                     {"public", false},
                     {"sticky", false},
                     {"homeRegions", json::array()}});
  }
  return json{
      {"version", Version},
      {"services", Services},
      {"limits",
       {{"headerBytes", 16384},
        {"bodyBytes", 67108864},
        {"headerTimeoutS", 3},
        {"idleTimeoutS", 15}}},
      {"tenants", json::array({{{"name", "tenant-1"},
                                {"apiKeys", json::array({"key-1"})},
                                {"priority", 1},
                                {"ratePerS", 0},
                                {"burst", 0},
                                {"homeRegions", json::array()}}})},
      {"hosts", json::array({{{"host", "shop.example"}, {"paths", Paths}}})}}
      .dump();
}

std::string makeRequest(const std::string &Method, const std::string &Path,
                        const std::string &Id, int DeadlineMs,
                        const std::string &Body) {
  std::string Request =
      Method + " " + Path +
      " HTTP/1.1\r\nHost: shop.example\r\nX-Request-Id: " + Id +
      "\r\nX-Deadline-Ms: " + std::to_string(DeadlineMs) +
      "\r\nX-Api-Key: key-1\r\n";
  if (!Body.empty())
    Request += "Content-Length: " + std::to_string(Body.size()) + "\r\n";
  return Request + "\r\n" + Body;
}

} // namespace review
