#include "measure/shares_scenario.h"

#include <algorithm>
#include <random>

namespace sesamepaddle {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Requests are counted after this time, messages and platform writes from the
// start.
constexpr seconds WarmUp{30};
constexpr seconds LookupTimeToLive{5}; // in the cache of a caller
constexpr seconds DownTime{1};         // of a killed VM
constexpr seconds DemandInterval{2};   // between two runs of followDemand()
constexpr double OverloadFactor = 5;   // offered load over the limit
// With DemandProportional, a VM's part never falls below this share of an equal
// part.
constexpr double DemandFloor = 0.1;
constexpr std::size_t CallersPerVm = 3; // each in the VM's failure domain
// A partition ends some token loans. VMs then admit from their own, initially
// empty buckets, so the requests of the first 3 s are not counted.
constexpr seconds PartitionSettleTime{3};

/** The VMs that a caller got from its last lookups. */
struct caller_state {
  std::size_t Domain = 0;
  std::vector<std::size_t> Vms;   ///< by workspace, from the look-up
  std::vector<time_point> Expiry; ///< by workspace
};

/** Requests that one central bucket would admit, and those refused of them. */
struct tally {
  std::uint64_t Admissible = 0;
  std::uint64_t Refused = 0;
};

double shareOf(std::uint64_t Part, std::uint64_t Whole) {
  return Whole == 0 ? 0
                    : static_cast<double>(Part) / static_cast<double>(Whole);
}

/** One run of a scenario. */
class scenario_run {
public:
  explicit scenario_run(const share_scenario &Scenario)
      : Scenario(Scenario), Random(Scenario.Seed), Workspaces(makeWorkspaces()),
        Cluster(Queue, Scenario.Layout, Scenario.Timing),
        Tallies(Workspaces.size()) {
    if (Scenario.OverloadedWorkspace)
      Workspaces[*Scenario.OverloadedWorkspace].LoadFactor = OverloadFactor;
    for (const auto &Workspace : Workspaces)
      Cluster.addLimit(Workspace.Name, Workspace.Limit);
    makeBuckets();
    for (std::size_t Index = 0; Index < Scenario.Layout.Vms * CallersPerVm;
         ++Index)
      Callers.push_back({Scenario.Layout.domainOf(Index % Scenario.Layout.Vms),
                         std::vector<std::size_t>(Workspaces.size()),
                         std::vector<time_point>(Workspaces.size())});
  }

  share_result run() {
    const duration Whole = WarmUp + Scenario.Length;
    for (const auto &Arrival :
         makeArrivals(Workspaces, Whole, Callers.size(), Scenario.Seed))
      Queue.schedule(Arrival.At, [this, Arrival] { request(Arrival); });
    scheduleFaults();
    if (Scenario.Strategy == share_strategy::DemandProportional)
      Queue.schedule(DemandInterval, [this] { followDemand(); });
    Queue.runUntil(time_point(Whole + seconds(1)));
    return result();
  }

private:
  using buckets = std::vector<token_bucket>;

  void makeBuckets() {
    const double Part = 1.0 / static_cast<double>(Scenario.Layout.Vms);
    VmBuckets.resize(Scenario.Layout.Vms);
    Demand.resize(Scenario.Layout.Vms,
                  std::vector<double>(Workspaces.size(), 0));
    for (const auto &Workspace : Workspaces) {
      const auto [Rate, Burst] = Workspace.Limit;
      CentralBuckets.emplace_back(Rate, Burst, time_point{});
      for (auto &Buckets : VmBuckets)
        Buckets.emplace_back(Rate * Part, Burst * Part, time_point{});
    }
  }

  void scheduleFaults() {
    if (Scenario.KillInterval)
      Queue.schedule(WarmUp, [this] { killNext(); });
    if (!Scenario.PartitionsDomain)
      return;
    Queue.schedule(WarmUp + Scenario.Length / 3, [this] { partitionDomain(); });
    Queue.schedule(WarmUp + Scenario.Length * 2 / 3, [this] {
      Cluster.setPartitioned(0, false);
      IsCounting = false;
    });
  }

  void killNext() {
    const std::size_t Vm = Kills++ % Scenario.Layout.Vms;
    Cluster.kill(Vm);
    Queue.schedule(DownTime, [this, Vm] { Cluster.start(Vm); });
    Queue.schedule(*Scenario.KillInterval, [this] { killNext(); });
  }

  // From here on each side of the partition is compared with a bucket that has
  // the rate of the side's own VMs.
  void partitionDomain() {
    Cluster.setPartitioned(0, true);
    IsCounting = false;
    Queue.schedule(PartitionSettleTime, [this] {
      std::size_t Inside = 0;
      for (std::size_t Vm = 0; Vm < Scenario.Layout.Vms; ++Vm)
        Inside += Scenario.Layout.domainOf(Vm) == 0 ? 1 : 0;
      const double Part = shareOf(Inside, Scenario.Layout.Vms);
      CentralBuckets.clear();
      for (const auto &Workspace : Workspaces) {
        const auto [Rate, Burst] = Workspace.Limit;
        CentralBuckets.emplace_back(Rate * (1 - Part), Burst * (1 - Part),
                                    Queue.now());
        InsideBuckets.emplace_back(Rate * Part, Burst * Part, Queue.now());
      }
      IsCounting = true;
    });
  }

  void request(const traffic_arrival &Arrival) {
    const time_point Start = Queue.now();
    const bool IsInside =
        !InsideBuckets.empty() && Callers[Arrival.Caller].Domain == 0;
    buckets &Ideal = IsInside ? InsideBuckets : CentralBuckets;
    const bool IsAdmissible = Ideal[Arrival.Workspace].tryTake(1, Start);
    const bool Counts = Start >= time_point(WarmUp) &&
                        (!Scenario.PartitionsDomain || IsCounting);
    const std::size_t Vm = chooseVm(Arrival);
    const auto Answer = [=, this](bool IsAdmitted, token_source Source) {
      if (Counts)
        recordRequest(Arrival.Workspace, IsAdmissible, IsAdmitted, Source,
                      Queue.now() - Start);
    };
    if (usesHome())
      return Cluster.request(Vm, Workspaces[Arrival.Workspace].Name, Answer);
    Demand[Vm][Arrival.Workspace] += 1;
    Answer(VmBuckets[Vm][Arrival.Workspace].tryTake(1, Start),
           token_source::Local);
  }

  bool usesHome() const {
    return Scenario.Strategy == share_strategy::HomeViaAnyVm ||
           Scenario.Strategy == share_strategy::HomeFromLookup;
  }

  bool canReach(const caller_state &Caller, std::size_t Vm) const {
    // A caller is located in a failure domain and is partitioned with it.
    return Cluster.isAlive(Vm) && Cluster.isReachable(Caller.Domain, Vm);
  }

  // A caller caches a lookup for its time to live, and chooses another VM as
  // soon as the cached one is unreachable.
  std::size_t chooseVm(const traffic_arrival &Arrival) {
    caller_state &Caller = Callers[Arrival.Caller];
    std::size_t &Vm = Caller.Vms[Arrival.Workspace];
    time_point &Expiry = Caller.Expiry[Arrival.Workspace];
    if (Queue.now() < Expiry && canReach(Caller, Vm))
      return Vm;
    std::vector<std::size_t> Reached;
    for (std::size_t Index = 0; Index < Scenario.Layout.Vms; ++Index)
      if (canReach(Caller, Index))
        Reached.push_back(Index);
    std::uniform_int_distribution<std::size_t> Pick(0, Reached.size() - 1);
    Vm = Reached[Pick(Random)];
    if (Scenario.Strategy == share_strategy::HomeFromLookup) {
      const auto Home = Cluster.homeOf(Workspaces[Arrival.Workspace].Name, Vm);
      if (canReach(Caller, Home))
        Vm = Home;
    }
    Expiry = Queue.now() + LookupTimeToLive;
    return Vm;
  }

  void followDemand() {
    for (std::size_t Index = 0; Index < Workspaces.size(); ++Index) {
      const double Floor =
          DemandFloor / static_cast<double>(Scenario.Layout.Vms);
      double Sum = 0;
      for (const auto &Row : Demand)
        Sum += Row[Index];
      for (std::size_t Vm = 0; Vm < Scenario.Layout.Vms && Sum > 0; ++Vm) {
        const double Part = Floor + (1 - DemandFloor) * Demand[Vm][Index] / Sum;
        VmBuckets[Vm][Index].reshape(
            Workspaces[Index].Limit.RatePerSecond * Part,
            Workspaces[Index].Limit.Burst * Part, Queue.now());
        Demand[Vm][Index] = 0;
      }
    }
    Queue.schedule(DemandInterval, [this] { followDemand(); });
  }

  void recordRequest(std::size_t Workspace, bool IsAdmissible, bool IsAdmitted,
                     token_source Source, duration Wait) {
    ++RequestsBySource[static_cast<std::size_t>(Source)];
    if (Workspace != Scenario.OverloadedWorkspace)
      Waits.push_back(std::chrono::duration<double, std::milli>(Wait).count());
    if (!IsAdmissible)
      return;
    ++Tallies[Workspace].Admissible;
    Tallies[Workspace].Refused += IsAdmitted ? 0 : 1;
  }

  share_result result() {
    share_result Result;
    tally All;
    tally Others;
    for (std::size_t Index = 0; Index < Tallies.size(); ++Index) {
      const tally &Tally = Tallies[Index];
      const bool IsOther = Index != Scenario.OverloadedWorkspace;
      All.Admissible += Tally.Admissible;
      All.Refused += Tally.Refused;
      Others.Admissible += IsOther ? Tally.Admissible : 0;
      Others.Refused += IsOther ? Tally.Refused : 0;
      Result.RefusedWorst = std::max(Result.RefusedWorst,
                                     shareOf(Tally.Refused, Tally.Admissible));
    }
    Result.Refused = shareOf(All.Refused, All.Admissible);
    Result.RefusedOthers = shareOf(Others.Refused, Others.Admissible);
    addSources(Result);
    addCosts(Result);
    return Result;
  }

  void addSources(share_result &Result) {
    const std::uint64_t Sum =
        RequestsBySource[0] + RequestsBySource[1] + RequestsBySource[2];
    Result.LocalShare = shareOf(RequestsBySource[0], Sum);
    Result.InRegionShare = shareOf(RequestsBySource[1], Sum);
    Result.CrossRegionShare = shareOf(RequestsBySource[2], Sum);
    std::sort(Waits.begin(), Waits.end());
    if (!Waits.empty())
      Result.WaitP99Ms = Waits[Waits.size() * 99 / 100];
  }

  void addCosts(share_result &Result) const {
    const double Seconds =
        std::chrono::duration<double>(WarmUp + Scenario.Length).count();
    const auto &Counts = Cluster.counts();
    Result.MessagesPerVmSecond =
        usesHome() ? static_cast<double>(Counts.Messages) / Seconds /
                         static_cast<double>(Scenario.Layout.Vms)
                   : 0;
    Result.Writes = usesHome() ? Counts.PlatformWrites : 0;
    Result.WritesPerSecond = static_cast<double>(Result.Writes) / Seconds;
    Result.Kills = Kills;
  }

  const share_scenario &Scenario;
  std::mt19937_64 Random;
  std::vector<traffic_workspace> Workspaces;
  event_queue Queue;
  share_cluster Cluster;
  // The central buckets that admissions are compared with, by workspace. During
  // a partition InsideBuckets stands for domain 0 and CentralBuckets for the
  // rest.
  buckets CentralBuckets;
  buckets InsideBuckets;
  // Of the strategies without a home: by VM, then by workspace.
  std::vector<buckets> VmBuckets;
  std::vector<std::vector<double>> Demand;
  std::vector<caller_state> Callers;
  std::vector<tally> Tallies;
  std::uint64_t RequestsBySource[3] = {0, 0, 0}; ///< requests by token_source
  std::vector<double> Waits; ///< for tokens, in milliseconds
  std::uint64_t Kills = 0;
  /** Whether requests count in a scenario with a partition. */
  bool IsCounting = false;
};

} // namespace

share_result runShares(const share_scenario &Scenario) {
  return scenario_run(Scenario).run();
}

} // namespace sesamepaddle
