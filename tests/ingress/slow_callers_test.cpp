#include "ingress/ingress_fixture.h"

#include <doctest/doctest.h>

#include <array>
#include <atomic>
#include <cstddef>
#include <string>
#include <thread>

using namespace sesamepaddle;
using std::chrono::milliseconds;

namespace {

// Answers may take 24 MB of it.
constexpr std::size_t MemoryBytes = 60'000'000;
constexpr std::size_t LongBytes = 8'700'000;
// With two long ones it leaves 20 kB.
constexpr std::size_t RestBytes = 6'580'000;
constexpr std::size_t MiddleBytes = 5'000'000;
constexpr std::size_t ShortBytes = 30'000;
constexpr int SmallBuffer = 32 * 1024;
constexpr milliseconds LongTime{30'000};
// A caller that has taken nothing for 2 s may lose its connection.
constexpr milliseconds StalledTime{4'500};
constexpr std::size_t Requests = 20;

scripted_answer answerByPath(const std::string &Request) {
  auto Bytes = ShortBytes;
  if (Request.starts_with("GET /checks/long"))
    Bytes = LongBytes;
  else if (Request.starts_with("GET /checks/rest"))
    Bytes = RestBytes;
  else if (Request.starts_with("GET /checks/middle"))
    Bytes = MiddleBytes;
  scripted_answer Answer;
  Answer.Bytes = makeAnswer(Request, std::string(Bytes, 'l'));
  return Answer;
}

void lowerLimits(ingress_options &Options) {
  Options.Bounds.MemoryBytes = MemoryBytes;
}

std::string ask(const std::string &Path, const std::string &Id) {
  return "GET /checks/" + Path +
         " HTTP/1.1\r\nHost: shop.example\r\nId: " + Id +
         "\r\nKey: k1\r\nConnection: close\r\n\r\n";
}

/** A VM whose memory for answers is held by slow callers. */
class slow_callers_bed {
public:
  slow_callers_bed() {
    Fixture.onVm([](fleet_state &Fleet) {
      const auto &Before = *Fleet.configuration();
      configuration_content Content;
      Content.Version = Before.version() + 1;
      Content.Workspaces = {Before.workspaces().begin(),
                            Before.workspaces().end()};
      Content.Services = {Before.services().begin(), Before.services().end()};
      auto Checks = *Before.findRoute("shop.example", "/checks/");
      auto Orders = *Before.findRoute("shop.example", "/orders/");
      Checks.Timeout = Orders.Timeout = LongTime;
      Content.RoutesByHost["shop.example"] = {std::move(Checks),
                                              std::move(Orders)};
      return Fleet.setConfiguration(
          std::make_shared<fleet_configuration>(std::move(Content)));
    });
    for (auto &Caller : Slow) {
      Caller.send(ask("long", "slow"));
      REQUIRE(Caller.waitForBytes(LongTime));
    }
    // It may be refused.
    Rest.send(ask("rest", "rest"));
    REQUIRE(Rest.waitForBytes(LongTime));
  }

  std::size_t arrivals() {
    return Fixture.endpoint(0).requests().size() +
           Fixture.endpoint(1).requests().size();
  }

  /** @returns the number of bad marks of all endpoints. */
  std::size_t badMarks() {
    return Fixture.onVm([](fleet_state &Fleet) {
      std::size_t Bad = 0;
      for (const auto &Endpoint : Fleet.endpoints().of(service_name("orders")))
        Bad += static_cast<std::size_t>(
            Endpoint->Health.total(boot_clock::now()).Bad);
      return Bad;
    });
  }

  ingress_fixture Fixture{{answerByPath, answerByPath}, lowerLimits};
  std::array<raw_connection, 2> Slow{
      raw_connection(Fixture.callers(), SmallBuffer),
      raw_connection(Fixture.callers(), SmallBuffer)};
  raw_connection Rest{Fixture.callers(), SmallBuffer};
};

std::size_t bodyBytes(const std::string &Answer) {
  const auto End = Answer.find("\r\n\r\n");
  return End == std::string::npos ? 0 : Answer.size() - End - 4;
}

} // namespace

TEST_CASE("slow callers that hold all memory for answers do not fail the small "
          "answers of others") {
  slow_callers_bed Bed;
  const auto Before = Bed.arrivals();
  std::size_t Served = 0;
  SUBCASE("to orders") {
    for (std::size_t Number = 0; Number < Requests; ++Number)
      Served +=
          bodyBytes(Bed.Fixture.post("/orders/1", "o" + std::to_string(Number),
                                     "cloth")) == ShortBytes
              ? 1
              : 0;
  }
  SUBCASE("to safe requests") {
    for (std::size_t Number = 0; Number < Requests; ++Number)
      Served += bodyBytes(Bed.Fixture.exchange(
                    ask("short", "c" + std::to_string(Number)), LongTime)) ==
                        ShortBytes
                    ? 1
                    : 0;
  }
  CHECK(Served == Requests);
  CHECK(Bed.arrivals() - Before == Requests);
  CHECK(Bed.badMarks() == 0);
}

TEST_CASE("a caller that takes nothing of its answer makes room for others") {
  slow_callers_bed Bed;
  std::this_thread::sleep_for(StalledTime);
  CHECK(bodyBytes(Bed.Fixture.exchange(ask("middle", "next"), LongTime)) ==
        MiddleBytes);
  // Only the one that has waited longest loses its answer.
  CHECK(bodyBytes(Bed.Slow[1].readToEnd(LongTime)) == LongBytes);
  CHECK(bodyBytes(Bed.Slow[0].readToEnd(LongTime)) < LongBytes);
  CHECK(Bed.badMarks() == 0);
}

TEST_CASE("an answer that has no room beside others is not the fault of its "
          "endpoint and is not repeated") {
  slow_callers_bed Bed;
  // They take their answers slowly, so that none is given up.
  std::atomic<bool> IsOver{false};
  std::array<std::string, 2> Taken;
  std::thread Taking([&] {
    while (!IsOver) {
      for (std::size_t Index = 0; Index < Taken.size(); ++Index)
        Taken[Index] +=
            Bed.Slow[Index].readBytes(SmallBuffer / 4, milliseconds(1'000));
      std::this_thread::sleep_for(milliseconds(100));
    }
  });
  const auto Before = Bed.arrivals();
  const auto Reply = Bed.Fixture.exchange(ask("middle", "next"), LongTime);
  IsOver = true;
  Taking.join();
  CHECK(Reply.starts_with("HTTP/1.1 502"));
  CHECK(Bed.arrivals() - Before == 1);
  CHECK(Bed.badMarks() == 0);
  for (std::size_t Index = 0; Index < Taken.size(); ++Index)
    CHECK(bodyBytes(Taken[Index] + Bed.Slow[Index].readToEnd(LongTime)) ==
          LongBytes);
}
