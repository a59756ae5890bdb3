#include "load_balancing/load_fleet.h"

#include <doctest/doctest.h>

#include <string>
#include <utility>
#include <vector>

using namespace sesamepaddle;

namespace {

load_result play(load_plan Plan, load_policy Policy) {
  Plan.Policy = Policy;
  return load_fleet(std::move(Plan)).run();
}

/** @returns the means over three seeds. */
load_result playSeeds(load_plan Plan, load_policy Policy) {
  load_result Mean;
  for (Plan.Seed = 1; Plan.Seed <= 3; ++Plan.Seed) {
    const auto Result = play(Plan, Policy);
    Mean.InTime += Result.InTime / 3;
    Mean.WorstDomain += Result.WorstDomain / 3;
    Mean.TurnedAway += Result.TurnedAway / 3;
    Mean.WaitedInVain += Result.WaitedInVain / 3;
    Mean.BusiestOverMean += Result.BusiestOverMean / 3;
  }
  return Mean;
}

const std::vector<std::pair<std::string, load_policy>> Policies = {
    {"placement", load_policy::Placement},
    {"placement by thresholds", load_policy::FormerPlacement},
    {"least loaded", load_policy::LeastLoaded},
    {"perfect view", load_policy::PerfectView},
    {"rendezvous", load_policy::RendezvousOnly}};

/** 8 VMs of two regions, with little room to spare. */
load_plan smallFleet() {
  load_plan Plan;
  Plan.Vms = 8;
  Plan.EndpointsByDomain = {4, 4, 4, 4};
  Plan.Objects = 60;
  Plan.ObjectsKept = 25;
  Plan.RequestsPerSecond = 150;
  Plan.NearNews = 0.5;
  Plan.FarNews = 1;
  return Plan;
}

/** 90 VMs; a third of the callers in a region with a tenth of the endpoints,
    that share their machines with others. */
load_plan unevenFleet() {
  load_plan Plan;
  Plan.Swing = 0.55;
  Plan.SlowShare = 0.15;
  return Plan;
}

load_plan largeFleet() {
  load_plan Plan = unevenFleet();
  Plan.Vms = 300;
  Plan.RequestsPerSecond = 1'200;
  Plan.EndpointsByDomain = {20, 20, 80, 80, 80, 80};
  Plan.Objects = 480;
  Plan.NearNews = 2;
  Plan.FarNews = 4;
  return Plan;
}

} // namespace

// test_load_balancing -ns -tc='*table of even load*'
TEST_CASE("table of even load, for docs/design/even-load.md" *
          doctest::skip()) {
  const std::vector<std::pair<std::string, load_plan>> Plans = {
      {"8 VMs, news 0.5 s", smallFleet()},
      {"90 VMs, news 0.1 s",
       [] {
         auto Plan = unevenFleet();
         Plan.NearNews = Plan.FarNews = 0.1;
         return Plan;
       }()},
      {"90 VMs, news 1 s and 4 s", unevenFleet()},
      {"90 VMs, a hot object",
       [] {
         auto Plan = unevenFleet();
         Plan.HotShare = 0.1;
         return Plan;
       }()},
      {"90 VMs, from cold",
       [] {
         auto Plan = unevenFleet();
         Plan.WarmUp = 0;
         Plan.Duration = 4;
         return Plan;
       }()},
      {"90 VMs, many objects",
       [] {
         auto Plan = unevenFleet();
         Plan.Objects = 1'476;
         return Plan;
       }()},
      {"90 VMs, many objects, from cold",
       [] {
         auto Plan = unevenFleet();
         Plan.Objects = 1'476;
         Plan.WarmUp = 0;
         Plan.Duration = 4;
         return Plan;
       }()},
      {"90 VMs, region cut for 4 s",
       [] {
         auto Plan = unevenFleet();
         Plan.CutFrom = 8;
         Plan.CutUntil = 12;
         return Plan;
       }()},
      {"90 VMs, half of the news lost",
       [] {
         auto Plan = unevenFleet();
         Plan.LostNews = 0.5;
         return Plan;
       }()},
      {"300 VMs, news 2 s and 4 s", largeFleet()}};
  for (const auto &[Name, Plan] : Plans) {
    MESSAGE(Name);
    for (const auto &[PolicyName, Policy] : Policies)
      MESSAGE("  " << PolicyName << ": " << play(Plan, Policy).toString());
  }
}

TEST_CASE("the fleet that placement is measured with is sound") {
  auto Plan = smallFleet();

  SUBCASE("with a perfect view, room and no warmth nothing waits in vain") {
    Plan.KnownObjectWork = 1;
    Plan.RequestsPerSecond = 40;
    Plan.LatencyObjective = 1;
    const auto Result = play(Plan, load_policy::PerfectView);
    CHECK(Result.Requests > 500);
    CHECK(Result.TurnedAway == 0);
    CHECK(Result.WaitedInVain < 0.01);
    CHECK(Result.InTime > 0.95);
  }
  SUBCASE("the same seed gives the same figures") {
    CHECK(play(Plan, load_policy::Placement).toString() ==
          play(Plan, load_policy::Placement).toString());
  }
  SUBCASE("more load than all endpoints can carry is turned away") {
    Plan.RequestsPerSecond = 1'000;
    const auto Result = play(Plan, load_policy::PerfectView);
    CHECK(Result.TurnedAway > 0.3);
  }
  SUBCASE("nothing crosses a cut") {
    Plan.CutFrom = 6;
    Plan.CutUntil = 10;
    CHECK(play(Plan, load_policy::PerfectView).Unreached == 0);
    CHECK(play(Plan, load_policy::RendezvousOnly).Unreached > 0);
  }
}

// Callers wait at some endpoints while others are idle: the VMs see the same
// old news and choose the same endpoint, or objects fall unevenly.
TEST_CASE("many VMs that act on old news load the endpoints evenly") {
  constexpr double Duration = 9;
  const auto Compare = [](const load_plan &Plan) {
    const auto Placed = playSeeds(Plan, load_policy::Placement);
    const auto LeastLoaded = playSeeds(Plan, load_policy::LeastLoaded);
    const auto InOrder = playSeeds(Plan, load_policy::RendezvousOnly);
    INFO("placement: " << Placed.toString());
    INFO("least loaded: " << LeastLoaded.toString());
    INFO("rendezvous: " << InOrder.toString());
    // Even with the freshest news, no worse than the least loaded endpoint.
    CHECK(Placed.InTime >= LeastLoaded.InTime - 0.01);
    CHECK(Placed.InTime > InOrder.InTime);
    CHECK(Placed.WorstDomain > InOrder.WorstDomain);
    CHECK(Placed.WaitedInVain < InOrder.WaitedInVain);
    CHECK(Placed.BusiestOverMean < InOrder.BusiestOverMean);
    return Placed;
  };
  auto Plan = unevenFleet();
  Plan.WarmUp = 4;
  Plan.Duration = Duration;

  SUBCASE("8 VMs with news of 0.5 s") { Compare(smallFleet()); }
  SUBCASE("90 VMs with news of 0.1 s") {
    Plan.NearNews = Plan.FarNews = 0.1;
    Compare(Plan);
  }
  SUBCASE("90 VMs with news of 1 s and 4 s") {
    const auto Placed = Compare(Plan);
    const auto LeastLoaded = playSeeds(Plan, load_policy::LeastLoaded);
    CHECK(Placed.InTime > LeastLoaded.InTime + 0.03);
    CHECK(Placed.WaitedInVain < LeastLoaded.WaitedInVain);
  }
  SUBCASE("90 VMs with news of 2 s") {
    Plan.NearNews = Plan.FarNews = 2;
    Compare(Plan);
  }
  SUBCASE("300 VMs with news of 2 s and 4 s") {
    Plan = largeFleet();
    Plan.Duration = Duration;
    Compare(Plan);
  }
  SUBCASE("a hot object") {
    Plan.HotShare = 0.1;
    const auto Placed = Compare(Plan);
    // No endpoint holds more than its queue for it, and callers of the rest do
    // not notice.
    CHECK(Placed.TurnedAway < 0.01);
  }
  SUBCASE("all endpoints from nothing") {
    Plan.WarmUp = 0;
    Plan.Duration = 4;
    Compare(Plan);
  }
}

// Each request that crosses costs the deployment bytes and its caller time.
TEST_CASE("few requests leave their failure domain while it has room") {
  auto Plan = unevenFleet();
  Plan.EndpointsByDomain = {40, 40, 40, 40, 40, 40};
  const auto Result = play(Plan, load_policy::Placement);
  INFO(Result.toString());
  CHECK(Result.OtherDomain < 0.1);
  CHECK(Result.OtherRegion < 0.1);
}

// A region that is short of room sends objects out and takes them back too
// quickly, against the bound on the change from one window of 2 s to the next.
TEST_CASE("regions whose peaks wander shift their requests slowly") {
  constexpr double MaxShift = 0.15;
  for (const std::uint64_t Seed : {1U, 2U, 3U}) {
    auto Plan = unevenFleet();
    Plan.Seed = Seed;
    Plan.Duration = 40;
    const auto Result = play(Plan, load_policy::Placement);
    INFO(Result.toString());
    CHECK(Result.MaxShift < MaxShift);
  }
}

TEST_CASE("even load while news fails") {
  auto Plan = unevenFleet();
  const auto Usual = play(Plan, load_policy::Placement);

  SUBCASE("half of the news is lost") {
    Plan.LostNews = 0.5;
    CHECK(play(Plan, load_policy::Placement).InTime > Usual.InTime - 0.02);
  }
  SUBCASE("two VMs of each domain hear and say nothing for a while") {
    Plan.PausedVms = 2;
    Plan.PauseFrom = 6;
    Plan.PauseUntil = 14;
    CHECK(play(Plan, load_policy::Placement).InTime > Usual.InTime - 0.02);
  }
  SUBCASE("a region is cut off, each side uses what it reaches") {
    Plan.CutFrom = 6;
    Plan.CutUntil = 12;
    const auto Cut = play(Plan, load_policy::Placement);
    CHECK(Cut.InTime > play(Plan, load_policy::RendezvousOnly).InTime);

    SUBCASE("and all is as before when the cut has ended") {
      Plan.WarmUp = 14;
      const auto After = play(Plan, load_policy::Placement);
      Plan.CutFrom = Plan.CutUntil = 0;
      CHECK(After.InTime > play(Plan, load_policy::Placement).InTime - 0.02);
    }
  }
}
