#include "sesamepaddle/ingress/fleet_state.h"

#include <doctest/doctest.h>

#include <map>
#include <set>
#include <string>
#include <vector>

using namespace sesamepaddle;

namespace {

const time_point Start = time_point(std::chrono::hours(1));

/** 30 VMs of a region with two failure domains. All know each other. */
struct region_fleet {
  /** @param CoresOf  of the VM with a number */
  explicit region_fleet(double (*CoresOf)(int)) {
    std::vector<known_vm> Vms;
    for (int Number = 0; Number < 30; ++Number) {
      known_vm Vm;
      Vm.Name = vm_name("vm-" + std::to_string(Number));
      Vm.Region = region_name("lima");
      Vm.FailureDomain = failure_domain_name(Number % 2 == 0 ? "a" : "b");
      Vm.Cores = CoresOf(Number);
      Vm.IsReady = true;
      Vm.LastHeard = Start;
      Vms.push_back(Vm);
    }
    for (const auto &Self : Vms) {
      ingress_options Options;
      Options.Vm.Name = Self.Name;
      Options.Vm.Region = Self.Region;
      Options.Vm.FailureDomain = Self.FailureDomain;
      Options.Vm.Cores = Self.Cores;
      States.emplace_back(Options);
      for (const auto &Vm : Vms)
        States.back().applyVm(Vm);
    }
  }

  /** @returns the names of the VMs that read the store. */
  std::set<vm_name> readers() const {
    std::set<vm_name> Readers;
    for (const auto &State : States)
      if (State.storeReader(Start) == nullptr)
        Readers.insert(State.options().Vm.Name);
    return Readers;
  }

  std::vector<fleet_state> States;
};

} // namespace

TEST_CASE("rows do not cross failure domains where each can have a reader") {
  region_fleet Fleet([](int Number) {
    return Number == 2 || Number == 4 || Number == 7 ? 0.5 : 0.1;
  });
  CHECK(Fleet.readers().size() == 2);
  for (auto &State : Fleet.States)
    if (const auto *Reader = State.storeReader(Start)) {
      CHECK(Reader->FailureDomain == State.options().Vm.FailureDomain);
      CHECK(Reader->Cores == 0.5);
    }

  SUBCASE("a VM whose reader does not answer goes to another one") {
    auto &State = Fleet.States.front();
    const auto *Reader = State.storeReader(Start);
    REQUIRE(Reader != nullptr);
    const auto Name = Reader->Name;
    State.avoidReader(Name, Start);
    const auto *Next = State.storeReader(Start);
    REQUIRE(Next != nullptr);
    CHECK(Next->Name != Name);
    CHECK(Next->FailureDomain == State.options().Vm.FailureDomain);
  }
}

TEST_CASE("a VM short of processor time is no reader for its place") {
  region_fleet Fleet(
      [](int Number) { return Number == 2 || Number == 4 ? 0.5 : 0.1; });
  CHECK(Fleet.readers() == std::set<vm_name>{vm_name("vm-2"), vm_name("vm-4")});
}

TEST_CASE("a VM that has lost the store knows whether it would read it") {
  region_fleet Fleet([](int Number) { return Number < 2 ? 0.5 : 0.1; });
  const auto Before = Fleet.readers();
  CHECK(Before.size() == 2);
  for (auto &State : Fleet.States)
    State.setStoreLost(true);
  for (const auto &State : Fleet.States)
    CHECK(State.wouldReadStore(Start) ==
          Before.contains(State.options().Vm.Name));
}
