#include "membership/membership_simulation.h"

#include <algorithm>

namespace sesamepaddle {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds Step{100}; // the interval of tick() on an entry VM
constexpr milliseconds MaxDelay{400};

// This share of the messages is delivered twice. The second copy comes up
// to 40 s later, which is longer than a departure is announced (30 s).
constexpr milliseconds MaxDuplicateDelay{40'000};
constexpr unsigned DuplicatePercent = 5;

} // namespace

membership_simulation::membership_simulation(std::size_t Domains,
                                             std::size_t VmsPerDomain,
                                             std::uint64_t Seed)
    : Vms(Domains * VmsPerDomain), Random(Seed) {
  for (std::size_t Index = 0; Index < Vms.size(); ++Index) {
    const std::string Number = std::to_string(Index);
    Vms[Index].Address = {
        vm_name("vm-" + Number), region_name("lima"),
        failure_domain_name("lima-" + std::to_string(Index / VmsPerDomain)),
        "c" + Number, "p" + Number};
    VmByAddress["p" + Number] = Index;
  }
  for (std::size_t Index = 0; Index < Vms.size(); ++Index)
    start(Index);
}

void membership_simulation::start(std::size_t Vm) {
  auto &Started = Vms[Vm];
  Started.Incarnation = incarnation{NextIncarnation++};
  Started.IsFrozen = false;
  Started.HasLeft = false;
  Started.SeenLeaving.clear();
  Started.Inbox.clear();
  Started.Protocol = std::make_unique<membership_protocol>(
      Started.Address, Started.Incarnation, membership_options(), Random(),
      [this, Vm](const std::string &Address, std::string Payload) {
        send(Vm, Address, std::move(Payload));
      });
  std::vector<listed_member> List;
  for (const auto &Other : Vms)
    List.push_back({Other.Address, false});
  Started.Protocol->setList(std::move(List));
}

void membership_simulation::crash(std::size_t Vm) {
  Vms[Vm].Protocol.reset();
  Vms[Vm].IsFrozen = false;
}

void membership_simulation::leave(std::size_t Vm) {
  Vms[Vm].HasLeft = true;
  Vms[Vm].Protocol->leave(Now);
}

void membership_simulation::thaw(std::size_t Vm) {
  Vms[Vm].IsFrozen = false;
  for (const auto &Payload : std::exchange(Vms[Vm].Inbox, {}))
    (void)Vms[Vm].Protocol->receive(Payload, Now);
}

void membership_simulation::thawWithoutInbox(std::size_t Vm) {
  Vms[Vm].Inbox.clear();
  thaw(Vm);
}

void membership_simulation::cut(std::size_t First, std::size_t Second) {
  Cuts.insert(std::minmax(First, Second));
}

void membership_simulation::cutDomain(std::size_t Vm) {
  const auto &Name = Vms[Vm].Address.FailureDomain;
  for (std::size_t First = 0; First < Vms.size(); ++First)
    for (std::size_t Second = 0; Second < First; ++Second)
      if ((Vms[First].Address.FailureDomain == Name) !=
          (Vms[Second].Address.FailureDomain == Name))
        cut(First, Second);
}

std::optional<std::string> membership_simulation::advance(milliseconds Time) {
  for (milliseconds Passed{0}; Passed < Time; Passed += Step) {
    Now += Step;
    deliver();
    for (auto &Vm : Vms)
      if (Vm.Protocol && !Vm.IsFrozen)
        Vm.Protocol->tick(Now);
    if (auto Fault = checkLeaving())
      return Fault;
  }
  return std::nullopt;
}

std::map<incarnation, member_state>
membership_simulation::viewOf(std::size_t Vm) const {
  std::map<incarnation, member_state> States;
  for (const auto &Member : Vms[Vm].Protocol->view(Now))
    States[Member.Incarnation] = Member.State;
  return States;
}

std::optional<std::string> membership_simulation::compareWithTruth() const {
  std::set<incarnation> Alive;
  for (const auto &Vm : Vms)
    if (Vm.Protocol && !Vm.HasLeft)
      Alive.insert(Vm.Incarnation);
  for (std::size_t Index = 0; Index < Vms.size(); ++Index) {
    if (!Vms[Index].Protocol || Vms[Index].HasLeft)
      continue;
    std::set<incarnation> Shown;
    for (const auto &[Key, State] : viewOf(Index))
      if (State == member_state::Live)
        Shown.insert(Key);
    if (Shown != Alive)
      return "VM " + std::to_string(Index) + " shows " +
             std::to_string(Shown.size()) + " live VMs of " +
             std::to_string(Alive.size());
  }
  return std::nullopt;
}

void membership_simulation::send(std::size_t From, const std::string &Address,
                                 std::string Payload) {
  Bytes += Payload.size();
  const auto Found = VmByAddress.find(Address);
  if (Found == VmByAddress.end() || Random() % 100 < LossPercent)
    return;
  const std::size_t To = Found->second;
  const auto Delay =
      milliseconds(1 + static_cast<long>(Random() % static_cast<std::uint64_t>(
                                                        MaxDelay.count())));
  const auto DuplicateDelay = milliseconds(static_cast<long>(
      Random() % static_cast<std::uint64_t>(MaxDuplicateDelay.count())));
  if (Random() % 100 < DuplicatePercent)
    InFlight.emplace(Now + DuplicateDelay, message{From, To, Payload});
  InFlight.emplace(Now + Delay, message{From, To, std::move(Payload)});
}

void membership_simulation::deliver() {
  while (!InFlight.empty() && InFlight.begin()->first <= Now) {
    const message Message = std::move(InFlight.begin()->second);
    InFlight.erase(InFlight.begin());
    auto &Receiver = Vms[Message.To];
    if (!Receiver.Protocol ||
        Cuts.contains(std::minmax(Message.From, Message.To)))
      continue;
    if (Receiver.IsFrozen)
      Receiver.Inbox.push_back(Message.Payload);
    else
      (void)Receiver.Protocol->receive(Message.Payload, Now);
  }
}

std::optional<std::string> membership_simulation::checkLeaving() {
  for (std::size_t Index = 0; Index < Vms.size(); ++Index) {
    auto &Observer = Vms[Index];
    if (!Observer.Protocol || Observer.IsFrozen)
      continue;
    for (const auto &[Key, State] : viewOf(Index)) {
      if (State == member_state::Leaving)
        Observer.SeenLeaving.insert(Key);
      else if (Key != incarnation{} && Observer.SeenLeaving.contains(Key))
        return "VM " + std::to_string(Index) +
               " shows a VM in another state after it showed it as leaving";
    }
  }
  return std::nullopt;
}

} // namespace sesamepaddle
