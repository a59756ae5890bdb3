#include "ingress/gossip_recipients.h"

#include "sesamepaddle/steering/rendezvous.h"

#include <map>
#include <tuple>

namespace sesamepaddle {

namespace {

// A VM that has been silent for this long gets a message only in every
// SilentVmRounds-th round.
constexpr std::chrono::seconds LongSilence{8};
constexpr std::uint64_t SilentVmRounds = 8;
// With fewer VMs of a failure domain, a forwarder saves hardly any messages.
constexpr std::size_t MinVmsForForwarder = 4;

bool isInOwnDomain(const fleet_state &Fleet, const known_vm &Vm) {
  return Fleet.distanceTo(Vm.Region, Vm.FailureDomain) ==
         traffic_distance::SameFailureDomain;
}

} // namespace

std::vector<gossip_recipient> chooseRecipients(const fleet_state &Fleet,
                                               std::uint64_t Round, bool ToAll,
                                               bool MayForward,
                                               time_point Now) {
  std::vector<gossip_recipient> Recipients;
  std::map<std::tuple<std::string_view, std::string_view>,
           std::vector<const known_vm *>>
      OtherDomains;
  for (const auto &[Name, Vm] : Fleet.vms()) {
    if (!ToAll && !Fleet.isNear(Vm))
      continue;
    const bool IsNeverHeard = Vm.LastHeard == time_point{};
    const bool IsLongSilent = Now - Vm.LastHeard > LongSilence;
    if (IsLongSilent && !IsNeverHeard && Round % SilentVmRounds != 0)
      continue;
    if (!MayForward || !Fleet.isHeard(Vm, Now) || Vm.FailureDomain.empty() ||
        isInOwnDomain(Fleet, Vm))
      Recipients.push_back({&Vm, false});
    else
      OtherDomains[{Vm.Region.view(), Vm.FailureDomain.view()}].push_back(&Vm);
  }
  // Senders begin at different VMs, so that forwarding is shared evenly.
  const auto Offset = stableHash(Fleet.options().Vm.Name.view()) + Round;
  for (const auto &[Place, Vms] : OtherDomains) {
    if (Vms.size() >= MinVmsForForwarder)
      Recipients.push_back({Vms[Offset % Vms.size()], true});
    else
      for (const auto *Vm : Vms)
        Recipients.push_back({Vm, false});
  }
  return Recipients;
}

std::vector<const known_vm *> chooseForwardees(const fleet_state &Fleet,
                                               const vm_name &Sender,
                                               time_point Now) {
  std::vector<const known_vm *> Forwardees;
  for (const auto &[Name, Vm] : Fleet.vms())
    if (Name != Sender && isInOwnDomain(Fleet, Vm) && Fleet.isHeard(Vm, Now))
      Forwardees.push_back(&Vm);
  return Forwardees;
}

} // namespace sesamepaddle
