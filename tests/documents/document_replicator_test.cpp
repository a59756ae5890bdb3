#include "documents/replication_simulation.h"

#include <doctest/doctest.h>

using namespace sesamepaddle;
using std::chrono::milliseconds;
using std::chrono::seconds;

TEST_CASE("a signed document spreads from a few pollers") {
  replication_simulation World(3, 4, 11);
  REQUIRE_FALSE(World.advance(seconds(2)));
  World.commit(0);

  SUBCASE("it is in force on every VM within 3 s") {
    REQUIRE_FALSE(World.advance(seconds(3)));
    CHECK(World.findOutdatedVm().value_or("") == "");
  }

  SUBCASE("a domain that does not reach the platform has it from the others") {
    for (std::size_t Vm = 0; Vm < 4; ++Vm)
      World.cutFromPlatform(Vm);
    REQUIRE_FALSE(World.advance(seconds(4)));
    CHECK(World.findOutdatedVm().value_or("") == "");
    REQUIRE_FALSE(World.advance(seconds(20)));
    CHECK(World.freshnessOf(0) == freshness::Fresh);
  }

  SUBCASE("a VM that starts in an outage has it from its peers") {
    REQUIRE_FALSE(World.advance(seconds(3)));
    World.setPlatformOutage(true);
    World.restart(3);
    REQUIRE_FALSE(World.advance(seconds(3)));
    CHECK(World.numberOn(3, 0) == 1);
  }

  SUBCASE("an old read neither takes it back nor counts as fresh") {
    World.commit(0);
    REQUIRE_FALSE(World.advance(seconds(3)));
    World.commit(0);
    REQUIRE_FALSE(World.advance(seconds(3)));
    World.setStaleReads(true);
    REQUIRE_FALSE(World.advance(milliseconds(4'000)));
    CHECK(World.numberOn(0, 0) == 3);
  }
}

TEST_CASE("a VM knows what it can't know") {
  replication_simulation World(3, 3, 5);
  REQUIRE_FALSE(World.advance(seconds(5)));
  CHECK(World.freshnessOf(8) == freshness::Fresh);

  SUBCASE("when nobody reaches the platform, nothing can have changed") {
    World.setPlatformOutage(true);
    REQUIRE_FALSE(World.advance(seconds(30)));
    CHECK(World.freshnessOf(0) == freshness::PlatformOut);
    CHECK(World.freshnessOf(8) == freshness::PlatformOut);
  }

  SUBCASE("when its domain hears nobody, something may have") {
    World.cutDomain(0);
    REQUIRE_FALSE(World.advance(seconds(30)));
    CHECK(World.freshnessOf(0) == freshness::CutOff);
    CHECK(World.freshnessOf(8) == freshness::Fresh);

    SUBCASE("until the cut heals") {
      World.healAll();
      REQUIRE_FALSE(World.advance(seconds(5)));
      CHECK(World.freshnessOf(0) == freshness::Fresh);
    }
  }

  SUBCASE("a frozen VM does not take old answers for new ones") {
    World.freeze(4);
    REQUIRE_FALSE(World.advance(seconds(30)));
    World.cutDomain(1);
    World.thaw(4);
    CHECK(World.freshnessOf(4) != freshness::Fresh);
  }
}
