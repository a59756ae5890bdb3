#include "sesamepaddle/ingress/fleet_state.h"

#include "sesamepaddle/steering/rendezvous.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <set>
#include <vector>

namespace sesamepaddle {

namespace {

// Rows up to this age are recent enough to move all traffic to a new version:
// two rounds of the reader, and a margin.
constexpr std::chrono::milliseconds StoreFreshness{2'500};
// Answers of a service are expected in the longest latency objective of its
// routes, and in no less than this: news between VMs takes some of it.
constexpr std::chrono::milliseconds MinAnswerTime{300};
// Callers pick one of the addresses at random, so VMs outside the caller's own
// failure domain are added only below this number. With two, one failed VM
// leaves another.
constexpr std::size_t MinAddresses = 2;
// Bound on the addresses in one directory response.
constexpr std::size_t MaxAddresses = 64;
// Probability that a directory response leaves out a busy VM. It keeps half of
// its callers, so that they do not all move to its neighbours at once.
constexpr double BusyOmission = 0.5;
// VMs for which one VM reads the store, at most. Calls to the store and bytes
// from it to other regions are dear; a reader of 48 VMs answers 60 polls a
// second, nearly all of them empty.
constexpr std::size_t VmsPerReader = 48;
// From this number of VMs on there are at least two readers, as a lost reader
// delays what its VMs learn by a second.
constexpr std::size_t MinVmsForTwoReaders = 24;
// The in-flight requests that another VM reported count for this long, or for
// this many of its message intervals if that is longer: one interval, plus the
// transit time.
constexpr std::chrono::milliseconds MinLoadLifetime{800};
constexpr double LoadLifetimeIntervals = 1.6;
// Rendezvous weight of a reader in this VM's region, against 1 for others: a
// near reader is nearly always preferred.
constexpr double NearReaderWeight = 1e6;
// The same for one in this VM's failure domain: rows are most of what a VM gets
// from another one, and traffic between failure domains is dear.
constexpr double SameDomainReaderWeight = 1e12;
// A VM with less than this fraction of the best one's processor time is no
// reader for the sake of its place: slow readers make rows old.
constexpr double MinReaderCoresFraction = 0.5;
// A VM that has been silent for this long, or for SilentIntervals if that is
// longer, is not chosen as a reader: more than two messages are missing.
constexpr std::chrono::milliseconds MinReaderSilence{1'300};
// Tries to reach the store after a failure. Each call costs money, and a store
// that recovers must not be flooded, so the tries of all VMs together are
// bounded. The probers try at ProberRetryInterval; the others learn from them,
// but the store may turn some VMs away and serve the rest: in a region one of
// them tries every 50 ms on average.
constexpr std::chrono::milliseconds ProberRetryInterval{250};
constexpr std::chrono::milliseconds MinRetryInterval{1'200};
constexpr std::chrono::milliseconds RetryIntervalPerNearVm{50};
// A VM without a configuration can serve no caller. It tries more often, and
// asks another VM each time, which spreads a configuration over a fleet within
// some of these intervals.
constexpr std::chrono::milliseconds StartRetryIntervalPerVm{4};
constexpr std::chrono::milliseconds MaxStartRetryInterval{1'000};
// With fewer other VMs than this, readers serve all regions.
constexpr std::size_t SmallFleetVms = 16;
// Minimum gossip intervals, to near and to far VMs. Bandwidth between regions
// is scarce, and data on a region's callers and endpoints matters less in
// others.
constexpr std::chrono::milliseconds MinNearInterval{500};
constexpr std::chrono::milliseconds MinFarInterval{1'000};
// Bounds on the messages per second that a VM sends, to all near and to all far
// VMs. In larger fleets the intervals grow accordingly.
constexpr double NearMessagesPerSecond = 25;
constexpr double FarMessagesPerSecond = 8;
// Message intervals without a message after which a VM counts as silent.
constexpr double SilentIntervals = 2.5;
// Time for which a reader that did not answer is not chosen again.
constexpr std::chrono::milliseconds ReaderExclusionTime{2'000};
// With fewer regions, the tokens of limits are made in each failure domain: the
// loss of one home should leave most of a limit.
constexpr std::size_t MinRegionsAsPlaces = 3;
// A silent VM may be cut off for minutes. One that was never heard is only
// known from the store's list, in which VMs that were lost stay.
constexpr std::chrono::minutes MaxSilence{10};
constexpr std::chrono::seconds MaxUnheardTime{60};
// Messages of others have told a VM their names by then, also while the store
// is away.
constexpr std::chrono::seconds MaxLearningTime{10};
// Message intervals after which all VMs know a VM that has started.
constexpr int SettleIntervals = 2;

bool areRegionsPlaces(const fleet_places &Places) {
  const std::set<region_name> Regions(Places.Regions.begin(),
                                      Places.Regions.end());
  return Regions.size() >= MinRegionsAsPlaces || Places.FailureDomains.empty();
}

/** @returns the place of a VM for the quota; empty if it is unknown. */
std::string placeOf(const fleet_places &Places, const region_name &Region,
                    const failure_domain_name &Domain) {
  return areRegionsPlaces(Places) ? Region.str() : Domain.str();
}

std::vector<std::string> quotaPlaces(const ingress_options &Options) {
  const auto &Places = Options.Places;
  std::vector<std::string> Names = {
      placeOf(Places, Options.Vm.Region, Options.Vm.FailureDomain)};
  if (areRegionsPlaces(Places))
    for (const auto &Region : Places.Regions)
      Names.push_back(Region.str());
  else
    for (const auto &Domain : Places.FailureDomains)
      Names.push_back(Domain.str());
  return Names;
}

} // namespace

fleet_state::fleet_state(ingress_options Given)
    : Options(std::move(Given)),
      Quota(
          Options.Vm.Name.str(),
          placeOf(Options.Places, Options.Vm.Region, Options.Vm.FailureDomain),
          quotaPlaces(Options)),
      Attempts(boot_clock::now()), StartedAt(boot_clock::now()),
      Random(static_cast<std::uint64_t>(Options.Vm.Incarnation)) {}

bool fleet_state::setConfiguration(configuration_pointer Newer) {
  if (Configuration && Newer->version() <= Configuration->version())
    return false;
  const bool IsFirst = Configuration == nullptr;
  Configuration = std::move(Newer);
  if (IsFirst)
    updateQuota(boot_clock::now());
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

bool fleet_state::setRollout(const rollout_order &Order, duration Age,
                             time_point Now) {
  const auto Found = Rollouts.find(Order.Service);
  if (Found != Rollouts.end() && Found->second.order() == Order)
    return true;
  if (!Options.Bounds.Rollout)
    return false;
  Rollouts.erase(Order.Service);
  rollout_terms Terms;
  Terms.Start = Now - Age;
  Terms.LearnedAfter = Age;
  if (Configuration)
    Terms.AnswerTime =
        std::max(MinAnswerTime, Configuration->longestObjective(Order.Service));
  Rollouts.emplace(Order.Service,
                   fleet_rollout(Order, *Options.Bounds.Rollout, Terms));
  if (const auto Past = Recorded.find(Order.Service);
      Past != Recorded.end() && Past->second.To == Order.To)
    Rollouts.at(Order.Service).record(Past->second.Outcome);
  return true;
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
  return Rows.age(Now) < StoreFreshness;
}

std::vector<fleet_state::reader_candidate>
fleet_state::storeReaders(bool CountsSelf, time_point Now) const {
  std::vector<reader_candidate> Candidates;
  if (CountsSelf)
    Candidates.push_back({readerRank(Options.Vm.Name, Options.Vm.Cores),
                          Options.Vm.FailureDomain, nullptr});
  for (const auto &[Name, Vm] : Vms) {
    const auto Avoided = AvoidedReaders.find(Name);
    const bool IsAvoided =
        Avoided != AvoidedReaders.end() && Now < Avoided->second;
    if (Vm.IsReady && !Vm.IsStoreLost && !IsAvoided && isReaderFor(Vm) &&
        Now - Vm.LastHeard < silenceTimeout(Vm, MinReaderSilence))
      Candidates.push_back({readerRank(Name, Vm.Cores), Vm.FailureDomain, &Vm});
  }
  return chooseReaders(std::move(Candidates), readersWanted());
}

bool fleet_state::wouldReadStore(time_point Now) const {
  const auto Readers = storeReaders(true, Now);
  return std::any_of(Readers.begin(), Readers.end(),
                     [](const auto &Reader) { return Reader.Vm == nullptr; });
}

const known_vm *fleet_state::storeReader(time_point Now) const {
  const known_vm *Chosen = nullptr;
  const std::uint64_t Own = stableHash(Options.Vm.Name.view());
  double BestScore = 0;
  for (const auto &Candidate : storeReaders(!IsStoreLost, Now)) {
    if (Candidate.Vm == nullptr)
      return nullptr;
    // Scores are positive, so a large weight ranks near readers first.
    const double Score = rendezvousScore(Own, Candidate.Rank.NameHash,
                                         readerWeight(*Candidate.Vm));
    if (Chosen == nullptr || Score > BestScore) {
      Chosen = Candidate.Vm;
      BestScore = Score;
    }
  }
  return Chosen;
}

std::vector<fleet_state::reader_candidate>
fleet_state::chooseReaders(std::vector<reader_candidate> Candidates,
                           std::size_t Wanted) {
  std::sort(Candidates.begin(), Candidates.end(),
            [](const reader_candidate &Left, const reader_candidate &Right) {
              return Left.Rank < Right.Rank;
            });
  const auto MinCores =
      Candidates.empty()
          ? 0.0
          : static_cast<double>(Candidates.front().Rank.CoreHundredths) *
                MinReaderCoresFraction;
  // The best one of each failure domain comes first.
  std::set<failure_domain_name> Covered;
  std::vector<reader_candidate> Readers;
  std::vector<reader_candidate> Others;
  for (auto &Vm : Candidates) {
    const bool IsFirst =
        static_cast<double>(Vm.Rank.CoreHundredths) >= MinCores &&
        Covered.insert(Vm.FailureDomain).second;
    (IsFirst ? Readers : Others).push_back(std::move(Vm));
  }
  Readers.insert(Readers.end(), Others.begin(), Others.end());
  Readers.resize(std::min(Readers.size(), Wanted));
  return Readers;
}

double fleet_state::readerWeight(const known_vm &Reader) const {
  switch (distanceTo(Reader.Region, Reader.FailureDomain)) {
  case traffic_distance::SameFailureDomain:
    return SameDomainReaderWeight;
  case traffic_distance::SameRegion:
    return NearReaderWeight;
  case traffic_distance::OtherRegion:
  case traffic_distance::Unknown:
    return 1;
  }
  return 1;
}

fleet_state::reader_rank fleet_state::readerRank(const vm_name &Name,
                                                 double Cores) {
  return {std::lround(Cores * 100), stableHash(Name.view())};
}

std::size_t fleet_state::readersWanted() const {
  const auto Served =
      std::count_if(Vms.begin(), Vms.end(), [this](const auto &Entry) {
        return isReaderFor(Entry.second);
      });
  const auto Vms = static_cast<std::size_t>(Served);
  return std::max<std::size_t>(Vms >= MinVmsForTwoReaders ? 2 : 1,
                               1 + Vms / VmsPerReader);
}

bool fleet_state::isStoreProber(time_point Now) const {
  const auto Own = readerRank(Options.Vm.Name, Options.Vm.Cores);
  const auto Before =
      std::count_if(Vms.begin(), Vms.end(), [&](const auto &Entry) {
        return isReaderFor(Entry.second) &&
               Now - Entry.second.LastHeard <
                   silenceTimeout(Entry.second, MinReaderSilence) &&
               readerRank(Entry.first, Entry.second.Cores) < Own;
      });
  return static_cast<std::size_t>(Before) < readersWanted();
}

std::chrono::milliseconds
fleet_state::storeRetryInterval(time_point Now) const {
  using std::chrono::milliseconds;
  if (isStoreProber(Now))
    return ProberRetryInterval;
  if (!Configuration)
    return std::clamp<milliseconds>(StartRetryIntervalPerVm * vmCount(),
                                    ProberRetryInterval, MaxStartRetryInterval);
  return std::max<milliseconds>(MinRetryInterval,
                                RetryIntervalPerNearVm * (NearVms + 1));
}

bool fleet_state::isReaderFor(const known_vm &Vm) const {
  return Vms.size() < SmallFleetVms || isNear(Vm);
}

traffic_distance
fleet_state::distanceTo(const region_name &Region,
                        const failure_domain_name &Domain) const {
  if (Region.empty())
    return traffic_distance::Unknown;
  if (Region != Options.Vm.Region)
    return traffic_distance::OtherRegion;
  return Domain == Options.Vm.FailureDomain
             ? traffic_distance::SameFailureDomain
             : traffic_distance::SameRegion;
}

// Asked for each VM whenever VMs are chosen, so the VMs are not counted here.
std::chrono::milliseconds fleet_state::messageInterval(bool ToNear) const {
  const std::size_t Count = ToNear ? NearVms : Vms.size() - NearVms;
  const double Seconds =
      static_cast<double>(Count) /
      (ToNear ? NearMessagesPerSecond : FarMessagesPerSecond);
  return std::max(
      ToNear ? MinNearInterval : MinFarInterval,
      std::chrono::milliseconds(static_cast<std::int64_t>(Seconds * 1e3)));
}

std::chrono::milliseconds
fleet_state::silenceTimeout(const known_vm &Vm,
                            std::chrono::milliseconds Least) const {
  const auto Due = std::chrono::milliseconds(static_cast<std::int64_t>(
      SilentIntervals *
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
  const auto LifetimeOf = [this](bool IsNear) {
    const auto Interval = static_cast<double>(messageInterval(IsNear).count());
    return std::max(MinLoadLifetime,
                    std::chrono::milliseconds(static_cast<std::int64_t>(
                        LoadLifetimeIntervals * Interval)));
  };
  const auto NearLifetime = LifetimeOf(true);
  const auto FarLifetime = LifetimeOf(false);
  for (const auto &[Name, Reported] : VmLoads) {
    const auto Vm = Vms.find(Name);
    const bool IsNearby = Vm != Vms.end() && isNear(Vm->second);
    if (Now - Reported.At > (IsNearby ? NearLifetime : FarLifetime))
      continue;
    for (const auto &Load : Reported.Loads)
      if (const auto Endpoint = Registry.findByHash(Load.Endpoint))
        Endpoint->PeerInFlight += Load.InFlight;
  }
}

void fleet_state::avoidReader(const vm_name &Name, time_point Now) {
  AvoidedReaders[Name] = Now + ReaderExclusionTime;
}

void fleet_state::applyVm(known_vm Vm) {
  if (Vm.Name == Options.Vm.Name)
    return;
  const auto [Entry, IsNew] = Vms.try_emplace(Vm.Name);
  auto &Known = Entry->second;
  if (!IsNew && isNear(Known))
    --NearVms;
  if (isNear(Vm))
    ++NearVms;
  const auto FirstKnown =
      Known.FirstKnown == time_point{} ? Vm.LastHeard : Known.FirstKnown;
  const auto Previous = Known.Incarnation == Vm.Incarnation
                            ? Known.PreviousIncarnation
                            : Known.Incarnation;
  Known = std::move(Vm);
  Known.FirstKnown = FirstKnown;
  Known.PreviousIncarnation = Previous;
}

bool fleet_state::isSuperseded(const vm_name &Vm, incarnation Incarnation,
                               std::uint64_t Sequence) const {
  const auto Found = Vms.find(Vm);
  if (Found == Vms.end() || Found->second.LastHeard == time_point{})
    return false;
  const auto &Known = Found->second;
  return Known.Incarnation == Incarnation
             ? Sequence < Known.Sequence
             : Known.PreviousIncarnation == Incarnation;
}

void fleet_state::learnVm(known_vm Vm) {
  if (Vm.Name == Options.Vm.Name || Vms.contains(Vm.Name))
    return;
  Vm.LearnedAt = boot_clock::now();
  if (isNear(Vm))
    ++NearVms;
  Vms.emplace(Vm.Name, std::move(Vm));
}

void fleet_state::forgetUnheardVm(const vm_name &Name) {
  const auto Found = Vms.find(Name);
  if (Found == Vms.end() || Found->second.LastHeard != time_point{})
    return;
  if (isNear(Found->second))
    --NearVms;
  Vms.erase(Found);
}

void fleet_state::setVmsListed(listed_as Self) {
  AreVmsListed = true;
  IsFleetListed =
      IsFleetListed || Self == listed_as::Stopped || Self == listed_as::Running;
  IsCounted = IsCounted || Self == listed_as::Running;
  HasEntered = HasEntered || Self == listed_as::Entered;
}

bool fleet_state::hasEnded(const known_vm &Vm, time_point Now) const {
  return Vm.LastHeard != time_point{} && !Vm.IsReady && !isHeard(Vm, Now);
}

bool fleet_state::mayBeRunning(const known_vm &Vm, time_point Now) const {
  if (Vm.LastHeard == time_point{})
    return Now - Vm.LearnedAt < MaxUnheardTime;
  return isHeard(Vm, Now) ||
         (!hasEnded(Vm, Now) && Now - Vm.LastHeard < MaxSilence);
}

fleet_state::vm_counts fleet_state::countVms(time_point Now) const {
  vm_counts Counts;
  for (const auto &[Name, Vm] : Vms) {
    Counts.Heard += isHeard(Vm, Now) ? 1 : 0;
    Counts.MayRun += mayBeRunning(Vm, Now) ? 1 : 0;
  }
  return Counts;
}

bool fleet_state::hasOtherSeeds() const {
  const auto &Seeds = Options.Vm.SeedGossipAddresses;
  return std::any_of(Seeds.begin(), Seeds.end(), [this](const auto &Seed) {
    return Seed != Options.Vm.GossipAddress;
  });
}

// A VM that knows nobody may be cut off. But one that starts writes its row
// before it reads the list: when this VM has read the list with its own row and
// found no other, each VM that starts later finds this one.
bool fleet_state::isAlone() const {
  return Vms.empty() && (HasEntered || !hasOtherSeeds());
}

// Others that count this VM leave its part to it, whether they hear it or not.
bool fleet_state::mayMakeTokens(time_point Now) const {
  const bool HasHeardAny =
      std::any_of(Vms.begin(), Vms.end(), [](const auto &Entry) {
        return Entry.second.LastHeard != time_point{};
      });
  return HasHeardAny || IsCounted || isAlone() || uptime(Now) > MaxUnheardTime;
}

std::size_t fleet_state::sharingVms(time_point Now) const {
  const bool IsLearning = uptime(Now) < MaxLearningTime || Vms.empty();
  if (IsLearning && !IsFleetListed && !isAlone())
    return std::numeric_limits<std::size_t>::max();
  return vmCount();
}

void fleet_state::updateQuota(time_point Now) {
  quota_fleet_view View;
  const auto &Self = Options.Vm;
  const bool IsReady = !isStopping() && Configuration;
  View.Self = {
      Self.Name.str(), placeOf(Options.Places, Self.Region, Self.FailureDomain),
      Self.Cores,      true,
      IsReady,         uptime(Now)};
  View.Others.reserve(Vms.size());
  for (const auto &[Name, Vm] : Vms) {
    if (!mayBeRunning(Vm, Now))
      continue;
    const bool IsHeard = isHeard(Vm, Now);
    View.Others.push_back(
        {Name.str(), placeOf(Options.Places, Vm.Region, Vm.FailureDomain),
         Vm.Cores, IsHeard, IsHeard && Vm.IsReady, Now - Vm.StartedAt});
  }
  View.IsComplete = AreVmsListed;
  View.IsConnected = mayMakeTokens(Now);
  const auto Interval = messageInterval(true);
  View.SettleTime = SettleIntervals * Interval;
  View.TakeoverDelay = Interval;
  View.MaxPause = std::max<duration>(Options.Bounds.VmSilence,
                                     std::chrono::duration_cast<duration>(
                                         SilentIntervals * Interval)) -
                  Interval;
  Quota.updateFleet(View, Now);
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
  if (!Options.Bounds.Quota)
    return {};
  const auto &Tolerance = *Options.Bounds.Quota;
  return {Workspace.RatePerSecond, Workspace.Burst, Tolerance.Window,
          Tolerance.Overshoot, Tolerance.Slack};
}

void fleet_state::endTrial(const service_name &Service,
                           const version_choice &Choice,
                           std::optional<bool> IsBad) {
  const auto Found = Rollouts.find(Service);
  if (Choice.Trial != 0 && Found != Rollouts.end() &&
      Found->second.order().To == Choice.RequiredVersion)
    Found->second.endTrial(Choice.Trial, IsBad);
}

version_choice fleet_state::drawVersion(const service_name &Service) {
  if (const auto Found = Rollouts.find(Service); Found != Rollouts.end()) {
    const auto &To = Found->second.order().To;
    const auto Drawn = Found->second.drawVersion(draw(), sharingVms());
    if (Drawn.IsNew)
      return {To, {}, true, Drawn.Trial};
    return {{}, To, false};
  }
  if (const auto Past = Recorded.find(Service); Past != Recorded.end())
    return Past->second.Outcome == rollout_outcome::Completed
               ? version_choice{Past->second.To, {}, false}
               : version_choice{{}, Past->second.To, false};
  return {};
}

version_choice
fleet_state::versionAfterFault(const service_name &Service,
                               const version_choice &Failed) const {
  const auto Found = Rollouts.find(Service);
  if (!Failed.IsNew || Found == Rollouts.end() || Found->second.recorded())
    return Failed;
  return {{}, Found->second.order().To, false};
}

placement_limits fleet_state::placementLimits() const {
  placement_limits Limits;
  Limits.EvacuatedDomains = Evacuated;
  Limits.Vms = sharingVms();
  Limits.VmRank = vmRank();
  return Limits;
}

bool fleet_state::mayUse(const fleet_endpoint &Endpoint,
                         const placement_request &Request,
                         time_point Now) const {
  return sesamepaddle::mayUse(Endpoint, Request, placementLimits(), Now);
}

placed_endpoint fleet_state::place(const service_name &Service,
                                   const placement_request &Request,
                                   time_point Now) {
  auto Limits = placementLimits();
  if (const auto *Terms =
          Configuration ? Configuration->findService(Service) : nullptr)
    Limits.ColdRequestsPerSecond = Terms->ColdRequestsPerSecond;
  return placeRequest(Registry.of(Service), Request, Limits, Options.Placement,
                      Now);
}

std::vector<std::string>
fleet_state::callerAddresses(const region_name &Region,
                             const failure_domain_name &Domain,
                             time_point Now) {
  struct candidate_address {
    int Distance; ///< 0: same failure domain, 1: same region, 2: another
    bool IsBusy;
    std::string Address;
  };
  const auto DistanceOf = [&](const region_name &VmRegion,
                              const failure_domain_name &VmDomain) {
    if (VmDomain == Domain)
      return 0;
    return VmRegion == Region ? 1 : 2;
  };
  std::vector<candidate_address> Candidates;
  if (!isStopping() && Configuration)
    Candidates.push_back(
        {DistanceOf(Options.Vm.Region, Options.Vm.FailureDomain),
         Overload.isBusy(Now), Options.Vm.CallerAddress});
  for (const auto &[Name, Vm] : Vms)
    if (Vm.IsReady && isHeard(Vm, Now))
      Candidates.push_back({DistanceOf(Vm.Region, Vm.FailureDomain), Vm.IsBusy,
                            Vm.CallerAddress});
  std::stable_sort(
      Candidates.begin(), Candidates.end(),
      [](const candidate_address &Left, const candidate_address &Right) {
        return Left.Distance < Right.Distance;
      });
  std::vector<std::string> Addresses;
  std::vector<std::string> LeftOut; // busy VMs, in case no other is left
  std::size_t IdleVms = 0;
  int Distance = 0;
  for (auto &Vm : Candidates) {
    const bool IsEnough = IdleVms >= MinAddresses;
    if (Addresses.size() >= MaxAddresses ||
        (Vm.Distance > Distance && IsEnough))
      break;
    // Callers are sent to another region only when theirs has no VM left.
    const bool HasAny = !Addresses.empty() || !LeftOut.empty();
    if (Vm.Distance == 2 && HasAny && Distance < 2)
      break;
    Distance = Vm.Distance;
    if (Vm.IsBusy && draw() < BusyOmission) {
      LeftOut.push_back(std::move(Vm.Address));
      continue;
    }
    IdleVms += Vm.IsBusy ? 0 : 1;
    Addresses.push_back(std::move(Vm.Address));
  }
  if (Addresses.empty())
    return LeftOut;
  return Addresses;
}

} // namespace sesamepaddle
