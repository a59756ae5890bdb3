#include "membership/membership_simulation.h"

#include <doctest/doctest.h>

using namespace sesamepaddle;
using std::chrono::milliseconds;
using std::chrono::seconds;

TEST_CASE("VMs that start from the list find each other") {
  membership_simulation World(2, 3, 7);
  REQUIRE_FALSE(World.advance(seconds(20)));
  CHECK(World.compareWithTruth().value_or("") == "");

  SUBCASE("a frozen VM is suspected, and live again when it goes on") {
    const auto Frozen = World.incarnationOf(1);
    World.freeze(1);
    REQUIRE_FALSE(World.advance(seconds(60)));
    CHECK(World.viewOf(0)[Frozen] == member_state::Suspected);
    CHECK(World.viewOf(4)[Frozen] == member_state::Suspected);

    SUBCASE("and it does not take its own pause for the others' silence") {
      World.thawWithoutInbox(1);
      REQUIRE_FALSE(World.advance(milliseconds(100)));
      CHECK(World.viewOf(1)[World.incarnationOf(0)] == member_state::Live);
      REQUIRE_FALSE(World.advance(seconds(10)));
      CHECK(World.compareWithTruth().value_or("") == "");
    }

    SUBCASE("a replacement on its address is another VM") {
      World.crash(1);
      World.start(1);
      REQUIRE_FALSE(World.advance(seconds(20)));
      CHECK(World.incarnationOf(1) != Frozen);
      CHECK(World.viewOf(0)[World.incarnationOf(1)] == member_state::Live);
      CHECK(World.compareWithTruth().value_or("") == "");
    }
  }

  SUBCASE("a leaving VM is known as leaving within a second everywhere") {
    const auto Gone = World.incarnationOf(2);
    World.leave(2);
    REQUIRE_FALSE(World.advance(seconds(1)));
    for (const std::size_t Vm : {0U, 1U, 3U, 4U, 5U})
      CHECK(World.viewOf(Vm)[Gone] == member_state::Leaving);
  }

  SUBCASE("a cut domain is unheard, not dead") {
    World.cutDomain(0);
    REQUIRE_FALSE(World.advance(seconds(30)));
    CHECK(World.viewOf(0)[World.incarnationOf(3)] == member_state::Suspected);
    CHECK_FALSE(World.protocol(0).silences(World.now()).front().IsHeard);
    World.healAll();
    REQUIRE_FALSE(World.advance(seconds(10)));
    CHECK(World.compareWithTruth().value_or("") == "");
  }
}
