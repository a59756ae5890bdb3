#include "sesamepaddle/load_balancing/endpoint_health.h"
#include "sesamepaddle/load_balancing/endpoint_registry.h"

#include <doctest/doctest.h>

using namespace sesamepaddle;
using std::chrono::milliseconds;

namespace {

const time_point Start = time_point(std::chrono::hours(1));

} // namespace

TEST_CASE("the combined counts of all VMs reveal a slow endpoint") {
  endpoint_health Health;
  Health.judge(0, Start);
  REQUIRE_FALSE(Health.isSuspect());

  SUBCASE("a single bad answer does not make an endpoint suspect") {
    Health.add(true, Start);
    Health.judge(0, Start);
    CHECK_FALSE(Health.isSuspect());

    SUBCASE("together with bad answers to other VMs it does") {
      Health.applyPeer("other", {0, 2}, Start);
      Health.judge(0, Start);
      CHECK(Health.isSuspect());
    }
    SUBCASE("good answers to other VMs outweigh it") {
      Health.applyPeer("other", {6, 1}, Start);
      Health.judge(0, Start);
      CHECK_FALSE(Health.isSuspect());
    }
  }

  SUBCASE("earlier good answers do not hide new bad ones for long") {
    for (int Answer = 0; Answer < 10; ++Answer)
      Health.add(false, Start + milliseconds(100) * Answer);
    for (int Answer = 0; Answer < 3; ++Answer)
      Health.add(true, Start + milliseconds(2'500 + 300 * Answer));
    Health.judge(0, Start + milliseconds(3'200));
    CHECK(Health.isSuspect());

    SUBCASE("it is tried again after some seconds without requests") {
      Health.judge(0, Start + milliseconds(9'000));
      CHECK_FALSE(Health.isSuspect());
    }
  }

  SUBCASE("a fault of the whole service makes no endpoint suspect") {
    for (int Answer = 0; Answer < 4; ++Answer)
      Health.add(true, Start);
    Health.judge(0.8, Start);
    CHECK_FALSE(Health.isSuspect());
  }
}

TEST_CASE("endpoints are compared with the median of their service") {
  endpoint_registry Registry;
  for (int Number = 0; Number < 5; ++Number) {
    endpoint_record Record;
    Record.Id = endpoint_id("i-" + std::to_string(Number));
    Record.Service = service_name("orders");
    Registry.apply(Record, Start);
  }
  const auto CountSuspectsAmong = [&](int Endpoints) {
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
  SUBCASE("two bad endpoints of five are suspect") {
    CHECK(CountSuspectsAmong(2) == 2);
  }
  SUBCASE("five bad endpoints of five are not") {
    CHECK(CountSuspectsAmong(5) == 0);
  }
}
