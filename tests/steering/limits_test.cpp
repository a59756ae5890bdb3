#include "sesamepaddle/steering/capacity_allocator.h"
#include "sesamepaddle/steering/region_router.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <deque>
#include <string>

using namespace sesamepaddle;
using namespace std::chrono_literals;

namespace {

const region_name Lima("lima");
const region_name Arequipa("arequipa");
const workspace_name Small("panaderia");
const workspace_name Large("hoteles");
constexpr double Bytes = 1'000;

/** Routes @p Count requests, spread evenly over one second.
    @returns how many of them run in @p Region. */
unsigned routeForSecond(region_router &Router, const workspace_name &Workspace,
                        unsigned Count, time_point From,
                        const region_name &Region) {
  unsigned Routed = 0;
  for (unsigned Index = 0; Index < Count; ++Index)
    Routed += Router.route(Workspace, Bytes,
                           From + Index * 1'000'000us / Count) == Region
                  ? 1
                  : 0;
  return Routed;
}

} // namespace

TEST_CASE("an allocator divides a limit among VMs") {
  const time_point Start(1h);
  capacity_allocator Allocator(100, Start);

  SUBCASE("nothing before the leases of its predecessor have expired") {
    CHECK(Allocator.grant(vm_name("a"), 50, 0, Start).PerSecond == 0);
  }

  const auto Later = Start + 3s;
  SUBCASE("as much as VMs want while the limit suffices") {
    CHECK(Allocator.grant(vm_name("a"), 60, 0, Later).PerSecond == 60);
    CHECK(Allocator.grant(vm_name("b"), 30, 0, Later).PerSecond == 30);
  }

  SUBCASE("a VM that wants too much shrinks before others grow") {
    CHECK(Allocator.grant(vm_name("a"), 1'000, 0, Later).PerSecond == 100);
    CHECK(Allocator.grant(vm_name("b"), 40, 0, Later).PerSecond == 0);
    CHECK(Allocator.grant(vm_name("a"), 1'000, 0, Later + 1s).PerSecond == 60);
    CHECK(Allocator.grant(vm_name("b"), 40, 0, Later + 1s).PerSecond == 0);
    CHECK(Allocator.grant(vm_name("a"), 1'000, 0, Later + 2s).PerSecond == 60);
    CHECK(Allocator.grant(vm_name("b"), 40, 0, Later + 2500ms).PerSecond == 40);
  }

  SUBCASE("a VM that reports its newest grant releases the older ones") {
    const auto First = Allocator.grant(vm_name("a"), 100, 0, Later);
    const auto Second =
        Allocator.grant(vm_name("a"), 40, First.Number, Later + 1s);
    CHECK(Allocator.grant(vm_name("b"), 60, 0, Later + 1s).PerSecond == 0);
    Allocator.grant(vm_name("a"), 40, Second.Number, Later + 1s);
    CHECK(Allocator.grant(vm_name("b"), 60, 0, Later + 1s).PerSecond == 60);
  }

  SUBCASE("the part of a dead VM is free after its lease expires") {
    CHECK(Allocator.grant(vm_name("a"), 100, 0, Later).PerSecond == 100);
    CHECK(Allocator.grant(vm_name("b"), 100, 0, Later + 5s).PerSecond == 100);
  }
}

TEST_CASE("a VM chooses the region of a request") {
  const time_point Start(1h);
  region_router Router({Lima, Arequipa}, Start);
  Router.setGuaranteedRate(Small, 20, Start);
  Router.setPermanentRate(100, Start);

  SUBCASE("its own region while its part of the capacity suffices") {
    CHECK(routeForSecond(Router, Small, 50, Start + 1s, Lima) == 50);
  }

  SUBCASE("another region only with a part of its capacity and its link") {
    CHECK(routeForSecond(Router, Small, 400, Start + 1s, Arequipa) == 0);
    Router.applyRegionGrant(Arequipa, {100, 2s, 1}, Start + 2s, Start + 2s);
    CHECK(routeForSecond(Router, Small, 400, Start + 2s, Arequipa) == 0);
    Router.applyLinkGrant(Arequipa, {1e6, 2s, 1}, Start + 3s, Start + 3s);
    Router.applyRegionGrant(Arequipa, {100, 2s, 1}, Start + 3s, Start + 3s);
    CHECK(routeForSecond(Router, Small, 400, Start + 3s, Arequipa) > 60);
  }

  SUBCASE("a grant ends with its lease, and the permanent rate stays") {
    Router.applyRegionGrant(Lima, {300, 2s, 1}, Start, Start);
    CHECK(routeForSecond(Router, Small, 1'000, Start + 1s, Lima) > 300);
    CHECK(routeForSecond(Router, Small, 1'000, Start + 3s, Lima) <= 121);
    CHECK(routeForSecond(Router, Small, 50, Start + 60s, Lima) == 50);
  }

  SUBCASE("a small workspace gets its guaranteed rate beside a large one") {
    unsigned Served = 0;
    for (unsigned Step = 0; Step < 1'000; ++Step) {
      const auto Now = Start + 1s + Step * 1ms;
      Router.route(Large, Bytes, Now);
      if (Step % 50 == 0)
        Served += Router.route(Small, Bytes, Now) ? 1 : 0;
    }
    CHECK(Served == 20);
  }
}

TEST_CASE("fuzz: the routed requests of all VMs stay within the limit") {
  const bool Holds = rc::check([] {
    constexpr double Limit = 100;
    constexpr double DepthOfAll = 0.2 * Limit;
    const time_point Start(1h);
    capacity_allocator Allocator(Limit, Start - 10s);
    const auto Count = *rc::gen::inRange<std::size_t>(1, 6);
    std::vector<region_router> Routers(Count, region_router({Lima}, Start));
    std::deque<time_point> Decisions;
    auto Now = Start;
    for (int Step = 0; Step < 400; ++Step) {
      Now += std::chrono::milliseconds(*rc::gen::inRange(0, 400));
      const auto Vm = *rc::gen::inRange<std::size_t>(0, Count);
      const vm_name Name("vm-" + std::to_string(Vm));
      if (*rc::gen::inRange(0, 3) == 0) {
        const double Demand = *rc::gen::inRange(0, 1'000);
        const auto Grant = Allocator.grant(
            Name, Demand, Routers[Vm].latestRegionGrant(Lima), Now + 5ms);
        const bool IsLost = *rc::gen::inRange(0, 4) == 0;
        if (!IsLost)
          Routers[Vm].applyRegionGrant(Lima, Grant, Now, Now + 10ms);
        RC_ASSERT(Allocator.granted(Now + 5ms) <= Limit + 1e-6);
      }
      const int Burst = *rc::gen::inRange(0, 60);
      for (int Request = 0; Request < Burst; ++Request)
        if (Routers[Vm].route(Small, Bytes, Now + 10ms))
          Decisions.push_back(Now);
      while (!Decisions.empty() && Decisions.front() <= Now - 1s)
        Decisions.pop_front();
      // Beyond its rate, each bucket lets through its depth: at most 0.2 s of
      // the rate plus one request.
      const double Most = Limit + DepthOfAll + static_cast<double>(Count);
      RC_ASSERT(static_cast<double>(Decisions.size()) <= Most + 1e-6);
    }
  });
  CHECK(Holds);
}
