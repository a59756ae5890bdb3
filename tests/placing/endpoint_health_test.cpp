#include "sesamepaddle/placing/endpoint_health.h"
#include "sesamepaddle/placing/endpoint_registry.h"

#include <doctest/doctest.h>

using namespace sesamepaddle;
using std::chrono::milliseconds;

namespace {

const time_point Start = time_point(std::chrono::hours(1));

} // namespace

TEST_CASE("a slow endpoint is found by all VMs together") {
  endpoint_health Health;
  Health.judge(0, Start);
  REQUIRE_FALSE(Health.isSuspect());

  SUBCASE("one bad answer alone condemns nobody") {
    Health.add(true, Start);
    Health.judge(0, Start);
    CHECK_FALSE(Health.isSuspect());

    SUBCASE("but with those of other VMs it does") {
      Health.applyPeer("other", {0, 2}, Start);
      Health.judge(0, Start);
      CHECK(Health.isSuspect());
    }
    SUBCASE("and not beside good answers of other VMs") {
      Health.applyPeer("other", {6, 1}, Start);
      Health.judge(0, Start);
      CHECK_FALSE(Health.isSuspect());
    }
  }

  SUBCASE("good answers from before it turned bad don't hide that for long") {
    for (int Answer = 0; Answer < 10; ++Answer)
      Health.add(false, Start + milliseconds(100) * Answer);
    for (int Answer = 0; Answer < 3; ++Answer)
      Health.add(true, Start + milliseconds(2'500 + 300 * Answer));
    Health.judge(0, Start + milliseconds(3'200));
    CHECK(Health.isSuspect());

    SUBCASE("and it is tried again after some seconds without requests") {
      Health.judge(0, Start + milliseconds(9'000));
      CHECK_FALSE(Health.isSuspect());
    }
  }

  SUBCASE("what befalls the whole service is no endpoint's fault") {
    for (int Answer = 0; Answer < 4; ++Answer)
      Health.add(true, Start);
    Health.judge(0.8, Start);
    CHECK_FALSE(Health.isSuspect());
  }
}

TEST_CASE("the median of a service says what is usual") {
  endpoint_registry Registry;
  for (int Number = 0; Number < 5; ++Number) {
    endpoint_record Record;
    Record.Id = endpoint_id("i-" + std::to_string(Number));
    Record.Service = service_name("orders");
    Registry.apply(Record, Start);
  }
  const auto Blame = [&](int Endpoints) {
    for (int Number = 0; Number < Endpoints; ++Number)
      for (int Answer = 0; Answer < 4; ++Answer)
        Registry.find(endpoint_id("i-" + std::to_string(Number)))
            ->Health.add(true, Start);
    int Suspects = 0;
    Registry.judge(Start, [&](const fleet_endpoint &Endpoint) {
      Suspects += Endpoint.Health.isSuspect();
    });
    return Suspects;
  };
  SUBCASE("two bad endpoints of five are found") { CHECK(Blame(2) == 2); }
  SUBCASE("five of five are not") { CHECK(Blame(5) == 0); }
}
