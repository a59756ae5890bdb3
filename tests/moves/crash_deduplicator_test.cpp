#include "sesamepaddle/moves/crash_deduplicator.h"

#include <doctest/doctest.h>

using namespace sesamepaddle;
using namespace std::chrono_literals;

namespace {

constexpr duration Settled = 200ms;

crash_report makeReport(std::uint64_t Endpoint, std::uint64_t Fingerprint) {
  return {endpoint_id(Endpoint), request_fingerprint(Fingerprint)};
}

const counted_crash OnNew{route_name("place"), true, 0.1};

} // namespace

TEST_CASE("one crash counts once, whoever sees it") {
  const time_point Start(1h);
  crash_deduplicator Ledger;
  Ledger.report(makeReport(1, 50), OnNew, Start);
  CHECK(Ledger.settle(Start).empty());

  SUBCASE("it counts once it is settled") {
    CHECK(Ledger.settle(Start + Settled).size() == 1);
    CHECK(Ledger.settle(Start + Settled).empty());
  }

  SUBCASE("the requests that it cut do not count beside it") {
    Ledger.report(makeReport(1, 51), OnNew, Start + 1ms);
    CHECK(Ledger.settle(Start + Settled).size() == 1);
  }

  SUBCASE("of two VMs that saw it one counts it") {
    crash_deduplicator Other;
    Other.report(makeReport(1, 60), OnNew, Start);
    Other.reportFromPeer(makeReport(1, 50), Start + 2ms);
    Ledger.reportFromPeer(makeReport(1, 60), Start + 2ms);
    CHECK(Ledger.settle(Start + Settled).size() == 1);
    CHECK(Other.settle(Start + Settled).empty());
  }

  SUBCASE("the same request that crashes the next endpoint is to blame") {
    REQUIRE(Ledger.settle(Start + Settled).size() == 1);
    Ledger.report(makeReport(2, 50), OnNew, Start + 1s);
    Ledger.report(makeReport(2, 70), OnNew, Start + 1s);
    CHECK(Ledger.settle(Start + 1s + Settled).empty());
  }

  SUBCASE("so is it when it crashes the same endpoint again") {
    REQUIRE(Ledger.settle(Start + Settled).size() == 1);
    Ledger.report(makeReport(1, 50), OnNew, Start + 6s);
    CHECK(Ledger.settle(Start + 6s + Settled).empty());
  }

  SUBCASE("an endpoint that takes long to come back counts once") {
    REQUIRE(Ledger.settle(Start + Settled).size() == 1);
    for (auto Later = 0s; Later < 20s; Later += 2s)
      Ledger.report({endpoint_id(1), request_fingerprint(80), false}, OnNew,
                    Start + Later);
    CHECK(Ledger.settle(Start + 21s).empty());
  }

  SUBCASE("other requests that crash other endpoints count each") {
    Ledger.report(makeReport(2, 51), OnNew, Start);
    Ledger.report(makeReport(3, 52), OnNew, Start);
    CHECK(Ledger.settle(Start + Settled).size() == 3);
  }
}
