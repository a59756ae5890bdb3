#include "ingress/ingress_fixture.h"

#include <doctest/doctest.h>

using namespace sesamepaddle;
using std::chrono::milliseconds;

namespace {

bool isStatus(const std::string &Reply, int Status) {
  return Reply.starts_with("HTTP/1.1 " + std::to_string(Status) + " ");
}

bool mentions(const std::string &Text, std::string_view Words) {
  return Text.find(Words) != std::string::npos;
}

scripted_answer answer(const std::string &Request, const std::string &Status,
                       const std::string &Fields) {
  return {makeAnswer(Request, "", Status, Fields), "", false, false,
          milliseconds(0)};
}

/** Always gives the same answer. */
scripted_endpoint::script always(const std::string &Status,
                                 const std::string &Fields) {
  return [=](const std::string &Request) {
    return answer(Request, Status, Fields);
  };
}

/** Gives one answer, then plain successes. */
scripted_endpoint::script once(const std::string &Status,
                               const std::string &Fields) {
  return [=, IsFirst = true](const std::string &Request) mutable {
    return std::exchange(IsFirst, false) ? answer(Request, Status, Fields)
                                         : answer(Request, "200 OK", "");
  };
}

/** Sends @p Count requests that would reach all endpoints. */
void sendMany(ingress_fixture &Fixture, const std::string &Prefix,
              int Count = 24) {
  for (int Number = 0; Number < Count; ++Number)
    Fixture.post("/orders/1", Prefix + std::to_string(Number), "cloth");
}

endpoint_record recordOf(ingress_fixture &Fixture, std::size_t Index) {
  const endpoint_id Id("i-" + std::to_string(Index));
  return Fixture.onVm(
      [&](fleet_state &Fleet) { return Fleet.endpoints().find(Id)->Record; });
}

void applyRecord(ingress_fixture &Fixture, const endpoint_record &Record) {
  Fixture.onVm([&](fleet_state &Fleet) {
    Fleet.endpoints().apply(Record, boot_clock::now());
    return true;
  });
}

void removeRecord(ingress_fixture &Fixture, const endpoint_id &Id) {
  Fixture.onVm([&](fleet_state &Fleet) {
    return Fleet.endpoints().remove(Id, std::nullopt);
  });
}

/** Waits until @p Condition holds. @returns false after LongWait */
template <typename Function> bool waitUntil(Function Condition) {
  const auto End = boot_clock::now() + ingress_fixture::LongWait;
  while (!Condition()) {
    if (boot_clock::now() >= End)
      return false;
    std::this_thread::sleep_for(milliseconds(5));
  }
  return true;
}

/** @returns the part of the registry's QuietUntil that is left. */
duration quietTimeLeft(ingress_fixture &Fixture) {
  return Fixture.onVm([](fleet_state &Fleet) {
    const auto Endpoint = Fleet.endpoints().find(endpoint_id("i-0"));
    return std::max(Endpoint->QuietUntil - boot_clock::now(), duration(0));
  });
}

} // namespace

TEST_CASE(
    "an endpoint that says in an answer that it leaves gets nothing new") {
  std::string Status;
  std::string Fields = "Leaving: 1\r\n";
  SUBCASE("in a success") { Status = "200 OK"; }
  SUBCASE("in a failure") { Status = "500 Error"; }
  SUBCASE("in a refusal") {
    Status = "503 Full";
    Fields += "Not-Run: 1\r\n";
  }
  ingress_fixture Fixture({once(Status, Fields), always("200 OK", "")});
  sendMany(Fixture, "first");
  REQUIRE(Fixture.endpoint(0).requests().size() > 0);
  CHECK(Fixture.endpoint(0).requests().size() == 1);
  // The refused request was sent once more.
  CHECK(Fixture.endpoint(1).requests().size() ==
        (Status == "503 Full" ? 24 : 23));
}

TEST_CASE("requests are refused at once when all endpoints have said that "
          "they leave") {
  ingress_fixture Fixture({always("200 OK", "Leaving: 1\r\n")});
  CHECK(isStatus(Fixture.post("/orders/1", "r1", "cloth"), 200));
  const auto Reply = Fixture.post("/orders/1", "r2", "cloth");
  CHECK(isStatus(Reply, 503));
  CHECK(mentions(Reply, "no-endpoint"));
  CHECK(mentions(Reply, "Retry-After: "));
  CHECK(Fixture.endpoint(0).requests().size() == 1);
}

TEST_CASE("other values of the leaving field take no endpoint out of use") {
  std::string Fields;
  SUBCASE("zero") { Fields = "Leaving: 0\r\n"; }
  SUBCASE("empty") { Fields = "Leaving: \r\n"; }
  ingress_fixture Fixture({always("200 OK", Fields)});
  Fixture.post("/orders/1", "r1", "cloth");
  CHECK(isStatus(Fixture.post("/orders/1", "r2", "cloth"), 200));
}

TEST_CASE("another endpoint at the address does not speak for the one before") {
  ingress_fixture Fixture({once("421 Other", "Leaving: 1\r\n")});
  Fixture.post("/orders/1", "r1", "cloth");
  const auto Record = recordOf(Fixture, 0);
  removeRecord(Fixture, Record.Id);
  auto Back = Record;
  Back.IsLeaving = false;
  applyRecord(Fixture, Back);
  CHECK(isStatus(Fixture.post("/orders/1", "r2", "cloth"), 200));
}

TEST_CASE("what an endpoint said of leaving outlives what the store says") {
  ingress_fixture Fixture({always("200 OK", "Leaving: 1\r\n")});
  Fixture.post("/orders/1", "r1", "cloth");
  auto Record = recordOf(Fixture, 0);

  SUBCASE("a later row that says ready") { applyRecord(Fixture, Record); }
  SUBCASE("a row that lapsed and came back") {
    removeRecord(Fixture, Record.Id);
    Record.IsLeaving = false;
    applyRecord(Fixture, Record);
  }
  CHECK(isStatus(Fixture.post("/orders/1", "r2", "cloth"), 503));
  CHECK(Fixture.endpoint(0).requests().size() == 1);

  SUBCASE("until a new incarnation") {
    ++Record.StartedAt;
    applyRecord(Fixture, Record);
    CHECK(isStatus(Fixture.post("/orders/1", "r3", "cloth"), 200));
  }
}

TEST_CASE("an answer that comes after its endpoint's row lapsed and came back "
          "counts") {
  ingress_fixture Fixture({[](const std::string &Request) {
    return scripted_answer{makeAnswer(Request, "", "200 OK", "Leaving: 1\r\n"),
                           "", false, false, milliseconds(300)};
  }});
  auto First = std::async(std::launch::async, [&] {
    return Fixture.post("/orders/1", "r1", "cloth");
  });
  REQUIRE(
      waitUntil([&] { return Fixture.endpoint(0).requests().size() == 1; }));
  auto Record = recordOf(Fixture, 0);
  removeRecord(Fixture, Record.Id);
  applyRecord(Fixture, Record);
  CHECK(isStatus(First.get(), 200));
  CHECK(isStatus(Fixture.post("/orders/1", "r2", "cloth"), 503));
  CHECK(Fixture.endpoint(0).requests().size() == 1);
}

TEST_CASE("connections to an endpoint that leaves end when they are idle") {
  ingress_fixture Fixture({[](const std::string &Request) {
    const bool IsSlow = fieldOf(Request, "Id") == "slow";
    return scripted_answer{
        makeAnswer(Request, "", "200 OK", IsSlow ? "" : "Leaving: 1\r\n"), "",
        false, false, milliseconds(IsSlow ? 300 : 0)};
  }});
  auto Slow = std::async(std::launch::async, [&] {
    return Fixture.post("/orders/1", "slow", "cloth");
  });
  REQUIRE(
      waitUntil([&] { return Fixture.endpoint(0).requests().size() == 1; }));
  Fixture.post("/orders/1", "r1", "cloth");
  CHECK(isStatus(Slow.get(), 200)); // what runs there ends in peace
  REQUIRE(Fixture.endpoint(0).connections() == 2);
  CHECK(waitUntil([&] { return Fixture.endpoint(0).endedIdle() == 2; }));
}

TEST_CASE("an endpoint that asks for quiet gets nothing until the time has "
          "passed") {
  ingress_fixture Fixture(
      {once("503 Full", "Not-Run: 1\r\nRetry-After: 20\r\n"),
       always("200 OK", "")});
  sendMany(Fixture, "first");
  CHECK(Fixture.endpoint(0).requests().size() == 1);
  CHECK(Fixture.endpoint(1).requests().size() == 24);

  SUBCASE("also after its row lapsed and came back") {
    auto Record = recordOf(Fixture, 0);
    removeRecord(Fixture, Record.Id);
    applyRecord(Fixture, Record);
    sendMany(Fixture, "second");
    CHECK(Fixture.endpoint(0).requests().size() == 1);
  }
  SUBCASE("but a new incarnation is used") {
    auto Record = recordOf(Fixture, 0);
    ++Record.StartedAt;
    applyRecord(Fixture, Record);
    sendMany(Fixture, "second");
    CHECK(Fixture.endpoint(0).requests().size() > 1);
  }
}

TEST_CASE("an endpoint is used again after its quiet time") {
  ingress_fixture Fixture(
      {once("503 Full", "Not-Run: 1\r\nRetry-After: 0.4\r\n")});
  Fixture.post("/orders/1", "r1", "cloth");
  CHECK(quietTimeLeft(Fixture) > duration(0));
  REQUIRE(waitUntil([&] { return quietTimeLeft(Fixture) == duration(0); }));
  CHECK(isStatus(Fixture.post("/orders/1", "r2", "cloth"), 200));
}

TEST_CASE("requests are refused at once while all endpoints are quiet") {
  ingress_fixture Fixture(
      {always("503 Full", "Not-Run: 1\r\nRetry-After: 20\r\n"),
       always("503 Full", "Not-Run: 1\r\nRetry-After: 25\r\n")});
  sendMany(Fixture, "first", 4);
  const auto Reply = Fixture.post("/orders/1", "r1", "cloth");
  CHECK(isStatus(Reply, 503));
  CHECK(mentions(Reply, "endpoints-quiet"));
  // When the first of the two wants requests again.
  const double Seconds = std::atof(fieldOf(Reply, "Retry-After").c_str());
  CHECK(Seconds > 10);
  CHECK(Seconds < 20.5);
  CHECK(Fixture.endpoint(0).requests().size() == 1);
  CHECK(Fixture.endpoint(1).requests().size() == 1);
}

TEST_CASE("a time without requests is taken only from a 503 with a number") {
  std::string Status = "503 Full";
  std::string Fields;
  duration Least{0};
  duration Most{0};
  SUBCASE("none") {}
  SUBCASE("zero") { Fields = "Retry-After: 0\r\n"; }
  SUBCASE("negative") { Fields = "Retry-After: -5\r\n"; }
  SUBCASE("a word") { Fields = "Retry-After: soon\r\n"; }
  SUBCASE("not a number") { Fields = "Retry-After: nan\r\n"; }
  SUBCASE("a number and more") { Fields = "Retry-After: 5 s\r\n"; }
  SUBCASE("a date") {
    Fields = "Retry-After: Wed, 21 Oct 2026 07:28:00 GMT\r\n";
  }
  SUBCASE("another status") {
    Status = "429 Many";
    Fields = "Retry-After: 5\r\n";
  }
  SUBCASE("a success") {
    Status = "200 OK";
    Fields = "Retry-After: 5\r\n";
  }
  SUBCASE("whole seconds") {
    Fields = "Retry-After: 25\r\n";
    Least = milliseconds(5'000);
    Most = milliseconds(25'000);
  }
  SUBCASE("fractional seconds") {
    Fields = "Retry-After: 20.5\r\n";
    Least = milliseconds(5'000);
    Most = milliseconds(20'500);
  }
  SUBCASE("more than an endpoint may ask for") {
    Fields = "Retry-After: 999999999999\r\n";
    Least = milliseconds(5'000);
    Most = milliseconds(30'000);
  }
  SUBCASE("more than a number can hold") {
    Fields = "Retry-After: " + std::string(400, '9') + "\r\n";
    Least = milliseconds(5'000);
    Most = milliseconds(30'000);
  }
  ingress_fixture Fixture({always(Status, Fields)});
  Fixture.post("/orders/1", "r1", "cloth");
  const auto Left = quietTimeLeft(Fixture);
  CHECK(Left >= Least);
  CHECK(Left <= Most);
}

TEST_CASE("a shorter quiet time does not end a longer one") {
  ingress_fixture Fixture({[](const std::string &Request) {
    const bool IsSlow = fieldOf(Request, "Id") == "slow";
    return scripted_answer{
        makeAnswer(Request, "", "503 Full",
                   IsSlow ? "Retry-After: 0.01\r\n" : "Retry-After: 25\r\n"),
        "", false, false, milliseconds(IsSlow ? 300 : 0)};
  }});
  auto Slow = std::async(std::launch::async, [&] {
    return Fixture.post("/orders/1", "slow", "cloth");
  });
  REQUIRE(
      waitUntil([&] { return Fixture.endpoint(0).requests().size() == 1; }));
  Fixture.post("/orders/1", "r1", "cloth");
  Slow.get();
  CHECK(quietTimeLeft(Fixture) > milliseconds(5'000));
}

TEST_CASE("a 503 that asks for quiet without saying that it did not run is no "
          "promise to the caller") {
  ingress_fixture Fixture({always("503 Busy", "Retry-After: 20\r\n"),
                           always("503 Busy", "Retry-After: 20\r\n")});
  const auto Sent = [&] {
    return Fixture.endpoint(0).requests().size() +
           Fixture.endpoint(1).requests().size();
  };
  SUBCASE("a request that may run once is not sent again") {
    const auto Reply = Fixture.post("/orders/1", "r1", "cloth");
    CHECK(isStatus(Reply, 502));
    CHECK(fieldOf(Reply, "Retry-After").empty());
    CHECK(Sent() == 1);
  }
  SUBCASE("a request that may be repeated is sent to another endpoint") {
    CHECK(isStatus(Fixture.get("/checks/1", "r1"), 502));
    CHECK(Sent() == 2);
  }
}
