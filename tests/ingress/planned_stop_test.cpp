#include "ingress/ingress_fixture.h"

#include <doctest/doctest.h>

#include <future>
#include <optional>
#include <thread>

using namespace sesamepaddle;
using std::chrono::milliseconds;

namespace {

// A stopping VM is killed at the end of this time.
constexpr milliseconds GracePeriod{4'000};
constexpr milliseconds ShortGracePeriod{3'000};

scripted_endpoint::script answerAfter(milliseconds Delay) {
  return [Delay](const std::string &Request) {
    return scripted_answer{makeAnswer(Request, "whole"), "", false, false,
                           Delay};
  };
}

void setGracePeriod(ingress_options &Options) {
  Options.Bounds.GracePeriod = GracePeriod;
}

} // namespace

// Routes of the fixture have a timeout of 700 ms, and callers may use a VM's
// address for 3.3 s after it has left the directory.
TEST_CASE("a request that comes late in a planned stop is not cut off") {
  SUBCASE("one that may not be repeated is refused while it may not end") {
    ingress_fixture Fixture({answerAfter(milliseconds(690))}, setGracePeriod);
    auto Drained = Fixture.drain();
    std::this_thread::sleep_for(GracePeriod - milliseconds(1'000));
    const auto Reply = Fixture.post("/orders/1", "o1", "cloth");
    CHECK(Reply.starts_with("HTTP/1.1 503 "));
    CHECK(Fixture.endpoint(0).requests().empty());
    Drained.get();
  }

  SUBCASE("one that is at an endpoint gets an answer before the VM ends") {
    std::optional<raw_connection> Caller;
    {
      ingress_fixture Fixture({answerAfter(milliseconds(5'000))},
                              [](ingress_options &Options) {
                                Options.Bounds.GracePeriod = ShortGracePeriod;
                              });
      auto Drained = Fixture.drain();
      std::this_thread::sleep_for(ShortGracePeriod - milliseconds(1'000));
      Caller.emplace(Fixture.callers());
      Caller->send("GET /checks/1 HTTP/1.1\r\nHost: shop.example\r\n"
                   "Id: c1\r\nKey: k1\r\n\r\n");
      Drained.get();
      CHECK(Fixture.endpoint(0).requests().size() == 1);
    }
    // The outcome is unknown.
    const auto Reply = Caller->readToEnd(ingress_fixture::LongWait);
    CHECK(Reply.starts_with("HTTP/1.1 504 "));
    CHECK(Reply.ends_with("\n"));
  }

  SUBCASE("one that can end in time is served") {
    ingress_fixture Fixture({answerAfter(milliseconds(20))}, setGracePeriod);
    auto Drained = Fixture.drain();
    std::this_thread::sleep_for(GracePeriod - milliseconds(1'700));
    CHECK(
        Fixture.post("/orders/1", "o1", "cloth").starts_with("HTTP/1.1 200 "));
    Drained.get();
  }

  // Callers that keep a directory response may come after the time in which
  // requests may be broken off.
  SUBCASE("one that may be repeated is refused while it may not end") {
    ingress_fixture Fixture({answerAfter(milliseconds(5'000))}, setGracePeriod);
    auto Drained = Fixture.drain();
    std::this_thread::sleep_for(GracePeriod - milliseconds(1'000));
    CHECK(Fixture.get("/checks/1", "c1").starts_with("HTTP/1.1 503 "));
    CHECK(Fixture.endpoint(0).requests().empty());
    Drained.get();
  }

  SUBCASE("one on a connection that is opened when idle ones are closed") {
    // Another request keeps the VM from ending early.
    ingress_fixture Fixture({answerAfter(milliseconds(600))}, setGracePeriod);
    auto Drained = Fixture.drain();
    std::this_thread::sleep_for(milliseconds(2'750));
    raw_connection Other(Fixture.callers());
    Other.send("GET /checks/1 HTTP/1.1\r\nHost: shop.example\r\n"
               "Id: c1\r\nKey: k1\r\n\r\n");
    std::this_thread::sleep_for(milliseconds(590));
    const auto Reply = Fixture.post("/orders/1", "o1", "cloth");
    CHECK(Reply.starts_with("HTTP/1.1 503 "));
    Drained.get();
  }
}

TEST_CASE("a VM that stops takes only what can end in time") {
  const time_point Start{std::chrono::seconds(100)};
  const stop_schedule Stop(Start, milliseconds(6'000));
  const auto MayTake = [&](request_kind Kind, int NowMs, int TimeoutMs) {
    const auto Now = Start + milliseconds(NowMs);
    return Stop.mayTake(Kind, Now + milliseconds(TimeoutMs), milliseconds(800),
                        Now);
  };
  CHECK(Stop.answersDue() < Stop.end());
  CHECK(Stop.end() < Start + milliseconds(6'000));

  SUBCASE("one that may not be repeated, if its deadline is before the end") {
    CHECK(MayTake(request_kind::AtMostOnce, 0, 5'000));
    CHECK(MayTake(request_kind::AtMostOnce, 4'000, 1'200));
    CHECK_FALSE(MayTake(request_kind::AtMostOnce, 4'000, 2'000));
  }

  SUBCASE("one that may be repeated, if it usually ends before") {
    CHECK(MayTake(request_kind::Idempotent, 0, 12'000));
    CHECK(MayTake(request_kind::Idempotent, 2'600, 12'000));
  }

  // Only requests sent within 3 s of the signal may be broken off, and a busy
  // VM handles the signal late.
  SUBCASE("nothing is risked when the stop may be 3 s old") {
    CHECK_FALSE(MayTake(request_kind::Idempotent, 2'800, 12'000));
    CHECK_FALSE(MayTake(request_kind::Idempotent, 3'000, 12'000));
    CHECK_FALSE(MayTake(request_kind::Idempotent, 3'400, 12'000));
    CHECK(MayTake(request_kind::Idempotent, 3'400, 1'500));
    CHECK_FALSE(MayTake(request_kind::Idempotent, 5'400, 300));
  }
}
