#include "ingress/ingress_fixture.h"

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <future>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <thread>
#include <vector>

using namespace sesamepaddle;
using std::chrono::milliseconds;

namespace {

using names = std::vector<std::string>;

/** Answers of an endpoint that wait until a test releases them. */
class held_answers {
public:
  scripted_endpoint::script script() {
    return [this](const std::string &Request) {
      const auto Id = fieldOf(Request, "Id");
      scripted_answer Answer{makeAnswer(Request, bodyOf(Id))};
      Answer.IsDue = [this, Id] {
        const std::lock_guard Lock(Mutex);
        return IsAllReleased || Released.contains(Id) ||
               Id.starts_with("probe");
      };
      return Answer;
    };
  }

  static std::string bodyOf(const std::string &Id) {
    return "the body of " + Id;
  }

  void release(const std::string &Id) {
    const std::lock_guard Lock(Mutex);
    Released.insert(Id);
  }
  void releaseAll() {
    const std::lock_guard Lock(Mutex);
    IsAllReleased = true;
  }

private:
  std::mutex Mutex;
  std::set<std::string> Released;
  bool IsAllReleased = false;
};

std::string lookup(const std::string &Id, const std::string &Fields = "") {
  return "GET /checks/" + Id + " HTTP/1.1\r\nHost: shop.example\r\nId: " + Id +
         "\r\nKey: k1\r\n" + Fields + "\r\n";
}

std::string order(const std::string &Id) {
  return "POST /orders/" + Id + " HTTP/1.1\r\nHost: shop.example\r\nId: " + Id +
         "\r\nKey: k1\r\nContent-Length: 5\r\n\r\ncloth";
}

std::string upload(const std::string &Id, std::size_t Bytes) {
  std::string Text = "POST /orders/" + Id +
                     " HTTP/1.1\r\nHost: shop.example\r\nId: " + Id +
                     "\r\nKey: k1\r\nTransfer-Encoding: chunked\r\n\r\n";
  constexpr std::size_t ChunkBytes = 4'096;
  for (std::size_t Sent = 0; Sent < Bytes; Sent += ChunkBytes)
    Text += "1000\r\n" + std::string(ChunkBytes, 'u') + "\r\n";
  return Text + "0\r\n\r\n";
}

/** Sets routes whose requests have the time to wait for a test.
    @param Kind  of the requests that lookup() makes */
void useLongTimeouts(ingress_fixture &Fixture,
                     request_kind Kind = request_kind::Idempotent) {
  configuration_content Content;
  Content.Version = Kind == request_kind::Idempotent ? 2 : 3;
  fleet_route Checks;
  Checks.Name = route_name("checks");
  Checks.Prefix = "/checks/";
  Checks.Kind = Kind;
  Checks.Timeout = milliseconds(60'000);
  Checks.LatencyObjective = milliseconds(60'000);
  Checks.Services = {{service_name("orders"), 1}};
  Checks.MaxAttempts = 2;
  auto Orders = Checks;
  Orders.Name = route_name("orders");
  Orders.Prefix = "/orders/";
  Orders.Kind = request_kind::AtMostOnce;
  Content.RoutesByHost["shop.example"] = {Checks, Orders};
  workspace_terms Bakery;
  Bakery.Name = workspace_name("bakery");
  Bakery.Keys = {"k1"};
  Content.Workspaces = {Bakery};
  service_terms Service;
  Service.Name = service_name("orders");
  Content.Services = {Service};
  Fixture.onVm([&](fleet_state &Fleet) {
    return Fleet.setConfiguration(
        std::make_shared<fleet_configuration>(std::move(Content)));
  });
}

/** Waits until @p Condition holds. */
template <typename Function> void await(Function Condition) {
  const auto End = std::chrono::steady_clock::now() + milliseconds(10'000);
  while (!Condition() && std::chrono::steady_clock::now() < End)
    std::this_thread::sleep_for(milliseconds(2));
  REQUIRE(Condition());
}

/** @returns the ids of the requests that an endpoint got, without probes. */
names idsAt(ingress_fixture &Fixture, std::size_t Endpoint = 0) {
  names Ids;
  for (const auto &Request : Fixture.endpoint(Endpoint).requests())
    if (const auto Id = fieldOf(Request, "Id"); !Id.starts_with("probe"))
      Ids.push_back(Id);
  return Ids;
}

names sortedIdsAt(ingress_fixture &Fixture) {
  auto Ids = idsAt(Fixture);
  std::sort(Ids.begin(), Ids.end());
  return Ids;
}

/** Serves requests of other callers, so that the VM has handled everything that
    had arrived before. */
void probe(ingress_fixture &Fixture) {
  for (int Number = 0; Number < 3; ++Number)
    REQUIRE(Fixture.get("/checks/probe", absl::StrCat("probe", Number))
                .starts_with("HTTP/1.1 200 "));
}

struct answer {
  std::string Status;
  std::string Id;
  std::string Body;
  bool Closes = false;
};

/** A caller that sends requests ahead and reads whole answers. */
class caller {
public:
  explicit caller(ingress_fixture &Fixture) : Connection(Fixture.callers()) {}

  void send(std::string_view Bytes) { Connection.send(Bytes); }

  /** @returns the next @p Count answers; fewer when the connection is closed.
   */
  std::vector<answer> read(std::size_t Count) {
    std::vector<answer> Answers;
    const auto End = std::chrono::steady_clock::now() + milliseconds(20'000);
    while (Answers.size() < Count && std::chrono::steady_clock::now() < End) {
      if (auto Next = take())
        Answers.push_back(std::move(*Next));
      else if (Connection.isClosed())
        break;
      else
        Text += Connection.readToEnd(milliseconds(10));
    }
    return Answers;
  }

  /** @returns true when the VM closes the connection and sends nothing more. */
  bool isEnded() {
    Text += Connection.readToEnd(milliseconds(10'000));
    return Connection.isClosed() && Text.empty();
  }

  /** @returns true when bytes have arrived. */
  bool hasBytes() {
    Text += Connection.readToEnd(milliseconds(20));
    return !Text.empty();
  }

private:
  std::optional<answer> take() {
    const auto HeadBytes = Text.find("\r\n\r\n");
    if (HeadBytes == std::string::npos)
      return std::nullopt;
    const auto Head = Text.substr(0, HeadBytes + 2);
    std::size_t Length = 0;
    REQUIRE(absl::SimpleAtoi(fieldOf(Head, "Content-Length"), &Length));
    if (Text.size() < HeadBytes + 4 + Length)
      return std::nullopt;
    answer Answer{Head.substr(9, 3), fieldOf(Head, "Id"),
                  Text.substr(HeadBytes + 4, Length),
                  fieldOf(Head, "Connection") == "close"};
    Text.erase(0, HeadBytes + 4 + Length);
    return Answer;
  }

  raw_connection Connection;
  std::string Text;
};

/** Checks that @p Answers are the whole ones to @p Ids, in this order. */
void checkAnswers(const std::vector<answer> &Answers, const names &Ids) {
  names Got;
  for (const auto &Answer : Answers) {
    Got.push_back(Answer.Id);
    CHECK(Answer.Status == "200");
    CHECK(Answer.Body == held_answers::bodyOf(Answer.Id));
  }
  CHECK(Got == Ids);
}

/** @returns a port that nothing listens on. */
unsigned short freePort() {
  asio::io_context Context;
  return tcp::acceptor(Context,
                       tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0))
      .local_endpoint()
      .port();
}

/** A VM that serves metrics. */
struct measured_vm {
  explicit measured_vm(std::vector<scripted_endpoint::script> Scripts,
                       ahead_limits Limits = {})
      : Port(freePort()),
        Fixture(std::move(Scripts), [&](ingress_options &Options) {
          Options.Vm.MetricsAddress = absl::StrCat("127.0.0.1:", Port);
          Options.Ahead = Limits;
        }) {
    useLongTimeouts(Fixture);
  }

  /** @returns the value of the metric @p Name. */
  std::uint64_t metric(const std::string &Name) const {
    raw_connection Connection({asio::ip::make_address("127.0.0.1"), Port});
    Connection.send("GET /metrics HTTP/1.1\r\nHost: vm\r\n"
                    "Connection: close\r\n\r\n");
    const auto Text = Connection.readToEnd(milliseconds(10'000));
    const auto Place = Text.find("\n" + Name + " ");
    REQUIRE(Place != std::string::npos);
    const auto Start = Place + Name.size() + 2;
    std::uint64_t Value = 0;
    REQUIRE(absl::SimpleAtoi(Text.substr(Start, Text.find('\n', Start) - Start),
                             &Value));
    return Value;
  }

  unsigned short Port;
  ingress_fixture Fixture;
};

} // namespace

TEST_CASE("a request that is sent ahead does not wait for a slow one before") {
  held_answers Answers;
  ingress_fixture Fixture({Answers.script()});
  useLongTimeouts(Fixture);
  caller Caller(Fixture);

  SUBCASE("it starts at once, and its answer waits for its turn") {
    Caller.send(lookup("a") + lookup("b"));
    await([&] { return sortedIdsAt(Fixture) == names{"a", "b"}; });
    Answers.release("b");
    probe(Fixture);
    CHECK_FALSE(Caller.hasBytes());
    Answers.release("a");
    checkAnswers(Caller.read(2), {"a", "b"});
  }

  SUBCASE("also one that comes later, and in pieces") {
    Caller.send(lookup("a"));
    await([&] { return idsAt(Fixture) == names{"a"}; });
    const auto Text = lookup("b");
    Caller.send(Text.substr(0, Text.size() / 2));
    probe(Fixture);
    CHECK(idsAt(Fixture) == names{"a"});
    Caller.send(Text.substr(Text.size() / 2) + lookup("c"));
    await([&] { return sortedIdsAt(Fixture) == names{"a", "b", "c"}; });
    Answers.releaseAll();
    checkAnswers(Caller.read(3), {"a", "b", "c"});
  }

  SUBCASE("answers leave in order, however they come") {
    const names Ids = {"a", "b", "c", "d", "e", "f", "g", "h"};
    for (const auto &Id : Ids)
      Caller.send(lookup(Id));
    await([&] { return sortedIdsAt(Fixture) == Ids; });
    for (auto Id = Ids.rbegin(); Id != Ids.rend(); ++Id) {
      Answers.release(*Id);
      probe(Fixture);
    }
    checkAnswers(Caller.read(Ids.size()), Ids);
  }

  SUBCASE("the connection serves further requests afterwards") {
    Answers.releaseAll();
    Caller.send(lookup("a") + lookup("b"));
    checkAnswers(Caller.read(2), {"a", "b"});
    Caller.send(lookup("c") + lookup("d") + lookup("e"));
    checkAnswers(Caller.read(3), {"c", "d", "e"});
    Caller.send(order("f"));
    checkAnswers(Caller.read(1), {"f"});
  }

  // More than is read ahead, and more than may run at once.
  SUBCASE("thousands of requests are all answered") {
    Answers.releaseAll();
    names Ids;
    std::string Text;
    for (int Number = 0; Number < 3'000; ++Number) {
      Ids.push_back(absl::StrCat("r", Number));
      Text += lookup(Ids.back());
    }
    auto Sent = std::async(std::launch::async, [&] { Caller.send(Text); });
    checkAnswers(Caller.read(Ids.size()), Ids);
    Sent.get();
  }
}

TEST_CASE("a request that may not be repeated waits for all before it") {
  held_answers Answers;
  ingress_fixture Fixture({Answers.script()});
  useLongTimeouts(Fixture);
  caller Caller(Fixture);

  SUBCASE("and those behind it wait as well") {
    Caller.send(lookup("a") + lookup("b") + order("c") + lookup("d") +
                order("e"));
    await([&] { return sortedIdsAt(Fixture) == names{"a", "b"}; });
    Answers.release("b");
    probe(Fixture);
    CHECK(idsAt(Fixture).size() == 2);
    Answers.release("a");
    await([&] { return idsAt(Fixture).size() == 3; });
    probe(Fixture);
    CHECK(idsAt(Fixture).back() == "c");
    Answers.release("c");
    await([&] { return idsAt(Fixture).size() == 4; });
    probe(Fixture);
    CHECK(idsAt(Fixture).back() == "d");
    Answers.releaseAll();
    checkAnswers(Caller.read(5), {"a", "b", "c", "d", "e"});
  }

  SUBCASE("an upload") {
    constexpr std::size_t Bytes = 50UL * 4'096;
    Caller.send(lookup("a"));
    auto Sent = std::async(std::launch::async, [&] {
      Caller.send(upload("b", Bytes) + lookup("c"));
    });
    await([&] { return !idsAt(Fixture).empty(); });
    probe(Fixture);
    CHECK(idsAt(Fixture) == names{"a"});
    Answers.releaseAll();
    checkAnswers(Caller.read(3), {"a", "b", "c"});
    Sent.get();
    const auto Requests = Fixture.endpoint(0).requests();
    const auto Upload =
        std::find_if(Requests.begin(), Requests.end(), [](const auto &Request) {
          return fieldOf(Request, "Id") == "b";
        });
    REQUIRE(Upload != Requests.end());
    CHECK(Upload->ends_with("\r\n\r\n" + std::string(Bytes, 'u')));
  }
}

TEST_CASE(
    "a request that was sent ahead is not sent again before its turn when "
    "it may not be repeated any more") {
  held_answers Answers;
  const auto Script = [Held = Answers.script()](const std::string &Request) {
    auto Answer = Held(Request);
    if (fieldOf(Request, "Id") == "b")
      Answer.Bytes = makeAnswer(Request, "", "503 Full", "Not-Run: 1\r\n");
    return Answer;
  };
  measured_vm Vm({Script, Script});
  auto &Fixture = Vm.Fixture;
  caller Caller(Fixture);
  const auto TimesPassedOn = [&] {
    auto Ids = idsAt(Fixture, 0);
    const auto Others = idsAt(Fixture, 1);
    Ids.insert(Ids.end(), Others.begin(), Others.end());
    return std::count(Ids.begin(), Ids.end(), "b");
  };
  Caller.send(lookup("a") + lookup("b"));
  await([&] { return TimesPassedOn() == 1; });
  useLongTimeouts(Fixture, request_kind::AtMostOnce);
  Answers.release("b");
  // It has its answer, which waits for that of the first one.
  await([&] { return Vm.metric("sesamepaddle_requests_ahead_bytes") > 0; });
  CHECK(TimesPassedOn() == 1);
  Answers.releaseAll();
  const auto Got = Caller.read(2);
  REQUIRE(Got.size() == 2);
  CHECK(Got.front().Status == "200");
  CHECK(Got.back().Status == "503");
  CHECK(TimesPassedOn() == 1);
}

TEST_CASE("an answer that closes the connection drops nothing that was passed "
          "on") {
  held_answers Answers;

  SUBCASE("the caller asks for it with a later request") {
    ingress_fixture Fixture({Answers.script()});
    useLongTimeouts(Fixture);
    caller Caller(Fixture);
    Caller.send(lookup("a") + lookup("b", "Connection: close\r\n") +
                lookup("c") + order("d"));
    await([&] { return sortedIdsAt(Fixture) == names{"a", "b"}; });
    Answers.releaseAll();
    const auto Got = Caller.read(3);
    checkAnswers(Got, {"a", "b"});
    CHECK_FALSE(Got.front().Closes);
    CHECK(Got.back().Closes);
    CHECK(Caller.isEnded());
    probe(Fixture);
    CHECK(idsAt(Fixture).size() == 2);
  }

  SUBCASE("the caller asks for it with the first request") {
    ingress_fixture Fixture({Answers.script()});
    useLongTimeouts(Fixture);
    caller Caller(Fixture);
    Caller.send(lookup("a", "Connection: close\r\n") + lookup("b"));
    await([&] { return !idsAt(Fixture).empty(); });
    probe(Fixture);
    Answers.releaseAll();
    checkAnswers(Caller.read(2), {"a"});
    CHECK(Caller.isEnded());
    CHECK(idsAt(Fixture) == names{"a"});
  }

  SUBCASE("the VM stops: all that run are answered, nothing new starts") {
    ingress_fixture Fixture({Answers.script()}, [](ingress_options &Options) {
      Options.Bounds.GracePeriod = std::nullopt;
    });
    useLongTimeouts(Fixture);
    caller Caller(Fixture);
    Caller.send(lookup("a") + lookup("b") + lookup("c") + order("d"));
    await([&] { return sortedIdsAt(Fixture) == names{"a", "b", "c"}; });
    auto Drained = Fixture.drain();
    await([&] {
      return Fixture.onVm(
          [](fleet_state &Fleet) { return Fleet.isStopping(); });
    });
    Caller.send(lookup("e"));
    Answers.release("c");
    Answers.release("a");
    const auto First = Caller.read(1);
    checkAnswers(First, {"a"});
    CHECK_FALSE(First.front().Closes);
    Answers.releaseAll();
    const auto Rest = Caller.read(4);
    checkAnswers(Rest, {"b", "c"});
    CHECK(Rest.back().Closes);
    CHECK(Caller.isEnded());
    Drained.get();
    CHECK(sortedIdsAt(Fixture) == names{"a", "b", "c"});
  }

  SUBCASE("the VM stops and must end before answers have come") {
    ingress_fixture Fixture({Answers.script()}, [](ingress_options &Options) {
      Options.Bounds.GracePeriod = milliseconds(3'000);
    });
    // Requests that would end in time, for all that the VM knows.
    caller Caller(Fixture);
    useLongTimeouts(Fixture);
    Caller.send(lookup("a") + lookup("b") + order("c"));
    await([&] { return sortedIdsAt(Fixture) == names{"a", "b"}; });
    auto Drained = Fixture.drain();
    const auto Got = Caller.read(3);
    REQUIRE(Got.size() == 2);
    CHECK(Got.front().Status == "504");
    CHECK_FALSE(Got.front().Closes);
    CHECK(Got.back().Status == "504");
    CHECK(Got.back().Closes);
    Drained.get();
    CHECK(sortedIdsAt(Fixture) == names{"a", "b"});
  }

  SUBCASE("a malformed request in the middle") {
    ingress_fixture Fixture({Answers.script()});
    useLongTimeouts(Fixture);
    caller Caller(Fixture);
    Caller.send(lookup("a") + lookup("b") +
                "GET /checks/x HTTP/1.1\r\nno colon\r\n\r\n" + lookup("c"));
    await([&] { return sortedIdsAt(Fixture) == names{"a", "b"}; });
    Answers.release("b");
    probe(Fixture);
    CHECK_FALSE(Caller.hasBytes());
    Answers.releaseAll();
    auto Got = Caller.read(4);
    REQUIRE(Got.size() == 3);
    CHECK(Got.back().Status == "400");
    CHECK(Got.back().Closes);
    Got.pop_back();
    checkAnswers(Got, {"a", "b"});
    CHECK(Caller.isEnded());
    CHECK(idsAt(Fixture).size() == 2);
  }
}

TEST_CASE("a caller that leaves ends all requests that it sent ahead") {
  held_answers Answers;
  ingress_fixture Fixture({Answers.script()});
  useLongTimeouts(Fixture);
  {
    caller Caller(Fixture);
    Caller.send(lookup("a") + lookup("b") + lookup("c") + order("d"));
    await([&] { return idsAt(Fixture).size() == 3; });
  }
  await([&] { return Fixture.endpoint(0).abandoned() == 3; });
  probe(Fixture);
  CHECK(sortedIdsAt(Fixture) == names{"a", "b", "c"});
}

TEST_CASE("a request that fails leaves those that were sent behind it") {
  held_answers Answers;
  const auto Script = Answers.script();
  ingress_fixture Fixture({[Script](const std::string &Request) {
    auto Answer = Script(Request);
    Answer.Resets = fieldOf(Request, "Id") == "b";
    return Answer;
  }});
  useLongTimeouts(Fixture);
  caller Caller(Fixture);
  Answers.release("b");
  Caller.send(lookup("a") + lookup("b") + lookup("c"));
  await([&] { return idsAt(Fixture).size() == 3; });
  Answers.releaseAll();
  auto Got = Caller.read(3);
  REQUIRE(Got.size() == 3);
  CHECK(Got[1].Status == "502");
  CHECK_FALSE(Got[1].Closes);
  Got.erase(Got.begin() + 1);
  checkAnswers(Got, {"a", "c"});
  Caller.send(lookup("d"));
  checkAnswers(Caller.read(1), {"d"});
}

TEST_CASE("requests that run ahead are bounded") {
  held_answers Answers;

  SUBCASE("in number, on a connection") {
    ahead_limits Limits;
    Limits.ConnectionRequests = 2;
    measured_vm Vm({Answers.script()}, Limits);
    caller Caller(Vm.Fixture);
    const names Ids = {"a", "b", "c", "d", "e", "f"};
    for (const auto &Id : Ids)
      Caller.send(lookup(Id));
    await([&] { return idsAt(Vm.Fixture).size() == 3; });
    probe(Vm.Fixture);
    CHECK(sortedIdsAt(Vm.Fixture) == names{"a", "b", "c"});
    CHECK(Vm.metric("sesamepaddle_requests_ahead_running") == 2);
    // An answer that waits for its turn takes its place until then.
    Answers.release("c");
    probe(Vm.Fixture);
    CHECK(idsAt(Vm.Fixture).size() == 3);
    Answers.release("a");
    await([&] { return idsAt(Vm.Fixture).size() == 4; });
    Answers.releaseAll();
    checkAnswers(Caller.read(Ids.size()), Ids);
    CHECK(Vm.metric("sesamepaddle_requests_ahead_running") == 0);
    CHECK(Vm.metric("sesamepaddle_requests_ahead_total") >= 3);
    CHECK(Vm.metric("sesamepaddle_connection_requests_max") == 3);
    CHECK(Vm.metric("sesamepaddle_requests_ahead_paused_total") >= 1);
  }

  SUBCASE("in bytes, on a connection") {
    ahead_limits Limits;
    Limits.ConnectionBytes = 10;
    measured_vm Vm({Answers.script()}, Limits);
    caller Caller(Vm.Fixture);
    Caller.send(lookup("a") + lookup("b"));
    await([&] { return idsAt(Vm.Fixture).size() == 2; });
    Answers.release("b");
    await([&] { return Vm.metric("sesamepaddle_requests_ahead_bytes") > 10; });
    Caller.send(lookup("c"));
    probe(Vm.Fixture);
    CHECK(idsAt(Vm.Fixture).size() == 2);
    Answers.releaseAll();
    checkAnswers(Caller.read(3), {"a", "b", "c"});
    CHECK(Vm.metric("sesamepaddle_requests_ahead_bytes") == 0);
  }

  SUBCASE("in number, over all connections") {
    ahead_limits Limits;
    Limits.VmRequests = 1;
    measured_vm Vm({Answers.script()}, Limits);
    caller First(Vm.Fixture);
    First.send(lookup("a") + lookup("b") + lookup("c"));
    await([&] { return idsAt(Vm.Fixture).size() == 2; });
    caller Second(Vm.Fixture);
    Second.send(lookup("d") + lookup("e"));
    await([&] { return idsAt(Vm.Fixture).size() == 3; });
    probe(Vm.Fixture);
    CHECK(sortedIdsAt(Vm.Fixture) == names{"a", "b", "d"});
    Answers.releaseAll();
    checkAnswers(First.read(3), {"a", "b", "c"});
    checkAnswers(Second.read(2), {"d", "e"});
  }

  SUBCASE("in bytes, over all connections") {
    ahead_limits Limits;
    Limits.VmBytes = 10;
    measured_vm Vm({Answers.script()}, Limits);
    caller First(Vm.Fixture);
    First.send(lookup("a") + lookup("b"));
    await([&] { return idsAt(Vm.Fixture).size() == 2; });
    Answers.release("b");
    await([&] { return Vm.metric("sesamepaddle_requests_ahead_bytes") > 10; });
    caller Second(Vm.Fixture);
    Second.send(lookup("d") + lookup("e"));
    await([&] { return idsAt(Vm.Fixture).size() == 3; });
    probe(Vm.Fixture);
    CHECK(idsAt(Vm.Fixture).size() == 3);
    Answers.releaseAll();
    checkAnswers(First.read(2), {"a", "b"});
    checkAnswers(Second.read(2), {"d", "e"});
  }

  SUBCASE("while the caller takes no answers") {
    // Together more than the buffers of both sockets hold.
    constexpr std::size_t Requests = 100;
    const std::string Body(256UL * 1024, 'b');
    ingress_fixture Fixture({[&](const std::string &Request) {
      return scripted_answer{makeAnswer(Request, Body)};
    }});
    useLongTimeouts(Fixture);
    caller Caller(Fixture);
    std::string Text;
    for (std::size_t Number = 0; Number < Requests; ++Number)
      Text += lookup(absl::StrCat("r", Number));
    Caller.send(Text);
    // Until no more requests are passed on.
    std::size_t Passed = 0;
    do {
      Passed = idsAt(Fixture).size();
      probe(Fixture);
      std::this_thread::sleep_for(milliseconds(100));
    } while (idsAt(Fixture).size() > Passed);
    CHECK(Passed < Requests);
    const auto Got = Caller.read(Requests);
    REQUIRE(Got.size() == Requests);
    for (std::size_t Number = 0; Number < Requests; ++Number) {
      CHECK(Got[Number].Id == absl::StrCat("r", Number));
      CHECK(Got[Number].Body == Body);
    }
  }
}
