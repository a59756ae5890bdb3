#include "sesamepaddle/ingress/fleet_state.h"

#include <doctest/doctest.h>

#include <string>
#include <vector>

using namespace sesamepaddle;
using std::chrono::milliseconds;

namespace {

const time_point Start = time_point(std::chrono::hours(1));

/** The views of all VMs of a fleet in three regions; all know each other. */
struct vm_fleet {
  explicit vm_fleet(std::size_t Size) {
    for (std::size_t Vm = 0; Vm < Size; ++Vm) {
      ingress_options Options;
      Options.Vm.Name = vm_name("vm-" + std::to_string(Vm));
      Options.Vm.Region = region_name(regionOf(Vm));
      States.emplace_back(Options);
    }
    hearAll(Start);
  }

  static std::string regionOf(std::size_t Vm) {
    return std::vector<std::string>{"lima", "arequipa", "trujillo"}[Vm % 3];
  }

  /** Every VM hears from all others except @p Silent. */
  void hearAll(time_point Now, std::size_t Silent = SIZE_MAX) {
    for (auto &State : States)
      for (std::size_t Vm = 0; Vm < States.size(); ++Vm) {
        if (Vm == Silent)
          continue;
        known_vm Known;
        Known.Name = vm_name("vm-" + std::to_string(Vm));
        Known.Region = region_name(regionOf(Vm));
        Known.IsReady = true;
        Known.LastHeard = Now;
        State.applyVm(Known);
      }
  }

  std::vector<std::size_t> probers(time_point Now) const {
    std::vector<std::size_t> Probers;
    for (std::size_t Vm = 0; Vm < States.size(); ++Vm)
      if (States[Vm].isStoreProber(Now))
        Probers.push_back(Vm);
    return Probers;
  }

  std::vector<fleet_state> States;
};

} // namespace

TEST_CASE("only a few VMs probe a store that no VM reaches") {
  SUBCASE("one VM of a small fleet") {
    vm_fleet Fleet(10);
    const auto Probers = Fleet.probers(Start);
    REQUIRE(Probers.size() == 1);

    SUBCASE("another VM takes over when it becomes silent") {
      const auto Later = Start + milliseconds(10'000);
      Fleet.hearAll(Later, Probers[0]);
      auto Next = Fleet.probers(Later);
      std::erase(Next, Probers[0]);
      CHECK(Next.size() == 1);
    }

    SUBCASE("also when all VMs have lost the store") {
      for (auto &State : Fleet.States)
        State.setStoreLost(true);
      CHECK(Fleet.probers(Start).size() == 1);
    }
  }

  SUBCASE("some VMs in each region of a large fleet") {
    const vm_fleet Fleet(84);
    const auto Probers = Fleet.probers(Start);
    CHECK(Probers.size() == 6);
  }

  SUBCASE("as few as keep the calls to the store down in one of 295 VMs") {
    const vm_fleet Fleet(295);
    const auto Probers = Fleet.probers(Start);
    CHECK(Probers.size() == 9);
  }
}

// A reader without processor time answers late, and all VMs that it reads for
// decide by outdated rows.
TEST_CASE("VMs with little processor time do not read the store for others") {
  std::vector<fleet_state> States;
  // VMs tell each other hundredths of a core.
  const auto CoresOf = [](int Vm) { return Vm % 10 == 7 ? 0.504 : 0.1; };
  const auto ToldCoresOf = [](int Vm) { return Vm % 10 == 7 ? 0.5 : 0.1; };
  const auto NameOf = [](int Vm) {
    return vm_name("vm-" + std::to_string(Vm));
  };
  for (int Vm = 0; Vm < 100; ++Vm) {
    ingress_options Options;
    Options.Vm.Name = NameOf(Vm);
    Options.Vm.Region = region_name("lima");
    Options.Vm.Cores = CoresOf(Vm);
    States.emplace_back(Options);
  }
  for (auto &State : States)
    for (int Vm = 0; Vm < 100; ++Vm) {
      known_vm Known;
      Known.Name = NameOf(Vm);
      Known.Region = region_name("lima");
      Known.Cores = ToldCoresOf(Vm);
      Known.IsReady = true;
      Known.LastHeard = Start;
      State.applyVm(Known);
    }
  std::size_t Readers = 0;
  for (int Vm = 0; Vm < 100; ++Vm) {
    const auto &State = States[static_cast<std::size_t>(Vm)];
    const auto *Reader = State.storeReader(Start);
    if (Reader != nullptr) {
      CHECK(Reader->Cores == 0.5);
      continue;
    }
    CHECK(ToldCoresOf(Vm) == 0.5);
    CHECK(State.isStoreProber(Start));
    ++Readers;
  }
  CHECK(Readers == 3);
}

// While the store is away, each try costs money, and one that comes back must
// not be flooded by the tries of a large fleet.
TEST_CASE("tries to reach the store are bounded over all VMs") {
  const auto TriesPerSecond = [](const vm_fleet &Fleet) {
    double Tries = 0;
    for (const auto &State : Fleet.States)
      Tries +=
          1e3 / static_cast<double>(State.storeRetryInterval(Start).count());
    return Tries;
  };
  const auto Configure = [](vm_fleet &Fleet) {
    for (auto &State : Fleet.States) {
      configuration_content Content;
      Content.Version = 1;
      State.setConfiguration(
          std::make_shared<fleet_configuration>(std::move(Content)));
    }
  };
  vm_fleet Small(10);
  vm_fleet Large(295);

  SUBCASE("VMs without a configuration try more often, a small fleet always") {
    CHECK(TriesPerSecond(Small) == doctest::Approx(10 * 4.0));
    CHECK(TriesPerSecond(Large) < 350);
  }
  SUBCASE("VMs that can serve leave most tries to the probers") {
    Configure(Small);
    Configure(Large);
    CHECK(TriesPerSecond(Small) == doctest::Approx(4 + 9 / 1.2));
    CHECK(TriesPerSecond(Large) < 9 * 4 + 3 * 20 + 1);
  }
}

// Message intervals follow from the number of near and far VMs, which is kept
// while VMs are learned from the store and heard for the first time.
TEST_CASE("a VM counts as near once its region is known") {
  ingress_options Options;
  Options.Vm.Name = vm_name("vm-own");
  Options.Vm.Region = region_name("lima");
  fleet_state Fleet(Options);
  const auto AddVm = [&](int Number, const std::string &Region) {
    known_vm Vm;
    Vm.Name = vm_name("vm-" + std::to_string(Number));
    Vm.Region = region_name(Region);
    Vm.LastHeard = Start;
    if (Region.empty())
      Fleet.learnVm(std::move(Vm));
    else
      Fleet.applyVm(std::move(Vm));
  };
  for (int Number = 0; Number < 100; ++Number)
    AddVm(Number, "");
  CHECK(Fleet.messageInterval(true) == milliseconds(500));
  CHECK(Fleet.messageInterval(false) == milliseconds(12'500));
  for (int Round = 0; Round < 2; ++Round)
    for (int Number = 0; Number < 100; ++Number)
      AddVm(Number, Number < 50 ? "lima" : "cusco");
  CHECK(Fleet.messageInterval(true) == milliseconds(2'000));
  CHECK(Fleet.messageInterval(false) == milliseconds(6'250));
}

// Each divides what all may have together by the VMs that it knows of.
TEST_CASE("VMs that have just started do not take the shares of others") {
  constexpr std::size_t Vms = 40;
  const service_name Orders("orders");
  std::vector<fleet_state> Fleet;
  for (std::size_t Vm = 0; Vm < Vms; ++Vm) {
    ingress_options Options;
    Options.Vm.Name = vm_name("vm-" + std::to_string(Vm));
    Options.Vm.Region = region_name("lima");
    Options.Vm.GossipAddress = "10.0.0." + std::to_string(Vm) + ":7740";
    Options.Vm.SeedGossipAddresses = {"10.0.1.1:7740"};
    Fleet.emplace_back(Options);
    configuration_content Content;
    Content.Version = 1;
    service_terms Service;
    Service.Name = Orders;
    Service.ColdRequestsPerSecond = 3;
    Content.Services = {Service};
    Fleet.back().setConfiguration(
        std::make_shared<fleet_configuration>(std::move(Content)));
  }

  SUBCASE("of the requests that a cold endpoint gets") {
    std::size_t Sent = 0;
    for (auto &Vm : Fleet) {
      endpoint_record Record;
      Record.Id = endpoint_id("i-1");
      Record.Service = Orders;
      Record.Region = region_name("lima");
      Record.ColdRemaining = milliseconds(3'000);
      Vm.endpoints().apply(Record, Start);
      const auto Placed = Vm.place(Orders, {}, Start);
      Sent += Placed.Endpoint ? 1 : 0;
    }
    CHECK(Sent <= 3);
  }

  SUBCASE("of the requests that a new version may get before it is judged") {
    std::size_t SentToNew = 0;
    for (auto &Vm : Fleet) {
      Vm.setRollout({Orders, version_name("v2"), milliseconds(20'000)},
                    milliseconds(0), Start);
      for (int Request = 0; Request < 20; ++Request)
        SentToNew += Vm.drawVersion(Orders).IsNew ? 1 : 0;
    }
    const rollout_limits Limits;
    CHECK(static_cast<double>(SentToNew) <=
          Limits.Share * 20 * Vms + Limits.Slack);
  }

  SUBCASE("of the budget of retries") {
    const attempt_limits Limits;
    std::size_t Retries = 0;
    for (auto &Vm : Fleet)
      for (int Retry = 0; Retry < 20; ++Retry)
        Retries += Vm.attempts()
                           .takeRetry(Orders, Limits, Vm.sharingVms(), Start)
                           .IsAllowed
                       ? 1
                       : 0;
    CHECK(static_cast<double>(Retries) <= Limits.Slack);
  }
}

TEST_CASE("a VM that is cut off does not take the shares of all others") {
  ingress_options Options;
  Options.Vm.Name = vm_name("vm-own");
  Options.Vm.Region = region_name("lima");
  Options.Vm.GossipAddress = "10.0.0.1:7740";
  Options.Vm.SeedGossipAddresses = {"10.0.0.1:7740", "10.0.0.2:7740"};
  fleet_state Fleet(Options);
  const auto Later = boot_clock::now() + std::chrono::minutes(5);
  constexpr std::size_t NoShare = 1'000'000; // no fleet has so many VMs
  const auto AddVm = [&](int Number) {
    known_vm Vm;
    Vm.Name = vm_name("vm-" + std::to_string(Number));
    Fleet.learnVm(std::move(Vm));
  };

  SUBCASE("when it has not heard of any") {
    CHECK(Fleet.sharingVms(Later) > NoShare);
    Fleet.setVmsListed(listed_as::Missing);
    CHECK(Fleet.sharingVms(Later) > NoShare);
  }
  SUBCASE("before it can have heard of all") {
    AddVm(1);
    Fleet.setVmsListed(listed_as::Missing);
    CHECK(Fleet.sharingVms() > NoShare);
    CHECK(Fleet.sharingVms(Later) == 2);
  }
  SUBCASE("and counts those that it does not hear any more") {
    for (int Number = 0; Number < 67; ++Number)
      AddVm(Number);
    Fleet.setVmsListed(listed_as::Running);
    CHECK(Fleet.sharingVms() == 68);
    CHECK(Fleet.sharingVms(Later) == 68);
  }
  SUBCASE("but a fleet of one VM takes the whole") {
    Options.Vm.SeedGossipAddresses = {"10.0.0.1:7740"};
    CHECK(fleet_state(Options).sharingVms() == 1);
  }
}
