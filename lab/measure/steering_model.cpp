#include "measure/steering_model.h"

#include "sesamepaddle/steering/capacity_allocator.h"
#include "sesamepaddle/steering/region_router.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace sesamepaddle {

namespace {

using namespace std::chrono_literals;

constexpr std::size_t Regions = 3;
constexpr std::size_t Workspaces = 8;
constexpr std::size_t BlocksPerRegion = 200; // blocks of client addresses

constexpr unsigned RunSeconds = 300;
constexpr unsigned StepsPerSecond = 100;
constexpr double StepSeconds = 1.0 / StepsPerSecond;
constexpr unsigned LookupSeconds = 5;  // time to live of a lookup answer
constexpr unsigned MeasurementLag = 5; // age in seconds of the measured loads
// Interval of a VM's capacity requests. One VM requests in a step, so the model
// supports at most this number of VMs.
constexpr unsigned RequestIntervalSteps = 50;
constexpr unsigned GrantDelaySteps = 2; // from request to granted capacity

// The phases of a run, in seconds. The load step hits region 0 only.
constexpr unsigned LoadStep = 60;
constexpr unsigned LoadStepEnd = 120;
constexpr unsigned RegionLost = 150;
constexpr unsigned RegionBack = 200;
constexpr unsigned Overload = 230;
constexpr unsigned OverloadEnd = 270;
// LeastLoad keeps the last measured loads in this gap.
constexpr unsigned MeasurementsStop = 90;
constexpr unsigned MeasurementsResume = 110;
constexpr unsigned SettleSeconds = 10; // after a change; see UnsettledShare
constexpr std::size_t LostRegion = 2;

// Loads are fractions of a region's capacity.
constexpr double UsualLoad = 0.5;
constexpr double SteppedLoad = 1.2;
// In the overload all regions get 1.3 times the usual load, and the largest
// workspace sends 6 times its part of that.
constexpr double OverloadFactor = 1.3;
constexpr double OverloadingWorkspaceFactor = 6;

// Share of the capacity that is granted. The rest covers the burst of the VMs'
// token buckets, which hold 0.2 s of their rate.
constexpr double GrantedPart = 0.8;
constexpr double OverclaimFactor = 10; // requested over needed capacity

// Round-trip times in milliseconds: from a client to its own region, and
// between regions.
constexpr double ClientRoundTrip = 16;
constexpr double RegionRoundTrip = 24;
// The queueing delay grows without bound towards a load of 1, so the load is
// capped in its formula.
constexpr double MaxLoadForDelay = 0.97;

// The first workspaces are large; the parts of the usual load add up to 1.
constexpr std::array<double, Workspaces> WorkspaceParts = {
    0.35, 0.25, 0.15, 0.09, 0.06, 0.05, 0.03, 0.02};

region_name regionName(std::size_t Region) {
  return region_name("region-" + std::to_string(Region));
}

/** An entry VM and its router. */
struct model_vm {
  std::size_t Region = 0;
  vm_name Name;
  region_router Router;
};

/** The entry region of a request and the region that runs it, if any. */
struct placement {
  std::size_t Entry = 0;
  std::optional<std::size_t> Target;
};

/** The simulation of one run in steps of 10 ms. */
class steering_run {
public:
  steering_run(const steering_user &User, steering_policy Policy,
               std::uint64_t Seed)
      : User(User), Policy(Policy), Random(Seed) {
    for (std::size_t Region = 0; Region < Regions; ++Region) {
      RegionAllocators.emplace_back(
          User.RegionCapacity * GrantedPart - permanentRateOfRegion(), start());
      for (std::size_t To = 0; To < Regions; ++To)
        LinkAllocators.emplace_back(User.LinkBytesPerSecond * GrantedPart,
                                    start());
      for (unsigned Vm = 0; Vm < User.VmsPerRegion; ++Vm)
        addVm(Region);
    }
    Answers.resize(Regions * BlocksPerRegion);
    for (std::size_t Block = 0; Block < Answers.size(); ++Block)
      Answers[Block] = Block / BlocksPerRegion;
  }

  steering_result run() {
    const unsigned WarmUpSeconds = 10; // seconds before the figures count
    for (Step = 0; Step < (RunSeconds + WarmUpSeconds) * StepsPerSecond;
         ++Step) {
      IsWarm = Step >= WarmUpSeconds * StepsPerSecond;
      Second = IsWarm ? Step / StepsPerSecond - WarmUpSeconds : 0;
      if (usesGrants() && Step % RequestIntervalSteps < Vms.size())
        requestCapacity(Vms[Step % RequestIntervalSteps]);
      refreshAnswers();
      for (std::size_t Region = 0; Region < Regions; ++Region)
        sendFrom(Region);
      if (Step % StepsPerSecond == StepsPerSecond - 1)
        closeSecond();
    }
    return result();
  }

private:
  bool usesGrants() const {
    return Policy == steering_policy::Product ||
           Policy == steering_policy::ProductWithOverclaimingVm;
  }
  static time_point start() { return time_point(1h); }
  time_point now() const { return start() + Step * 10ms; }
  double uniform() { return std::uniform_real_distribution<>()(Random); }
  double permanentRateOfRegion() const {
    return User.RegionCapacity * UsualLoad / 2;
  }
  bool isLost(std::size_t Region) const {
    return Region == LostRegion && Second >= RegionLost && Second < RegionBack;
  }
  bool isIn(unsigned From, unsigned To) const {
    return IsWarm && Second >= From && Second < To;
  }

  void addVm(std::size_t Region) {
    std::vector<region_name> Order;
    for (std::size_t Index = 0; Index < Regions; ++Index)
      Order.push_back(regionName((Region + Index) % Regions));
    const vm_name Name("vm-" + std::to_string(Vms.size()));
    Vms.push_back({Region, Name, region_router(Order, start())});
    auto &Router = Vms.back().Router;
    Router.setPermanentRate(permanentRateOfRegion() / User.VmsPerRegion,
                            start());
    for (std::size_t Workspace = 0; Workspace < Workspaces; ++Workspace)
      Router.setGuaranteedRate(
          workspaceName(Workspace),
          guaranteedRate(Workspace) / Regions / User.VmsPerRegion, start());
  }

  static workspace_name workspaceName(std::size_t Workspace) {
    return workspace_name("workspace-" + std::to_string(Workspace));
  }

  /** @returns the fleet-wide rate guaranteed to a workspace while all regions
      are up, in requests per second. */
  double guaranteedRate(std::size_t Workspace) const {
    return WorkspaceParts[Workspace] * User.RegionCapacity * Regions * 0.8;
  }

  /** Requests capacity of all regions and links for a VM. */
  void requestCapacity(model_vm &Vm) {
    if (isLost(Vm.Region))
      return;
    const bool IsOverclaiming =
        Policy == steering_policy::ProductWithOverclaimingVm &&
        Vm.Name == Vms.front().Name;
    const auto Arrives = now() + GrantDelaySteps * 10ms;
    for (std::size_t Region = 0; Region < Regions; ++Region) {
      const auto Name = regionName(Region);
      const double WantedRate = Vm.Router.wanted(Name, now()) *
                                (IsOverclaiming ? OverclaimFactor : 1);
      if (isLost(Region))
        continue;
      Vm.Router.applyRegionGrant(
          Name,
          RegionAllocators[Region].grant(
              Vm.Name, WantedRate, Vm.Router.latestRegionGrant(Name), Arrives),
          now(), Arrives);
      if (Region != Vm.Region)
        Vm.Router.applyLinkGrant(
            Name,
            LinkAllocators[Vm.Region * Regions + Region].grant(
                Vm.Name, WantedRate * User.RequestBytes,
                Vm.Router.latestLinkGrant(Name), Arrives),
            now(), Arrives);
    }
  }

  // Client blocks repeat their lookup when the answer expires.
  void refreshAnswers() {
    for (std::size_t Block = Step % (LookupSeconds * StepsPerSecond);
         Block < Answers.size(); Block += LookupSeconds * StepsPerSecond)
      Answers[Block] = lookup(Block / BlocksPerRegion);
  }

  /** @returns the region that a lookup from region @p Home names. */
  std::size_t lookup(std::size_t Home) const {
    if (Policy == steering_policy::LeastLoad) {
      std::size_t Best = Home;
      for (std::size_t Region = 0; Region < Regions; ++Region)
        if (!isLost(Region) &&
            (isLost(Best) || Measured[Region] < Measured[Best]))
          Best = Region;
      return Best;
    }
    for (std::size_t Index = 0; Index < Regions; ++Index)
      if (!isLost((Home + Index) % Regions))
        return (Home + Index) % Regions;
    return Home;
  }

  double rateOf(std::size_t Region, std::size_t Workspace) const {
    double Load = UsualLoad;
    if (Region == 0 && isIn(LoadStep, LoadStepEnd))
      Load = SteppedLoad;
    if (isIn(Overload, OverloadEnd))
      Load = UsualLoad * OverloadFactor;
    double Rate = User.RegionCapacity * Load * WorkspaceParts[Workspace];
    if (Workspace == 0 && isIn(Overload, OverloadEnd))
      Rate *= OverloadingWorkspaceFactor;
    return Rate;
  }

  void sendFrom(std::size_t Region) {
    for (std::size_t Workspace = 0; Workspace < Workspaces; ++Workspace) {
      std::poisson_distribution<unsigned> Count(rateOf(Region, Workspace) *
                                                StepSeconds);
      for (unsigned Left = Count(Random); Left > 0; --Left)
        send(Region, Workspace);
    }
  }

  void send(std::size_t Region, std::size_t Workspace) {
    const auto Block = Region * BlocksPerRegion +
                       static_cast<std::size_t>(uniform() * BlocksPerRegion);
    placement Place{Answers[Block], std::nullopt};
    if (isLost(Place.Entry)) // the caller uses its fallback entry VM
      Place.Entry = (Place.Entry + 1) % Regions;
    Place.Target = Place.Entry;
    if (usesGrants())
      Place.Target = route(Place.Entry, Workspace);
    count(Region, Workspace, Place);
  }

  std::optional<std::size_t> route(std::size_t Entry, std::size_t Workspace) {
    const auto Vm = Entry * User.VmsPerRegion +
                    static_cast<std::size_t>(uniform() * User.VmsPerRegion);
    const auto Name = Vms[Vm].Router.route(workspaceName(Workspace),
                                           User.RequestBytes, now());
    for (std::size_t Region = 0; Name && Region < Regions; ++Region)
      if (regionName(Region) == *Name && !isLost(Region))
        return Region;
    return std::nullopt;
  }

  void count(std::size_t Region, std::size_t Workspace,
             const placement &Place) {
    if (!IsWarm)
      return;
    const bool IsServed = Place.Target.has_value();
    Sent[Workspace] += 1;
    SentThisSecond += 1;
    RefusedThisSecond += IsServed ? 0 : 1;
    if (isIn(Overload, OverloadEnd)) {
      OverloadSent[Workspace] += 1;
      OverloadServed[Workspace] += IsServed ? 1 : 0;
    }
    if (!IsServed)
      return;
    Served[*Place.Target] += 1;
    if (*Place.Target != Place.Entry)
      LinkBytes[Place.Entry * Regions + *Place.Target] += User.RequestBytes;
    addLatency(Region, Place);
  }

  // Latency consists of the round trips, a log-normal run time, a queueing
  // delay that rises with the load, and the backlog of a region beyond
  // capacity.
  void addLatency(std::size_t Region, const placement &Place) {
    const double Load = std::min(LastLoad[*Place.Target], MaxLoadForDelay);
    double Milliseconds =
        ClientRoundTrip +
        User.MedianMilliseconds *
            std::exp(std::normal_distribution<>(0, 0.4)(Random)) +
        Load * Load / (1 - Load) * User.MedianMilliseconds / 8;
    Milliseconds += Backlog[*Place.Target] / User.RegionCapacity * 1e3;
    Milliseconds += Place.Entry == Region ? 0 : RegionRoundTrip;
    Milliseconds += *Place.Target == Place.Entry ? 0 : RegionRoundTrip;
    Latencies.push_back(static_cast<float>(Milliseconds));
  }

  void closeSecond() {
    if (!IsWarm)
      return;
    double Over = 0;
    double Margin = 1;
    for (std::size_t Region = 0; Region < Regions; ++Region) {
      const double Load = Served[Region] / User.RegionCapacity;
      Over += std::max(0.0, Served[Region] - User.RegionCapacity);
      Result.RegionOvershoot = std::max(Result.RegionOvershoot, Load - 1);
      Margin = std::min(Margin, 1 - Load);
      Backlog[Region] =
          std::max(0.0, Backlog[Region] + Served[Region] - User.RegionCapacity);
      LastLoad[Region] = Load;
      History[Region].push_back(Load);
    }
    for (const double Bytes : LinkBytes) {
      const double Load = Bytes / User.LinkBytesPerSecond;
      Result.LinkOvershoot = std::max(Result.LinkOvershoot, Load - 1);
      Margin = std::min(Margin, 1 - Load);
    }
    Result.Headroom = std::min(Result.Headroom, Margin);
    countSettling(Over);
    measure();
    Served.fill(0);
    LinkBytes.fill(0);
    SentThisSecond = RefusedThisSecond = 0;
  }

  void countSettling(double Over) {
    for (const unsigned Change :
         {LoadStep, LoadStepEnd, RegionLost, RegionBack})
      if (Second >= Change && Second < Change + SettleSeconds) {
        SettlingSent += SentThisSecond;
        SettlingFailed += RefusedThisSecond + Over;
      }
    if (!isIn(Overload, OverloadEnd)) {
      SentWithCapacity += SentThisSecond;
      RefusedWithCapacity += RefusedThisSecond;
    }
  }

  void measure() {
    if (isIn(MeasurementsStop, MeasurementsResume))
      return;
    for (std::size_t Region = 0; Region < Regions; ++Region)
      if (History[Region].size() > MeasurementLag)
        Measured[Region] =
            History[Region][History[Region].size() - 1 - MeasurementLag];
  }

  steering_result result() {
    std::ranges::sort(Latencies);
    Result.MedianMilliseconds = Latencies[Latencies.size() / 2];
    Result.P99Milliseconds = Latencies[Latencies.size() * 99 / 100];
    Result.RefusedDespiteCapacity = RefusedWithCapacity / SentWithCapacity;
    Result.UnsettledShare = SettlingFailed / SettlingSent;
    Result.WorstWorkspace = 1;
    constexpr double Seconds = OverloadEnd - Overload;
    for (std::size_t Workspace = 0; Workspace < Workspaces; ++Workspace) {
      const double Due = std::min(OverloadSent[Workspace],
                                  guaranteedRate(Workspace) * Seconds);
      Result.WorstWorkspace =
          std::min(Result.WorstWorkspace, OverloadServed[Workspace] / Due);
    }
    return Result;
  }

  const steering_user &User;
  steering_policy Policy;
  std::mt19937_64 Random;
  std::vector<model_vm> Vms;
  std::vector<capacity_allocator> RegionAllocators;
  std::vector<capacity_allocator> LinkAllocators;
  std::vector<std::size_t> Answers; ///< region of the last lookup, by block
  unsigned Step = 0;
  unsigned Second = 0;
  bool IsWarm = false;

  // By region.
  std::array<double, Regions> Measured{}; ///< load that LeastLoad uses
  std::array<double, Regions> Served{};   ///< requests this second
  std::array<double, Regions> Backlog{};  ///< backlog in requests
  std::array<double, Regions> LastLoad{};
  std::array<std::vector<double>, Regions> History; ///< load of each second
  /** Bytes this second, by sending and receiving region. */
  std::array<double, Regions * Regions> LinkBytes{};
  // Requests by workspace.
  std::array<double, Workspaces> Sent{};
  std::array<double, Workspaces> OverloadSent{};
  std::array<double, Workspaces> OverloadServed{};
  double SentThisSecond = 0;
  double RefusedThisSecond = 0;
  // Requests in the seconds after a change.
  double SettlingSent = 0;
  double SettlingFailed = 0;
  // Requests outside the overload.
  double SentWithCapacity = 0;
  double RefusedWithCapacity = 0;
  std::vector<float> Latencies;
  steering_result Result{.Headroom = 1};
};

} // namespace

steering_result runSteering(const steering_user &User, steering_policy Policy,
                            std::uint64_t Seed) {
  return steering_run(User, Policy, Seed).run();
}

} // namespace sesamepaddle
