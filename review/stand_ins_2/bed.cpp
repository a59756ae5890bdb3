#include "bed.h"

#include <algorithm>
#include <arpa/inet.h>
#include <cctype>
#include <cerrno>
#include <csignal>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <iostream>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <random>
#include <sstream>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>

namespace review {

namespace {

const auto ProgramStart = steady::now();
std::mutex RecordMutex;
std::ofstream Record;

constexpr std::size_t ReadBytes = 64 * 1024;
constexpr int PortsOfVm = 7;
constexpr milliseconds HeartbeatInterval{1'500};

sockaddr_in makeAddress(const std::string &Ip, int Port) {
  sockaddr_in Address{};
  Address.sin_family = AF_INET;
  Address.sin_port = htons(static_cast<std::uint16_t>(Port));
  ::inet_pton(AF_INET, Ip.c_str(), &Address.sin_addr);
  return Address;
}

bool sameName(const std::string &Left, const std::string &Right) {
  return ::strcasecmp(Left.c_str(), Right.c_str()) == 0;
}

/** @returns the value of a parameter of a target's query. */
std::string queryValue(const std::string &Target, const std::string &Name) {
  const auto Start = Target.find('?');
  std::istringstream Query(
      Start == std::string::npos ? "" : Target.substr(Start + 1));
  for (std::string Part; std::getline(Query, Part, '&');)
    if (Part.rfind(Name + "=", 0) == 0)
      return Part.substr(Name.size() + 1);
  return {};
}

std::uint64_t queryNumber(const std::string &Target, const std::string &Name) {
  return std::strtoull(queryValue(Target, Name).c_str(), nullptr, 10);
}

constexpr const char *Digits =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

std::string encodeBase64(const std::string &Text) {
  std::string Encoded;
  for (std::size_t Start = 0; Start < Text.size(); Start += 3) {
    const auto Count = std::min<std::size_t>(3, Text.size() - Start);
    std::uint32_t Bits = 0;
    for (std::size_t Index = 0; Index < 3; ++Index)
      Bits = Bits << 8U |
             (Index < Count ? static_cast<unsigned char>(Text[Start + Index])
                            : 0U);
    for (std::size_t Index = 0; Index < 4; ++Index)
      Encoded += Index <= Count ? Digits[Bits >> (18 - 6 * Index) & 63U] : '=';
  }
  return Encoded;
}

std::string decodeBase64(const std::string &Text) {
  std::string Decoded;
  std::uint32_t Bits = 0;
  unsigned Count = 0;
  for (const char Digit : Text) {
    const char *Found = Digit == '=' ? nullptr : std::strchr(Digits, Digit);
    if (Found == nullptr)
      break;
    Bits = Bits << 6U | static_cast<std::uint32_t>(Found - Digits);
    Count += 6;
    if (Count >= 8) {
      Count -= 8;
      Decoded += static_cast<char>(Bits >> Count & 255U);
    }
  }
  return Decoded;
}

std::string makeAnswer(unsigned Status, const std::string &Body,
                       const std::string &Fields = "") {
  return "HTTP/1.1 " + std::to_string(Status) + " Answer\r\n" + Fields +
         "Content-Length: " + std::to_string(Body.size()) + "\r\n\r\n" + Body;
}

} // namespace

milliseconds now() {
  return std::chrono::duration_cast<milliseconds>(steady::now() - ProgramStart);
}

void note(const std::string &Text) {
  const std::lock_guard Lock(RecordMutex);
  std::ostringstream Line;
  Line << now().count() << " ms  " << Text << "\n";
  Record << Line.str() << std::flush;
}

void pause(milliseconds Time) { std::this_thread::sleep_for(Time); }

std::string message::field(const std::string &Name) const {
  for (const auto &[Key, Value] : Fields)
    if (sameName(Key, Name))
      return Value;
  return {};
}

std::string message::method() const {
  return StartLine.substr(0, StartLine.find(' '));
}

std::string message::target() const {
  const auto Start = StartLine.find(' ') + 1;
  return StartLine.substr(Start, StartLine.find(' ', Start) - Start);
}

unsigned message::status() const {
  return StartLine.rfind("HTTP/1.", 0) == 0
             ? static_cast<unsigned>(std::atoi(StartLine.c_str() + 9))
             : 0;
}

connection::~connection() { ::close(Descriptor); }

std::unique_ptr<connection> connection::open(const std::string &Ip, int Port) {
  const int Socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const auto Address = makeAddress(Ip, Port);
  if (::connect(Socket, reinterpret_cast<const sockaddr *>(&Address),
                sizeof Address) != 0) {
    ::close(Socket);
    return nullptr;
  }
  const int Yes = 1;
  ::setsockopt(Socket, IPPROTO_TCP, TCP_NODELAY, &Yes, sizeof Yes);
  return std::make_unique<connection>(Socket);
}

bool connection::send(const std::string &Bytes) {
  std::size_t Sent = 0;
  while (Sent < Bytes.size()) {
    const auto Count = ::send(Descriptor, Bytes.data() + Sent,
                              Bytes.size() - Sent, MSG_NOSIGNAL);
    if (Count <= 0)
      return false;
    Sent += static_cast<std::size_t>(Count);
  }
  return true;
}

read_end connection::read(message &Message, milliseconds Timeout) {
  const auto Until = steady::now() + Timeout;
  Message = {};
  std::size_t HeadBytes = 0;
  std::size_t Length = 0;
  for (;;) {
    if (HeadBytes == 0) {
      const auto End = Buffer.find("\r\n\r\n");
      if (End != std::string::npos) {
        HeadBytes = End + 4;
        std::istringstream Lines(Buffer.substr(0, End));
        std::getline(Lines, Message.StartLine);
        if (!Message.StartLine.empty())
          Message.StartLine.pop_back();
        for (std::string Line; std::getline(Lines, Line);) {
          if (!Line.empty() && Line.back() == '\r')
            Line.pop_back();
          const auto Colon = Line.find(':');
          auto Value = Line.substr(std::min(Line.size(), Colon + 1));
          Value.erase(0, Value.find_first_not_of(' '));
          Message.Fields.emplace_back(Line.substr(0, Colon), Value);
        }
        if (Message.Fields.empty() || Message.StartLine.empty())
          return read_end::CutOff;
        Length =
            std::strtoull(Message.field("Content-Length").c_str(), nullptr, 10);
      }
    }
    if (HeadBytes > 0 && Buffer.size() >= HeadBytes + Length) {
      Message.Body = Buffer.substr(HeadBytes, Length);
      Buffer.erase(0, HeadBytes + Length);
      return read_end::Whole;
    }
    const auto Left =
        std::chrono::duration_cast<milliseconds>(Until - steady::now()).count();
    pollfd Ready{Descriptor, POLLIN, 0};
    if (Left <= 0 || ::poll(&Ready, 1, static_cast<int>(Left)) == 0)
      return read_end::TimedOut;
    std::string Bytes(ReadBytes, '\0');
    const auto Count = ::recv(Descriptor, Bytes.data(), Bytes.size(), 0);
    if (Count <= 0)
      return Count == 0 && Buffer.empty() ? read_end::Closed : read_end::CutOff;
    Buffer.append(Bytes, 0, static_cast<std::size_t>(Count));
  }
}

bool connection::isClosed() {
  char Byte = 0;
  const auto Count = ::recv(Descriptor, &Byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return Count == 0 || (Count < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
}

void connection::reset() {
  const linger Now{1, 0};
  ::setsockopt(Descriptor, SOL_SOCKET, SO_LINGER, &Now, sizeof Now);
}

listener::listener(const std::string &Ip, server Given)
    : Descriptor(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)),
      Serve(std::move(Given)) {
  auto Address = makeAddress(Ip, 0);
  socklen_t Size = sizeof Address;
  if (::bind(Descriptor, reinterpret_cast<const sockaddr *>(&Address), Size) !=
          0 ||
      ::listen(Descriptor, 1024) != 0)
    finish(2);
  ::getsockname(Descriptor, reinterpret_cast<sockaddr *>(&Address), &Size);
  Port = ntohs(Address.sin_port);
  std::thread([this] { accept(); }).detach();
}

void listener::accept() {
  for (;;) {
    const int Listening = Descriptor;
    const int Accepted =
        Listening < 0 ? -1
                      : ::accept4(Listening, nullptr, nullptr, SOCK_CLOEXEC);
    if (Accepted < 0)
      return;
    const int Yes = 1;
    ::setsockopt(Accepted, IPPROTO_TCP, TCP_NODELAY, &Yes, sizeof Yes);
    std::thread([this, Accepted] {
      connection Connection(Accepted);
      Serve(Connection);
    }).detach();
  }
}

void listener::close() {
  const int Listening = Descriptor.exchange(-1);
  ::shutdown(Listening, SHUT_RDWR);
  ::close(Listening);
}

store::store()
    : Listener(std::make_unique<listener>(
          "127.0.0.1", [this](connection &Given) { serve(Given); })) {}

std::string store::address() const {
  return "127.0.0.1:" + std::to_string(Listener->port());
}

void store::put(const std::string &Table, const std::string &Key,
                std::optional<std::string> Value) {
  const std::lock_guard Lock(Mutex);
  Rows[{Table, Key}] = {std::move(Value), ++Version};
  Changed.notify_all();
}

std::optional<std::string> store::value(const std::string &Table,
                                        const std::string &Key) {
  const std::lock_guard Lock(Mutex);
  const auto Found = Rows.find({Table, Key});
  return Found == Rows.end() ? std::nullopt : Found->second.Value;
}

std::uint64_t store::version() {
  const std::lock_guard Lock(Mutex);
  return Version;
}

void store::setSilent(bool Wanted) { IsSilent = Wanted; }

void store::serve(connection &Connection) {
  message Request;
  while (Connection.read(Request, std::chrono::minutes(5)) == read_end::Whole) {
    if (IsSilent) {
      // What is lost on a connection is followed by nothing.
      while (!Connection.isClosed())
        pause(milliseconds(50));
      return;
    }
    const auto Answer = answer(Request);
    pause(milliseconds(AnswerMs));
    if (IsSilent)
      continue;
    if (!Connection.send(Answer))
      return;
  }
}

std::string store::describe(const std::string &Table, std::uint64_t After,
                            bool WithRemoved) {
  json List = json::array();
  for (const auto &[Id, Row] : Rows) {
    if (Id.first != Table || Row.Version <= After ||
        (!Row.Value && !WithRemoved))
      continue;
    json Described = {{"table", Table},
                      {"part", ""},
                      {"key", Id.second},
                      {"schemaVersion", Row.Version}};
    if (Row.Value)
      Described["value"] = encodeBase64(*Row.Value);
    else
      Described["removed"] = true;
    List.push_back(std::move(Described));
  }
  return json{{"rows", std::move(List)},
              {"hasMore", false},
              {"schemaVersion", Version},
              {"currentTimeS", 100 + static_cast<double>(now().count()) / 1e3}}
      .dump();
}

std::string store::commit(const std::string &Body) {
  const auto Transaction = json::parse(Body, nullptr, false);
  for (const auto &Condition : Transaction.at("expectedRevision")) {
    const std::string Table = Condition.at("table");
    const auto Found = Rows.find({Table, Condition.at("key")});
    const auto Current =
        Found == Rows.end() || !Found->second.Value ? 0 : Found->second.Version;
    if (Current != Condition.at("schemaVersion").get<std::uint64_t>())
      return makeAnswer(412, describe(Table, 0, false));
  }
  ++Version;
  for (const auto &Put : Transaction.at("puts"))
    Rows[{Put.at("table"), Put.at("key")}] = {decodeBase64(Put.at("value")),
                                              Version};
  Changed.notify_all();
  return makeAnswer(200, json{{"schemaVersion", Version},
                              {"currentTimeS",
                               100 + static_cast<double>(now().count()) / 1e3}}
                             .dump());
}

std::string store::answer(const message &Request) {
  const auto Target = Request.target();
  const auto Path = Target.substr(0, Target.find('?'));
  const auto Table = queryValue(Target, "table");
  std::unique_lock Lock(Mutex);
  if (Path == "/rows-get")
    return makeAnswer(200, describe(Table, 0, false));
  if (Path == "/rows-tx")
    return commit(Request.Body);
  if (Path != "/rows-feed")
    return makeAnswer(404, "{}");
  const auto After = queryNumber(Target, "after");
  Changed.wait_for(Lock, milliseconds(queryNumber(Target, "waitMs")), [&] {
    return std::any_of(Rows.begin(), Rows.end(), [&](const auto &Entry) {
      return Entry.first.first == Table && Entry.second.Version > After;
    });
  });
  return makeAnswer(200, describe(Table, After, true));
}

void run_log::add(run Run) {
  note("endpoint " + Run.Endpoint + " of " + Run.Service + " runs request " +
       Run.Id);
  const std::lock_guard Lock(Mutex);
  Runs.push_back(std::move(Run));
}

std::vector<run> run_log::of(const std::string &Id) {
  const std::lock_guard Lock(Mutex);
  std::vector<run> Found;
  std::copy_if(Runs.begin(), Runs.end(), std::back_inserter(Found),
               [&](const run &Run) { return Run.Id == Id; });
  return Found;
}

endpoint::endpoint(std::string GivenId, std::string GivenService,
                   std::string GivenZone, run_log &Runs, script Given)
    : Id(std::move(GivenId)), Service(std::move(GivenService)),
      Zone(std::move(GivenZone)), Runs(Runs), Script(std::move(Given)),
      Listener(std::make_unique<listener>(
          "127.0.0.1", [this](connection &Accepted) { serve(Accepted); })) {}

void endpoint::keepBeating(store &Store) {
  beat(Store, "ready");
  std::thread([this, &Store] {
    for (;;) {
      pause(HeartbeatInterval);
      if (!Store.isSilent())
        beat(Store, "ready");
    }
  }).detach();
}

void endpoint::leave(store &Store) {
  const std::lock_guard Lock(RowMutex);
  HasLeft = true;
  Store.put("servers", Id, std::nullopt);
}

void endpoint::beat(store &Store, const std::string &State) {
  const std::lock_guard Lock(RowMutex);
  if (HasLeft)
    return;
  Store.put(
      "servers", Id,
      json{
          {"address", "127.0.0.1:" + std::to_string(Listener->port())},
          {"born", 1767000000000},
          {"information",
           {{"service", Service},
            {"version", "v1"},
            {"zone", Zone},
            {"slots", 5}}},
          {"status",
           {{"state", State}, {"sequence", ++Sequence}, {"coldRemainingS", 0}}}}
          .dump());
}

void endpoint::end() {
  HasEnded = true;
  Listener->close();
}

void endpoint::serve(connection &Connection) {
  message Request;
  while (!HasEnded) {
    const auto End = Connection.read(Request, milliseconds(100));
    if (End == read_end::TimedOut)
      continue;
    if (End != read_end::Whole)
      return;
    const auto RequestId = Request.field("X-Request-Id");
    const auto Expected = Request.field("X-Expected-Instance");
    const auto IdField = "X-Request-Id: " + RequestId + "\r\n";
    if (!Expected.empty() && Expected != Id) {
      Connection.send(
          makeAnswer(421, "", IdField + "X-Instance-Id: " + Id + "\r\n"));
      continue;
    }
    Runs.add({Id, Service, RequestId, now()});
    const auto Reaction = Script(Request);
    for (auto Left = Reaction.After; Left > milliseconds(0) && !HasEnded;
         Left -= milliseconds(10))
      pause(std::min(Left, milliseconds(10)));
    if (Reaction.IsLost || HasEnded) {
      note("endpoint " + Id + ": the answer to " + RequestId + " is lost");
      Connection.reset();
      return;
    }
    Connection.send(
        makeAnswer(Reaction.Status, Reaction.Body,
                   IdField + "X-Server-Stamp: stamp-of-" + Id + "\r\n"));
  }
  Connection.reset();
}

int findPorts(const std::vector<std::string> &Ips) {
  std::random_device Random;
  for (int Try = 0; Try < 200; ++Try) {
    const int First = 20'000 + static_cast<int>(Random() % 10'000);
    bool IsFree = true;
    for (const auto &Ip : Ips)
      for (int Port = First; Port < First + PortsOfVm && IsFree; ++Port)
        for (const int Type : {SOCK_STREAM, SOCK_DGRAM}) {
          const int Socket = ::socket(AF_INET, Type | SOCK_CLOEXEC, 0);
          const auto Address = makeAddress(Ip, Port);
          IsFree = IsFree &&
                   ::bind(Socket, reinterpret_cast<const sockaddr *>(&Address),
                          sizeof Address) == 0;
          ::close(Socket);
        }
    if (IsFree)
      return First;
  }
  finish(2);
}

vm::vm(const fleet &Fleet, std::string Name, std::string Ip, std::string Domain)
    : Fleet(Fleet), Name(std::move(Name)), Ip(std::move(Ip)),
      Domain(std::move(Domain)) {}

vm::~vm() {
  if (Process <= 0)
    return;
  ::kill(Process, SIGKILL);
  ::waitpid(Process, nullptr, 0);
}

std::string vm::path(const std::string &Suffix) const {
  return Fleet.Folder + "/" + Name + Suffix;
}

void vm::start() {
  const auto Region =
      std::find_if(Fleet.Domains.begin(), Fleet.Domains.end(),
                   [this](const auto &Entry) { return Entry.first == Domain; });
  const auto At = [this](int Offset) {
    return "\"" + Ip + ":" + std::to_string(Fleet.Port + Offset) + "\"\n";
  };
  std::ofstream Settings(path(".yaml"));
  Settings << "vm:\n  name: " << Name << "\n  region: " << Region->second
           << "\n  failure_domain: " << Domain
           << "\n  cores: 0.2\n  memory_megabytes: 260\n  descriptors: "
           << Fleet.Descriptors << "\naddresses:\n  callers: " << At(0)
           << "  readiness: " << At(1) << "  directory: " << At(2)
           << "  first_peer_port: " << Fleet.Port + 3
           << "\n  metrics_port: " << Fleet.Port + 5 << "\n  seeds: [";
  for (std::size_t Index = 0; Index < Fleet.Seeds.size(); ++Index)
    Settings << (Index > 0 ? "," : "") << "\"" << Fleet.Seeds[Index] << ":"
             << Fleet.Port + 6 << "\"";
  Settings << "]\nstore: \"" << Fleet.Store << "\"\nfailure_domains:\n";
  for (const auto &[Each, EachRegion] : Fleet.Domains)
    Settings << "  - name: " << Each << "\n    region: " << EachRegion << "\n";
  Settings << "contracts: [\"base\",\"drain\",\"config\",\"cost\",\"retry\","
              "\"recover\",\"places\",\"tenants\",\"quota\",\"rollout\","
              "\"platform\"]\nbounds:\n  grace_seconds: 6\n"
              "  configuration_seconds: 2\n  endpoint_drain_seconds: 2\n"
              "  retry_ratio: 0.2\n  retry_window_seconds: 10\n"
              "  retry_slack: 60\n  quota_window_seconds: 5\n"
              "  quota_overshoot: 0.1\n  quota_slack: 20\n"
              "  rollout_share: 0.1\n  rollout_slack: 50\n";
  Settings.close();
  const auto Log = path(".log");
  const auto File = path(".yaml");
  Process = ::fork();
  if (Process == 0) {
    // It ends with this program, however that ends.
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    const int Output = ::open(Log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    ::dup2(Output, STDOUT_FILENO);
    ::dup2(Output, STDERR_FILENO);
    ::execl(Fleet.Program.c_str(), "sesamepaddle", "ingress", "--settings",
            File.c_str(), nullptr);
    ::_exit(127);
  }
  note("vm " + Name + " started at " + Ip);
}

void vm::signal(int Number) {
  note("vm " + Name + " gets signal " + std::to_string(Number));
  if (Process > 0)
    ::kill(Process, Number);
  if (Number == SIGKILL) {
    ::waitpid(Process, nullptr, 0);
    Process = -1;
  }
}

bool vm::isRunning() {
  if (Process > 0 && ::waitpid(Process, nullptr, WNOHANG) != 0)
    Process = -1;
  return Process > 0;
}

bool vm::isReady() const {
  const auto Connection = connection::open(Ip, Fleet.Port + 1);
  message Answer;
  return Connection &&
         Connection->send("GET /readiness HTTP/1.1\r\nHost: ready\r\n\r\n") &&
         Connection->read(Answer, milliseconds(1'000)) == read_end::Whole &&
         Answer.status() == 200;
}

bool vm::awaitReady(milliseconds Timeout) const {
  const auto Until = steady::now() + Timeout;
  while (steady::now() < Until) {
    if (isReady())
      return true;
    pause(milliseconds(50));
  }
  note("vm " + Name + " is not ready");
  return false;
}

std::string vm::log() const {
  std::ifstream File(path(".log"));
  std::ostringstream Text;
  Text << File.rdbuf();
  return Text.str();
}

std::string makeRequest(const std::string &Method, const std::string &Target,
                        const std::string &Host, const std::string &Id,
                        int DeadlineMs, const std::string &Body) {
  std::ostringstream Text;
  Text << Method << " " << Target << " HTTP/1.1\r\nHost: " << Host
       << "\r\nX-Request-Id: " << Id << "\r\nX-Deadline-Ms: " << DeadlineMs
       << "\r\n";
  if (!Body.empty())
    Text << "Content-Length: " << Body.size() << "\r\n";
  Text << "\r\n" << Body;
  return Text.str();
}

outcome ask(connection &Connection, const std::string &Request,
            milliseconds Timeout) {
  outcome Outcome;
  const auto Start = now();
  message Answer;
  if (Connection.send(Request))
    Outcome.End = Connection.read(Answer, Timeout);
  else
    Outcome.End = read_end::CutOff;
  if (Outcome.End == read_end::Whole) {
    Outcome.Status = Answer.status();
    Outcome.Body = Answer.Body;
  }
  Outcome.Took = now() - Start;
  return Outcome;
}

json makeRoute(const std::string &Name, const std::string &Prefix,
               const std::string &Kind, const std::string &Service,
               double TimeoutS) {
  return {{"name", Name},
          {"prefix", Prefix},
          {"kind", Kind},
          {"timeoutS", TimeoutS},
          {"targetLatencyS", TimeoutS / 3},
          {"priority", 1},
          {"service", Service},
          {"maxAttempts", 2},
          {"public", false},
          {"sticky", false},
          {"homeRegions", json::array()}};
}

json makeManifest(int Version, const std::vector<std::string> &Services,
                  const std::string &Host, std::vector<json> Routes) {
  json Manifest = {{"version", Version},
                   {"services", json::array()},
                   {"limits",
                    {{"headerBytes", 16384},
                     {"bodyBytes", 67108864},
                     {"headerTimeoutS", 3},
                     {"idleTimeoutS", 15}}},
                   {"hosts", {{{"host", Host}, {"paths", std::move(Routes)}}}}};
  for (const auto &Service : Services)
    Manifest["services"].push_back({{"name", Service},
                                    {"healthPath", "/health"},
                                    {"connectionLimit", 360},
                                    {"protocol", "h1"},
                                    {"tls", false},
                                    {"coldStartS", 3.0},
                                    {"coldPerS", 4.4}});
  return Manifest;
}

options readOptions(int Count, char **Arguments) {
  if (Count < 4) {
    std::cerr << "usage: " << Arguments[0] << " FOLDER PROGRAM RECORD\n";
    std::_Exit(2);
  }
  std::signal(SIGPIPE, SIG_IGN);
  options Options;
  Options.Folder = Arguments[1];
  Options.Program = Arguments[2];
  Record.open(Arguments[3]);
  const char *Trouble = std::getenv("TROUBLE");
  Options.IsTrouble = Trouble == nullptr || std::string(Trouble) != "0";
  note(std::string("trouble: ") + (Options.IsTrouble ? "yes" : "no"));
  return Options;
}

void finish(int Status) {
  note("exit " + std::to_string(Status));
  std::_Exit(Status);
}

} // namespace review
