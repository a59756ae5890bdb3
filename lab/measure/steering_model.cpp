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
constexpr std::size_t BlocksPerRegion = 200;

constexpr unsigned RunSeconds = 300;
constexpr unsigned StepsPerSecond = 100;
constexpr double StepSeconds = 1.0 / StepsPerSecond;
constexpr unsigned LookupSeconds = 5;
constexpr unsigned MeasurementLag = 5;
constexpr unsigned AskSteps = 50;
constexpr unsigned GrantDelaySteps = 2;

// The phases of a run, in seconds.
constexpr unsigned LoadStep = 60;
constexpr unsigned LoadStepEnd = 120;
constexpr unsigned RegionLost = 150;
constexpr unsigned RegionBack = 200;
constexpr unsigned Overload = 230;
constexpr unsigned OverloadEnd = 270;
constexpr unsigned MeasurementsStop = 90;
constexpr unsigned MeasurementsResume = 110;
constexpr unsigned SettleSeconds = 10;
constexpr std::size_t LostRegion = 2;

constexpr double UsualLoad = 0.5;
constexpr double SteppedLoad = 1.2;
constexpr double OverloadFactor = 1.3;
constexpr double OverloadingWorkspaceFactor = 6;

// Homes keep back what buckets of 0.2 s may let through beside their rate.
constexpr double GivenPart = 0.8;
constexpr double LyingFactor = 10;

constexpr double ClientDelay = 16; // milliseconds, there and back
constexpr double RegionDelay = 24; // milliseconds, there and back
constexpr double LargestLoadForDelay = 0.97;

// The first workspaces are large; the parts of the usual load add up to 1.
constexpr std::array<double, Workspaces> WorkspaceParts = {
    0.35, 0.25, 0.15, 0.09, 0.06, 0.05, 0.03, 0.02};

region_name regionName(std::size_t Region) {
  return region_name("region-" + std::to_string(Region));
}

struct model_vm {
  std::size_t Region = 0;
  vm_name Name;
  region_router Router;
};

/** Where one request runs. */
struct placement {
  std::size_t Entry = 0;
  std::optional<std::size_t> Runs;
};

class steering_run {
public:
  steering_run(const steering_user &User, steering_policy Way,
               std::uint64_t Seed)
      : User(User), Way(Way), Random(Seed) {
    for (std::size_t Region = 0; Region < Regions; ++Region) {
      CapacityHomes.emplace_back(
          User.RegionCapacity * GivenPart - floorOfRegion(), start());
      for (std::size_t To = 0; To < Regions; ++To)
        LinkHomes.emplace_back(User.LinkBytesPerSecond * GivenPart, start());
      for (unsigned Vm = 0; Vm < User.VmsPerRegion; ++Vm)
        addVm(Region);
    }
    Answers.resize(Regions * BlocksPerRegion);
    for (std::size_t Block = 0; Block < Answers.size(); ++Block)
      Answers[Block] = Block / BlocksPerRegion;
  }

  steering_result run() {
    const unsigned Warm = 10;
    for (Step = 0; Step < (RunSeconds + Warm) * StepsPerSecond; ++Step) {
      IsWarm = Step >= Warm * StepsPerSecond;
      Second = IsWarm ? Step / StepsPerSecond - Warm : 0;
      if (isLeased() && Step % AskSteps < Vms.size())
        askFor(Vms[Step % AskSteps]);
      refreshAnswers();
      for (std::size_t Region = 0; Region < Regions; ++Region)
        sendFrom(Region);
      if (Step % StepsPerSecond == StepsPerSecond - 1)
        closeSecond();
    }
    return result();
  }

private:
  bool isLeased() const {
    return Way == steering_policy::Product ||
           Way == steering_policy::ProductWithOverclaimingVm;
  }
  static time_point start() { return time_point(1h); }
  time_point now() const { return start() + Step * 10ms; }
  double uniform() { return std::uniform_real_distribution<>()(Random); }
  double floorOfRegion() const { return User.RegionCapacity * UsualLoad / 2; }
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
    Router.setPermanentRate(floorOfRegion() / User.VmsPerRegion, start());
    for (std::size_t Workspace = 0; Workspace < Workspaces; ++Workspace)
      Router.setGuaranteedRate(
          workspaceName(Workspace),
          owedRate(Workspace) / Regions / User.VmsPerRegion, start());
  }

  static workspace_name workspaceName(std::size_t Workspace) {
    return workspace_name("workspace-" + std::to_string(Workspace));
  }

  // What the agreed rates give a workspace when all regions are there.
  double owedRate(std::size_t Workspace) const {
    return WorkspaceParts[Workspace] * User.RegionCapacity * Regions * 0.8;
  }

  void askFor(model_vm &Vm) {
    if (isLost(Vm.Region))
      return;
    const bool IsLying = Way == steering_policy::ProductWithOverclaimingVm &&
                         Vm.Name == Vms.front().Name;
    const auto Arrives = now() + GrantDelaySteps * 10ms;
    for (std::size_t Region = 0; Region < Regions; ++Region) {
      const auto Name = regionName(Region);
      const double Wish =
          Vm.Router.wanted(Name, now()) * (IsLying ? LyingFactor : 1);
      if (isLost(Region))
        continue;
      Vm.Router.applyRegionGrant(
          Name,
          CapacityHomes[Region].grant(
              Vm.Name, Wish, Vm.Router.latestRegionGrant(Name), Arrives),
          now(), Arrives);
      if (Region != Vm.Region)
        Vm.Router.applyLinkGrant(Name,
                                 LinkHomes[Vm.Region * Regions + Region].grant(
                                     Vm.Name, Wish * User.RequestBytes,
                                     Vm.Router.latestLinkGrant(Name), Arrives),
                                 now(), Arrives);
    }
  }

  // A block asks anew when its answer has run out.
  void refreshAnswers() {
    for (std::size_t Block = Step % (LookupSeconds * StepsPerSecond);
         Block < Answers.size(); Block += LookupSeconds * StepsPerSecond)
      Answers[Block] = lookup(Block / BlocksPerRegion);
  }

  std::size_t lookup(std::size_t Home) const {
    if (Way == steering_policy::LeastLoad) {
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
    if (isLost(Place.Entry)) // the caller turns to its fallback
      Place.Entry = (Place.Entry + 1) % Regions;
    Place.Runs = Place.Entry;
    if (isLeased())
      Place.Runs = route(Place.Entry, Workspace);
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
    const bool IsServed = Place.Runs.has_value();
    Sent[Workspace] += 1;
    SentThisSecond += 1;
    RefusedThisSecond += IsServed ? 0 : 1;
    if (isIn(Overload, OverloadEnd)) {
      OverloadSent[Workspace] += 1;
      OverloadServed[Workspace] += IsServed ? 1 : 0;
    }
    if (!IsServed)
      return;
    Ran[*Place.Runs] += 1;
    if (*Place.Runs != Place.Entry)
      LinkBytes[Place.Entry * Regions + *Place.Runs] += User.RequestBytes;
    addLatency(Region, Place);
  }

  // A queue that grows while more comes than runs, and shrinks otherwise.
  void addLatency(std::size_t Region, const placement &Place) {
    const double Load = std::min(LastLoad[*Place.Runs], LargestLoadForDelay);
    double Milliseconds =
        ClientDelay +
        User.MedianMilliseconds *
            std::exp(std::normal_distribution<>(0, 0.4)(Random)) +
        Load * Load / (1 - Load) * User.MedianMilliseconds / 8;
    Milliseconds += Queue[*Place.Runs] / User.RegionCapacity * 1e3;
    Milliseconds += Place.Entry == Region ? 0 : RegionDelay;
    Milliseconds += *Place.Runs == Place.Entry ? 0 : RegionDelay;
    Latencies.push_back(static_cast<float>(Milliseconds));
  }

  void closeSecond() {
    if (!IsWarm)
      return;
    double Over = 0;
    double Margin = 1;
    for (std::size_t Region = 0; Region < Regions; ++Region) {
      const double Load = Ran[Region] / User.RegionCapacity;
      Over += std::max(0.0, Ran[Region] - User.RegionCapacity);
      Result.RegionOvershoot = std::max(Result.RegionOvershoot, Load - 1);
      Margin = std::min(Margin, 1 - Load);
      Queue[Region] =
          std::max(0.0, Queue[Region] + Ran[Region] - User.RegionCapacity);
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
    Ran.fill(0);
    LinkBytes.fill(0);
    SentThisSecond = RefusedThisSecond = 0;
  }

  void countSettling(double Over) {
    for (const unsigned Change :
         {LoadStep, LoadStepEnd, RegionLost, RegionBack})
      if (Second >= Change && Second < Change + SettleSeconds) {
        SettlingSent += SentThisSecond;
        SettlingLate += RefusedThisSecond + Over;
      }
    if (!isIn(Overload, OverloadEnd)) {
      RoomSent += SentThisSecond;
      RoomRefused += RefusedThisSecond;
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
    Result.RefusedDespiteCapacity = RoomRefused / RoomSent;
    Result.UnsettledShare = SettlingLate / SettlingSent;
    Result.WorstWorkspace = 1;
    constexpr double Seconds = OverloadEnd - Overload;
    for (std::size_t Workspace = 0; Workspace < Workspaces; ++Workspace) {
      const double Due =
          std::min(OverloadSent[Workspace], owedRate(Workspace) * Seconds);
      Result.WorstWorkspace =
          std::min(Result.WorstWorkspace, OverloadServed[Workspace] / Due);
    }
    return Result;
  }

  const steering_user &User;
  steering_policy Way;
  std::mt19937_64 Random;
  std::vector<model_vm> Vms;
  std::vector<capacity_allocator> CapacityHomes;
  std::vector<capacity_allocator> LinkHomes;
  std::vector<std::size_t> Answers; ///< of blocks: a region
  unsigned Step = 0;
  unsigned Second = 0;
  bool IsWarm = false;

  std::array<double, Regions> Measured{};
  std::array<double, Regions> Ran{};
  std::array<double, Regions> Queue{};
  std::array<double, Regions> LastLoad{};
  std::array<std::vector<double>, Regions> History;
  std::array<double, Regions * Regions> LinkBytes{};
  std::array<double, Workspaces> Sent{};
  std::array<double, Workspaces> OverloadSent{};
  std::array<double, Workspaces> OverloadServed{};
  double SentThisSecond = 0;
  double RefusedThisSecond = 0;
  double SettlingSent = 0;
  double SettlingLate = 0;
  double RoomSent = 0;
  double RoomRefused = 0;
  std::vector<float> Latencies;
  steering_result Result{.Headroom = 1};
};

} // namespace

steering_result runSteering(const steering_user &User, steering_policy Way,
                            std::uint64_t Seed) {
  return steering_run(User, Way, Seed).run();
}

} // namespace sesamepaddle
