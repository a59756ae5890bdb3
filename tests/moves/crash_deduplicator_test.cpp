#include "sesamepaddle/moves/crash_deduplicator.h"

#include <doctest/doctest.h>

using namespace sesamepaddle;
using namespace std::chrono_literals;

namespace {

constexpr duration SettleTime = 200ms;

crash_report makeReport(std::uint64_t Endpoint, std::uint64_t Fingerprint) {
  return {endpoint_id(Endpoint), request_fingerprint(Fingerprint)};
}

const counted_crash OnNew{route_name("place"), true, 0.1};

} // namespace

TEST_CASE("one crash counts once, whichever VMs report it") {
  const time_point Start(1h);
  crash_deduplicator Deduplicator;
  Deduplicator.report(makeReport(1, 50), OnNew, Start);
  CHECK(Deduplicator.settle(Start).empty());

  SUBCASE("it counts once, when it is settled") {
    CHECK(Deduplicator.settle(Start + SettleTime).size() == 1);
    CHECK(Deduplicator.settle(Start + SettleTime).empty());
  }

  SUBCASE("other requests lost in the same crash do not count again") {
    Deduplicator.report(makeReport(1, 51), OnNew, Start + 1ms);
    CHECK(Deduplicator.settle(Start + SettleTime).size() == 1);
  }

  SUBCASE("only one of two VMs that reported it counts it") {
    crash_deduplicator Other;
    Other.report(makeReport(1, 60), OnNew, Start);
    Other.reportFromPeer(makeReport(1, 50), Start + 2ms);
    Deduplicator.reportFromPeer(makeReport(1, 60), Start + 2ms);
    CHECK(Deduplicator.settle(Start + SettleTime).size() == 1);
    CHECK(Other.settle(Start + SettleTime).empty());
  }

  SUBCASE("a request that crashes a second endpoint is the cause, not the "
          "version") {
    REQUIRE(Deduplicator.settle(Start + SettleTime).size() == 1);
    Deduplicator.report(makeReport(2, 50), OnNew, Start + 1s);
    Deduplicator.report(makeReport(2, 70), OnNew, Start + 1s);
    CHECK(Deduplicator.settle(Start + 1s + SettleTime).empty());
  }

  SUBCASE("a request that crashes the same endpoint again is the cause too") {
    REQUIRE(Deduplicator.settle(Start + SettleTime).size() == 1);
    Deduplicator.report(makeReport(1, 50), OnNew, Start + 6s);
    CHECK(Deduplicator.settle(Start + 6s + SettleTime).empty());
  }

  SUBCASE("an endpoint that is down for long counts once") {
    REQUIRE(Deduplicator.settle(Start + SettleTime).size() == 1);
    for (auto Later = 0s; Later < 20s; Later += 2s)
      Deduplicator.report({endpoint_id(1), request_fingerprint(80), false},
                          OnNew, Start + Later);
    CHECK(Deduplicator.settle(Start + 21s).empty());
  }

  SUBCASE("crashes of different endpoints by different requests each count") {
    Deduplicator.report(makeReport(2, 51), OnNew, Start);
    Deduplicator.report(makeReport(3, 52), OnNew, Start);
    CHECK(Deduplicator.settle(Start + SettleTime).size() == 3);
  }
}
