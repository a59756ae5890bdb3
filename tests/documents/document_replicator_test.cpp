#include "documents/replication_simulation.h"

#include <doctest/doctest.h>

using namespace sesamepaddle;
using std::chrono::milliseconds;
using std::chrono::seconds;

TEST_CASE("a document reaches all VMs from the few that poll the platform") {
  replication_simulation Simulation(3, 4, 11);
  REQUIRE_FALSE(Simulation.advance(seconds(2)));
  Simulation.commit(0);

  SUBCASE("it is in force on every VM within 3 s") {
    REQUIRE_FALSE(Simulation.advance(seconds(3)));
    CHECK(Simulation.findOutdatedVm().value_or("") == "");
  }

  SUBCASE("a failure domain without the platform gets it from the others") {
    for (std::size_t Vm = 0; Vm < 4; ++Vm)
      Simulation.cutFromPlatform(Vm);
    REQUIRE_FALSE(Simulation.advance(seconds(4)));
    CHECK(Simulation.findOutdatedVm().value_or("") == "");
    REQUIRE_FALSE(Simulation.advance(seconds(20)));
    CHECK(Simulation.freshnessOf(0) == freshness::Fresh);
  }

  SUBCASE("a VM that starts during an outage gets it from its peers") {
    REQUIRE_FALSE(Simulation.advance(seconds(3)));
    Simulation.setPlatformOutage(true);
    Simulation.restart(3);
    REQUIRE_FALSE(Simulation.advance(seconds(3)));
    CHECK(Simulation.numberOn(3, 0) == 1);
  }

  SUBCASE("a stale read does not restore an older document") {
    Simulation.commit(0);
    REQUIRE_FALSE(Simulation.advance(seconds(3)));
    Simulation.commit(0);
    REQUIRE_FALSE(Simulation.advance(seconds(3)));
    Simulation.setStaleReads(true);
    REQUIRE_FALSE(Simulation.advance(milliseconds(4'000)));
    CHECK(Simulation.numberOn(0, 0) == 3);
  }
}

TEST_CASE("a VM knows whether it may lack a newer document") {
  replication_simulation Simulation(3, 3, 5);
  REQUIRE_FALSE(Simulation.advance(seconds(5)));
  CHECK(Simulation.freshnessOf(8) == freshness::Fresh);

  SUBCASE("if no VM reaches the platform, none is cut off") {
    Simulation.setPlatformOutage(true);
    REQUIRE_FALSE(Simulation.advance(seconds(30)));
    CHECK(Simulation.freshnessOf(0) == freshness::PlatformOut);
    CHECK(Simulation.freshnessOf(8) == freshness::PlatformOut);
  }

  SUBCASE("only a partitioned failure domain is cut off") {
    Simulation.cutDomain(0);
    REQUIRE_FALSE(Simulation.advance(seconds(30)));
    CHECK(Simulation.freshnessOf(0) == freshness::CutOff);
    CHECK(Simulation.freshnessOf(8) == freshness::Fresh);

    SUBCASE("and is fresh again after the partition") {
      Simulation.healAll();
      REQUIRE_FALSE(Simulation.advance(seconds(5)));
      CHECK(Simulation.freshnessOf(0) == freshness::Fresh);
    }
  }

  SUBCASE("replies that waited for a suspended VM do not make it fresh") {
    Simulation.freeze(4);
    REQUIRE_FALSE(Simulation.advance(seconds(30)));
    Simulation.cutDomain(1);
    Simulation.thaw(4);
    CHECK(Simulation.freshnessOf(4) != freshness::Fresh);
  }
}
