#include "membership/membership_simulation.h"

#include <doctest/doctest.h>

using namespace sesamepaddle;
using std::chrono::milliseconds;
using std::chrono::seconds;

TEST_CASE("VMs that start with the platform's list discover each other") {
  membership_simulation Simulation(2, 3, 7);
  REQUIRE_FALSE(Simulation.advance(seconds(20)));
  CHECK(Simulation.compareWithTruth().value_or("") == "");

  SUBCASE("a frozen VM is suspected in its own and in the other domain") {
    const auto Frozen = Simulation.incarnationOf(1);
    Simulation.freeze(1);
    REQUIRE_FALSE(Simulation.advance(seconds(60)));
    CHECK(Simulation.viewOf(0)[Frozen] == member_state::Suspected);
    CHECK(Simulation.viewOf(4)[Frozen] == member_state::Suspected);

    SUBCASE("after resuming it does not suspect the others because of its own "
            "pause") {
      Simulation.thawWithoutInbox(1);
      REQUIRE_FALSE(Simulation.advance(milliseconds(100)));
      CHECK(Simulation.viewOf(1)[Simulation.incarnationOf(0)] ==
            member_state::Live);
      REQUIRE_FALSE(Simulation.advance(seconds(10)));
      CHECK(Simulation.compareWithTruth().value_or("") == "");
    }

    SUBCASE("a replacement at its address is shown as a new incarnation") {
      Simulation.crash(1);
      Simulation.start(1);
      REQUIRE_FALSE(Simulation.advance(seconds(20)));
      CHECK(Simulation.incarnationOf(1) != Frozen);
      CHECK(Simulation.viewOf(0)[Simulation.incarnationOf(1)] ==
            member_state::Live);
      CHECK(Simulation.compareWithTruth().value_or("") == "");
    }
  }

  SUBCASE("every VM shows a leaving VM as leaving within one second") {
    const auto Gone = Simulation.incarnationOf(2);
    Simulation.leave(2);
    REQUIRE_FALSE(Simulation.advance(seconds(1)));
    for (const std::size_t Vm : {0U, 1U, 3U, 4U, 5U})
      CHECK(Simulation.viewOf(Vm)[Gone] == member_state::Leaving);
  }

  SUBCASE(
      "the VMs of a domain that is cut off are suspected until it is healed") {
    Simulation.cutDomain(0);
    REQUIRE_FALSE(Simulation.advance(seconds(30)));
    CHECK(Simulation.viewOf(0)[Simulation.incarnationOf(3)] ==
          member_state::Suspected);
    CHECK_FALSE(
        Simulation.protocol(0).silences(Simulation.now()).front().IsHeard);
    Simulation.healAll();
    REQUIRE_FALSE(Simulation.advance(seconds(10)));
    CHECK(Simulation.compareWithTruth().value_or("") == "");
  }
}
