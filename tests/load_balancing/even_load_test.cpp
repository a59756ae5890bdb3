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

const std::vector<std::pair<std::string, load_policy>> Policies = {
    {"placement", load_policy::Placement},
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
