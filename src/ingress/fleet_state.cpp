#include "sesamepaddle/ingress/fleet_state.h"

#include "sesamepaddle/steering/rendezvous.h"

#include <algorithm>
#include <vector>

namespace sesamepaddle {

namespace {

// The store counts as reached when it answered this lately: two of the feed's
// turns of a second.
constexpr std::chrono::milliseconds StoreFreshness{2'500};
// Callers pick one of the addresses at random, so few are named beyond the
// caller's own failure domain: enough that one dead VM leaves another.
constexpr std::size_t LeastAddresses = 2;
constexpr std::size_t MostAddresses = 64;
// VMs that one reader of the store serves: few enough that a message to all of
// them takes a small part of its link.
constexpr std::size_t VmsPerReader = 24;
// What another VM has under way at endpoints counts for this long, or for so
// many of the intervals of its messages: the last one and the way.
constexpr std::chrono::milliseconds LoadTrust{800};
constexpr double LoadMessages = 1.6;
// A reader in the own region is preferred nearly always.
constexpr double NearWeight = 1e6;
// A VM that was not heard for more than two messages does not read for others.
constexpr std::chrono::milliseconds ReaderSilence{1'300};
// Up to this many VMs, one may read the store for all regions.
constexpr std::size_t SmallFleet = 16;
// Least time between messages to VMs of the region, and to the others: bytes
// between regions are scarce, and what a VM has to tell of its region's callers
// and endpoints matters less there.
constexpr std::chrono::milliseconds NearInterval{500};
constexpr std::chrono::milliseconds FarInterval{1'000};
// Messages a second that a VM sends at most, to its region and to all others.
constexpr double NearMessagesPerSecond = 25;
constexpr double FarMessagesPerSecond = 8;
// Messages that may be missing before a VM counts as silent.
constexpr double SilentMessages = 2.5;
constexpr std::chrono::milliseconds ReaderAvoidance{2'000};

} // namespace

fleet_state::fleet_state(ingress_options Given)
    : Options(std::move(Given)),
      Random(static_cast<std::uint64_t>(Options.Vm.Incarnation)) {}

bool fleet_state::setConfiguration(configuration_pointer Newer) {
  if (Configuration && Newer->version() <= Configuration->version())
    return false;
  Configuration = std::move(Newer);
  return true;
}

void fleet_state::setEvacuated(std::set<failure_domain_name> Domains,
                               time_point Now) {
  for (const auto &Domain : Evacuated) {
    if (Domains.contains(Domain) || !Configuration)
      continue;
    for (const auto &Service : Configuration->services())
      for (const auto &Endpoint : Registry.of(Service.Name))
        if (Endpoint->Record.FailureDomain == Domain)
          Endpoint->markPossiblyCold(Now);
  }
  Evacuated = std::move(Domains);
}

void fleet_state::setRollout(const rollout_order &Order, duration Age,
                             time_point Now) {
  const auto Found = Rollouts.find(Order.Service);
  if (Found != Rollouts.end() && Found->second.order() == Order)
    return;
  Rollouts.erase(Order.Service);
  Rollouts.emplace(Order.Service,
                   fleet_rollout(Order, Options.Bounds.Rollout, Now - Age));
  if (const auto Past = Recorded.find(Order.Service);
      Past != Recorded.end() && Past->second.To == Order.To)
    Rollouts.at(Order.Service).record(Past->second.Outcome);
}

void fleet_state::removeRollout(const service_name &Service) {
  Rollouts.erase(Service);
}

void fleet_state::recordRollout(const service_name &Service,
                                const version_name &To,
                                rollout_outcome Outcome) {
  Recorded[Service] = {To, Outcome};
  if (const auto Found = Rollouts.find(Service);
      Found != Rollouts.end() && Found->second.order().To == To)
    Found->second.record(Outcome);
}

bool fleet_state::isStoreFresh(time_point Now) const {
  return LastStoreContact != time_point{} &&
         Now - LastStoreContact < StoreFreshness;
}

const known_vm *fleet_state::storeReader(time_point Now) const {
  struct candidate {
    std::uint64_t Order;
    const known_vm *Vm; ///< null: this VM
  };
  std::vector<candidate> Candidates;
  if (!IsStoreLost)
    Candidates.push_back({stableHash(Options.Vm.Name.view()), nullptr});
  for (const auto &[Name, Vm] : Vms) {
    const auto Avoided = AvoidedReaders.find(Name);
    const bool IsAvoided =
        Avoided != AvoidedReaders.end() && Now < Avoided->second;
    if (Vm.IsReady && !Vm.IsStoreLost && !IsAvoided && isReaderFor(Vm) &&
        Now - Vm.LastHeard < silenceTimeout(Vm, ReaderSilence))
      Candidates.push_back({stableHash(Name.view()), &Vm});
  }
  std::sort(Candidates.begin(), Candidates.end(),
            [](const candidate &Left, const candidate &Right) {
              return Left.Order < Right.Order;
            });
  Candidates.resize(std::min(Candidates.size(), readersWanted()));
  const known_vm *Chosen = nullptr;
  const std::uint64_t Own = stableHash(Options.Vm.Name.view());
  double BestScore = 0;
  for (const auto &Candidate : Candidates) {
    if (Candidate.Vm == nullptr)
      return nullptr;
    // Scores are positive, so that near ones can be set above all others.
    const double Score = rendezvousScore(
        Own, Candidate.Order, isNear(*Candidate.Vm) ? NearWeight : 1);
    if (Chosen == nullptr || Score > BestScore) {
      Chosen = Candidate.Vm;
      BestScore = Score;
    }
  }
  return Chosen;
}

std::size_t fleet_state::readersWanted() const {
  const auto Served =
      std::count_if(Vms.begin(), Vms.end(), [this](const auto &Entry) {
        return isReaderFor(Entry.second);
      });
  return 1 + static_cast<std::size_t>(Served) / VmsPerReader;
}

bool fleet_state::isStoreProber(time_point Now) const {
  const auto Own = stableHash(Options.Vm.Name.view());
  const auto Before =
      std::count_if(Vms.begin(), Vms.end(), [&](const auto &Entry) {
        return isReaderFor(Entry.second) &&
               Now - Entry.second.LastHeard <
                   silenceTimeout(Entry.second, ReaderSilence) &&
               stableHash(Entry.first.view()) < Own;
      });
  return static_cast<std::size_t>(Before) < readersWanted();
}

bool fleet_state::isReaderFor(const known_vm &Vm) const {
  return Vms.size() < SmallFleet || isNear(Vm);
}

std::chrono::milliseconds fleet_state::messageInterval(bool ToNear) const {
  const auto Count =
      std::count_if(Vms.begin(), Vms.end(), [&](const auto &Entry) {
        return isNear(Entry.second) == ToNear;
      });
  const double Seconds =
      static_cast<double>(Count) /
      (ToNear ? NearMessagesPerSecond : FarMessagesPerSecond);
  return std::max(
      ToNear ? NearInterval : FarInterval,
      std::chrono::milliseconds(static_cast<std::int64_t>(Seconds * 1e3)));
}

std::chrono::milliseconds
fleet_state::silenceTimeout(const known_vm &Vm,
                            std::chrono::milliseconds Least) const {
  const auto Due = std::chrono::milliseconds(static_cast<std::int64_t>(
      SilentMessages *
      static_cast<double>(messageInterval(isNear(Vm)).count())));
  return std::max(Least, Due);
}

bool fleet_state::isHeard(const known_vm &Vm, time_point Now) const {
  return Vm.LastHeard != time_point{} &&
         Now - Vm.LastHeard < silenceTimeout(Vm, Options.Bounds.VmSilence);
}

void fleet_state::applyLoads(const vm_name &Vm,
                             std::vector<endpoint_load> Loads, time_point Now) {
  VmLoads[Vm] = {std::move(Loads), Now};
}

void fleet_state::refreshLoads(time_point Now) {
  Registry.forEach([](fleet_endpoint &Endpoint) { Endpoint.PeerInFlight = 0; });
  const auto TrustOf = [this](bool IsNear) {
    const auto Interval = static_cast<double>(messageInterval(IsNear).count());
    return std::max(LoadTrust,
                    std::chrono::milliseconds(
                        static_cast<std::int64_t>(LoadMessages * Interval)));
  };
  const auto NearTrust = TrustOf(true);
  const auto FarTrust = TrustOf(false);
  for (const auto &[Name, Told] : VmLoads) {
    const auto Vm = Vms.find(Name);
    const bool IsNearby = Vm != Vms.end() && isNear(Vm->second);
    if (Now - Told.At > (IsNearby ? NearTrust : FarTrust))
      continue;
    for (const auto &Load : Told.Loads)
      if (const auto Endpoint = Registry.findByHash(Load.Endpoint))
        Endpoint->PeerInFlight += Load.InFlight;
  }
}

void fleet_state::avoidReader(const vm_name &Name, time_point Now) {
  AvoidedReaders[Name] = Now + ReaderAvoidance;
}

void fleet_state::applyVm(known_vm Vm) {
  if (Vm.Name == Options.Vm.Name)
    return;
  auto &Known = Vms[Vm.Name];
  const auto FirstKnown =
      Known.FirstKnown == time_point{} ? Vm.LastHeard : Known.FirstKnown;
  Known = std::move(Vm);
  Known.FirstKnown = FirstKnown;
}

void fleet_state::learnVm(known_vm Vm) {
  if (Vm.Name == Options.Vm.Name || Vms.contains(Vm.Name))
    return;
  Quota.learnPeer(Vm.Name.str());
  Vms.emplace(Vm.Name, std::move(Vm));
}

std::size_t fleet_state::vmRank() const {
  return static_cast<std::size_t>(
      std::count_if(Vms.begin(), Vms.end(), [this](const auto &Entry) {
        return Entry.first < Options.Vm.Name;
      }));
}

double fleet_state::draw() {
  return std::uniform_real_distribution<double>(0, 1)(Random);
}

quota_terms fleet_state::termsOf(const workspace_terms &Workspace) const {
  return {Workspace.RatePerSecond, Workspace.Burst, Options.Bounds.QuotaWindow,
          Options.Bounds.QuotaOvershoot, Options.Bounds.QuotaSlack};
}

version_choice fleet_state::drawVersion(const service_name &Service) {
  if (const auto Found = Rollouts.find(Service); Found != Rollouts.end()) {
    const auto &To = Found->second.order().To;
    if (Found->second.drawNew(draw(), vmCount()))
      return {To, {}, true};
    return {{}, To, false};
  }
  if (const auto Past = Recorded.find(Service); Past != Recorded.end())
    return Past->second.Outcome == rollout_outcome::Completed
               ? version_choice{Past->second.To, {}, false}
               : version_choice{{}, Past->second.To, false};
  return {};
}

placed_endpoint fleet_state::place(const service_name &Service,
                                   const placement_request &Request,
                                   time_point Now) {
  placement_limits Limits;
  Limits.EvacuatedDomains = Evacuated;
  if (const auto *Terms =
          Configuration ? Configuration->findService(Service) : nullptr)
    Limits.ColdRequestsPerSecond = Terms->ColdRequestsPerSecond;
  Limits.Vms = vmCount();
  Limits.VmRank = vmRank();
  return placeRequest(Registry.of(Service), Request, Limits, Options.Placement,
                      Now);
}

std::vector<std::string>
fleet_state::callerAddresses(const region_name &Region,
                             const failure_domain_name &Domain,
                             time_point Now) const {
  struct named {
    int Distance;
    std::string Address;
  };
  const auto DistanceOf = [&](const region_name &VmRegion,
                              const failure_domain_name &VmDomain) {
    if (VmDomain == Domain)
      return 0;
    return VmRegion == Region ? 1 : 2;
  };
  std::vector<named> Named;
  if (!IsDraining && Configuration)
    Named.push_back({DistanceOf(Options.Vm.Region, Options.Vm.FailureDomain),
                     Options.Vm.CallerAddress});
  for (const auto &[Name, Vm] : Vms)
    if (Vm.IsReady && isHeard(Vm, Now))
      Named.push_back(
          {DistanceOf(Vm.Region, Vm.FailureDomain), Vm.CallerAddress});
  std::stable_sort(Named.begin(), Named.end(),
                   [](const named &Left, const named &Right) {
                     return Left.Distance < Right.Distance;
                   });
  std::vector<std::string> Addresses;
  int Distance = 0;
  for (auto &Vm : Named) {
    const bool IsEnough = Addresses.size() >= LeastAddresses;
    if (Addresses.size() >= MostAddresses ||
        (Vm.Distance > Distance && IsEnough))
      break;
    // Another region takes callers only when their own has no VM left.
    if (Vm.Distance == 2 && !Addresses.empty() && Distance < 2)
      break;
    Distance = Vm.Distance;
    Addresses.push_back(std::move(Vm.Address));
  }
  return Addresses;
}

} // namespace sesamepaddle
