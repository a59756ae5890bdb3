#include "ingress/gossip_recipients.h"

#include "absl/strings/str_cat.h"

#include <doctest/doctest.h>

#include <map>
#include <set>
#include <string>
#include <vector>

using namespace sesamepaddle;
using std::chrono::milliseconds;

namespace {

const time_point Start = time_point(std::chrono::hours(1));
constexpr std::size_t VmsPerDomain = 15;

/** The views of VMs in two regions of two failure domains each, in which a
    round of messages takes no time. */
struct gossiping_fleet {
  gossiping_fleet() {
    for (const char *Region : {"lima", "cusco"})
      for (const char *Domain : {"a", "b"})
        for (std::size_t Number = 0; Number < VmsPerDomain; ++Number) {
          const auto Place = absl::StrCat(Region, "-", Domain);
          ingress_options Options;
          Options.Vm.Name = vm_name(absl::StrCat(Place, Number));
          Options.Vm.Region = region_name(Region);
          Options.Vm.FailureDomain = failure_domain_name(Place);
          States.emplace_back(Options);
        }
    for (auto &From : States)
      for (auto &To : States)
        deliver(From, To, Start);
  }

  void deliver(const fleet_state &From, fleet_state &To, time_point Now) {
    known_vm Vm;
    Vm.Name = From.options().Vm.Name;
    Vm.Region = From.options().Vm.Region;
    Vm.FailureDomain = From.options().Vm.FailureDomain;
    Vm.IsReady = true;
    Vm.LastHeard = Now;
    To.applyVm(Vm);
  }

  fleet_state &state(const vm_name &Name) {
    for (auto &State : States)
      if (State.options().Vm.Name == Name)
        return State;
    throw std::logic_error("no such VM");
  }

  /** All running VMs send one message, to all VMs. */
  void playRound(std::uint64_t Round, time_point Now) {
    for (auto &From : States) {
      if (Stopped.contains(From.options().Vm.Name))
        continue;
      for (const auto &Recipient :
           chooseRecipients(From, Round, true, true, Now)) {
        const auto Name = Recipient.Vm->Name;
        isCrossing(From, *Recipient.Vm) ? ++Crossings : ++Others;
        if (Stopped.contains(Name))
          continue;
        auto &To = state(Name);
        deliver(From, To, Now);
        if (!Recipient.MustForward)
          continue;
        for (const auto *Next :
             chooseForwardees(To, From.options().Vm.Name, Now))
          if (!Stopped.contains(Next->Name))
            deliver(From, state(Next->Name), Now);
      }
    }
  }

  static bool isCrossing(const fleet_state &From, const known_vm &To) {
    return From.options().Vm.FailureDomain != To.FailureDomain;
  }

  /** @returns the longest time since a running VM heard another running one. */
  duration longestSilence(time_point Now) {
    duration Longest{};
    for (auto &State : States)
      for (const auto &[Name, Vm] : State.vms())
        if (!Stopped.contains(State.options().Vm.Name) &&
            !Stopped.contains(Name))
          Longest = std::max(Longest, Now - Vm.LastHeard);
    return Longest;
  }

  std::vector<fleet_state> States;
  std::set<vm_name> Stopped;
  std::size_t Crossings = 0; ///< messages between failure domains
  std::size_t Others = 0;
};

} // namespace

TEST_CASE("a message does not cross to each VM of another failure domain") {
  gossiping_fleet Fleet;
  const auto Now = Start + milliseconds(500);
  Fleet.playRound(1, Now);
  // One to each of the three other domains.
  CHECK(Fleet.Crossings == Fleet.States.size() * 3);
  CHECK(Fleet.Others == Fleet.States.size() * (VmsPerDomain - 1));

  SUBCASE("and yet all VMs hear of all") {
    CHECK(Fleet.longestSilence(Now) == duration(0));
  }

  SUBCASE("and forwarding is not left to a few VMs") {
    std::map<vm_name, std::size_t> Forwards;
    for (auto &From : Fleet.States)
      for (const auto &Recipient : chooseRecipients(From, 2, true, true, Now))
        Forwards[Recipient.Vm->Name] += Recipient.MustForward ? 1 : 0;
    std::size_t Most = 0;
    for (const auto &[Name, Count] : Forwards)
      Most = std::max(Most, Count);
    CHECK(Most <= 12);
  }
}

TEST_CASE("forwarders that were killed do not cut a failure domain off") {
  gossiping_fleet Fleet;
  // Nearly half of a domain, before anyone has noticed.
  for (const auto *Name : {"lima-b0", "lima-b3", "lima-b4", "lima-b7",
                           "lima-b9", "lima-b11", "lima-b14"})
    Fleet.Stopped.insert(vm_name(Name));
  auto Now = Start;
  duration Longest{};
  for (std::uint64_t Round = 1; Round <= 20; ++Round) {
    Now += milliseconds(500);
    Fleet.playRound(Round, Now);
    Longest = std::max(Longest, Fleet.longestSilence(Now));
  }
  // Two stopped ones in a row of names.
  CHECK(Longest <= milliseconds(1'000));
}

TEST_CASE("a silent VM and what must not be late wait for no forwarder") {
  gossiping_fleet Fleet;
  auto &From = Fleet.States.front();
  const auto Now = Start + std::chrono::seconds(20);
  for (auto &State : Fleet.States)
    if (State.options().Vm.Name != vm_name("lima-b2"))
      Fleet.deliver(State, From, Now);
  const auto IsSentDirectly = [&](std::uint64_t Round, bool MayForward) {
    for (const auto &Recipient :
         chooseRecipients(From, Round, true, MayForward, Now))
      if (Recipient.Vm->Name == vm_name("lima-b2"))
        return !Recipient.MustForward;
    return false;
  };
  CHECK(IsSentDirectly(8, true));
  CHECK_FALSE(IsSentDirectly(9, true));
  for (const auto &Recipient : chooseRecipients(From, 8, true, false, Now))
    CHECK_FALSE(Recipient.MustForward);
}

TEST_CASE("a message that was held up on its way undoes no newer one") {
  gossiping_fleet Fleet;
  auto &State = Fleet.States.front();
  known_vm Vm;
  Vm.Name = vm_name("cusco-a0");
  Vm.Incarnation = incarnation(5);
  Vm.Sequence = 10;
  Vm.LastHeard = Start;
  State.applyVm(Vm);
  CHECK(State.isSuperseded(Vm.Name, incarnation(5), 9));
  CHECK_FALSE(State.isSuperseded(Vm.Name, incarnation(5), 11));
  SUBCASE("nor does one of the process before") {
    Vm.Incarnation = incarnation(6);
    Vm.Sequence = 1;
    CHECK_FALSE(State.isSuperseded(Vm.Name, Vm.Incarnation, Vm.Sequence));
    State.applyVm(Vm);
    CHECK(State.isSuperseded(Vm.Name, incarnation(5), 11));
    CHECK_FALSE(State.isSuperseded(Vm.Name, incarnation(6), 2));
  }
}
