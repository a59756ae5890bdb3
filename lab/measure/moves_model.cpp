#include "measure/moves_model.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <random>

namespace sesamepaddle {

namespace {

using namespace std::chrono_literals;
using std::chrono::microseconds;

constexpr duration Step = 10ms;
constexpr double StepSeconds = 0.01;
constexpr std::size_t RingSteps = 1024;
constexpr std::size_t NearDelaySteps = 1;
constexpr std::size_t FarDelaySteps = 2;
constexpr std::size_t StepsPerAdvance = 10;
constexpr std::size_t StepsPerMinute = 6'000;

constexpr duration MoveTime = 8min;
constexpr double CapPerMinute = 0.25;

constexpr double LatencySigma = 0.4;
constexpr double UsualErrorRate = 0.001;

constexpr duration CrashedFor = 2s;
constexpr duration PoisonInterval = 1s;
constexpr unsigned PoisonRepeats = 10;
constexpr duration DyingFor = 20s;
constexpr double DyingSlowdown = 5;

/** A request that will end in a later step. */
struct model_ending {
  std::size_t Vm = 0;
  std::size_t Route = 0;
  version_sample Sample;
  bool ShowsFault = false;
};

/** News on its way to all other VMs. */
struct model_delivery {
  std::size_t From = 0;
  std::size_t To = 0;
  std::shared_ptr<const move_update> News;
};

/** The course of one move. */
class move_run {
public:
  move_run(const model_user &User, const model_kind &Kind,
           const policy_factory &Policy, std::uint64_t Seed)
      : User(User), Kind(Kind), Random(Seed), Plan{CapPerMinute, time_point(1h),
                                                   time_point(1h) + MoveTime},
        Vms(Policy(User, Plan)), FaultShown(User.RouteRates.size(), false),
        Spent(User.RouteRates.size(), 0) {
    for (std::size_t Domain = 0; Domain < User.VmsByDomain.size(); ++Domain)
      for (unsigned Vm = 0; Vm < User.VmsByDomain[Domain]; ++Vm)
        DomainOfVm.push_back(Domain);
    drawTroubles();
  }

  model_result run() {
    const auto Steps = static_cast<std::size_t>(MoveTime / Step);
    for (Index = 0; Index <= Steps && !isOver(); ++Index) {
      Now = Plan.Start + Index * Step;
      deliver();
      sendPoison();
      for (std::size_t Route = 0; Route < User.RouteRates.size(); ++Route)
        sendRequests(Route);
      endRequests();
      exchangeNews();
      if (Index % StepsPerAdvance == 0)
        advance();
    }
    return result();
  }

private:
  double uniform() { return std::uniform_real_distribution<>()(Random); }
  double uniform(double Low, double High) {
    return Low + (High - Low) * uniform();
  }

  void drawTroubles() {
    FailRate = uniform(0.3, 1);
    SlowFactor = uniform(2, 5);
    const double Part = uniform(0.1, 0.6);
    const bool IsLater = Kind.Onset == model_onset::Later;
    Onset = IsLater ? Plan.Start +
                          std::chrono::duration_cast<duration>(MoveTime * Part)
                    : Plan.Start;
    LoadThreshold = uniform(0.2, 0.6);
    BadRoute =
        std::min(User.RouteRates.size() - 1,
                 static_cast<std::size_t>(
                     uniform() * static_cast<double>(User.RouteRates.size())));
    TroubleAt = Plan.Start + std::chrono::duration_cast<duration>(
                                 MoveTime * uniform(0.05, 0.6));
    TroubledDomain = static_cast<std::size_t>(
        uniform() * static_cast<double>(User.VmsByDomain.size()));
    CrashedUntil.resize(User.VmsByDomain.size());
    NextPoison = TroubleAt;
  }

  // The fault of the new version, as it is now on a route.
  bool isFaulty(std::size_t Route) const {
    if (Kind.Fault == model_fault::None || Now < Onset)
      return false;
    if (Kind.Onset == model_onset::OneRoute)
      return Route == BadRoute;
    return Kind.Onset != model_onset::UnderLoad || FleetShare >= LoadThreshold;
  }

  bool isDying(std::size_t Domain) const {
    return Kind.Disturbance == model_disturbance::FailingDomain &&
           Domain == TroubledDomain && Now >= TroubleAt;
  }

  bool isDead(std::size_t Domain) const {
    return isDying(Domain) && Now >= TroubleAt + DyingFor;
  }

  void sendRequests(std::size_t Route) {
    std::poisson_distribution<unsigned> Count(User.RouteRates[Route] *
                                              StepSeconds);
    for (unsigned Left = Count(Random); Left > 0; --Left) {
      const auto Vm =
          static_cast<std::size_t>(uniform() * static_cast<double>(Vms.size()));
      if (!isDead(DomainOfVm[Vm]))
        sendRequest(Vm, Route);
    }
  }

  void sendRequest(std::size_t Vm, std::size_t Route) {
    model_ending Ending;
    Ending.Vm = Vm;
    Ending.Route = Route;
    Ending.Sample.NewShare = Vms[Vm].Share();
    Ending.Sample.IsNew = uniform() < Ending.Sample.NewShare;
    Ending.Sample.Crash.Fingerprint = request_fingerprint(Random());
    const bool IsOnFault = Ending.Sample.IsNew && isFaulty(Route);
    if (IsOnFault && FaultShown[Route])
      ++Spent[Route];
    run(Ending, IsOnFault);
  }

  // Draws how the request ends and puts it where it ends.
  void run(model_ending &Ending, bool IsOnFault) {
    auto &Sample = Ending.Sample;
    const auto Domain = DomainOfVm[Ending.Vm];
    double Milliseconds =
        User.MedianMilliseconds *
        std::exp(std::normal_distribution<>(0, LatencySigma)(Random));
    double ErrorRate = UsualErrorRate;
    if (isDying(Domain)) {
      const std::chrono::duration<double> For = Now - TroubleAt;
      ErrorRate = std::min(0.9, For.count() / 5);
      Milliseconds *= DyingSlowdown;
    }
    if (IsOnFault && Kind.Fault == model_fault::Fail)
      ErrorRate = std::max(ErrorRate, FailRate);
    if (IsOnFault && Kind.Fault == model_fault::Slow)
      Milliseconds *= SlowFactor;
    const auto Endpoint =
        static_cast<unsigned>(uniform() * User.EndpointsPerDomain);
    Sample.Crash.Endpoint = endpointId(Domain, Sample.IsNew, Endpoint);
    if (Endpoint == 0 && Now < CrashedUntil[Domain][Sample.IsNew ? 1 : 0]) {
      Sample.Result = sample_result::NotReached;
      Milliseconds = 1;
    } else if (uniform() < ErrorRate) {
      Sample.Result = sample_result::Failed;
    }
    Sample.Latency = microseconds(static_cast<long>(Milliseconds * 1e3));
    Ending.ShowsFault = IsOnFault && (Kind.Fault == model_fault::Slow ||
                                      Sample.Result == sample_result::Failed);
    schedule(Ending);
  }

  static endpoint_id endpointId(std::size_t Domain, bool IsNew,
                                unsigned Index) {
    return endpoint_id(Domain * 1000 + (IsNew ? 500 : 0) + Index + 1);
  }

  void schedule(const model_ending &Ending) {
    const auto Delay = std::clamp<std::size_t>(
        static_cast<std::size_t>(Ending.Sample.Latency / Step), 1,
        RingSteps - 1);
    Endings[(Index + Delay) % RingSteps].push_back(Ending);
  }

  // The poison request crashes an endpoint, and with it what runs there.
  void sendPoison() {
    if (Kind.Disturbance != model_disturbance::Poison || Now < NextPoison ||
        PoisonSent == PoisonRepeats)
      return;
    NextPoison += PoisonInterval;
    ++PoisonSent;
    const auto Vm =
        static_cast<std::size_t>(uniform() * static_cast<double>(Vms.size()));
    const auto Domain = DomainOfVm[Vm];
    model_ending Ending;
    Ending.Vm = Vm;
    Ending.Sample.NewShare = Vms[Vm].Share();
    Ending.Sample.IsNew = uniform() < Ending.Sample.NewShare;
    Ending.Sample.Result = sample_result::ConnectionLost;
    Ending.Sample.Latency = microseconds(5'000);
    Ending.Sample.Crash = {endpointId(Domain, Ending.Sample.IsNew, 0),
                           request_fingerprint(PoisonFingerprint)};
    CrashedUntil[Domain][Ending.Sample.IsNew ? 1 : 0] = Now + CrashedFor;
    schedule(Ending);
    for (unsigned Other = 1; Other < User.Slots; ++Other) {
      Ending.Vm = vmOfDomain(Domain);
      Ending.Route = Other % User.RouteRates.size();
      Ending.Sample.Crash.Fingerprint = request_fingerprint(Random());
      schedule(Ending);
    }
  }

  std::size_t vmOfDomain(std::size_t Domain) {
    std::size_t Vm = 0;
    do
      Vm =
          static_cast<std::size_t>(uniform() * static_cast<double>(Vms.size()));
    while (DomainOfVm[Vm] != Domain);
    return Vm;
  }

  void endRequests() {
    auto &Ended = Endings[Index % RingSteps];
    for (const auto &Ending : Ended) {
      if (Ending.ShowsFault)
        FaultShown[Ending.Route] = true;
      Vms[Ending.Vm].Observe(Ending.Route, Ending.Sample, Now);
    }
    Ended.clear();
  }

  void exchangeNews() {
    for (std::size_t Vm = 0; Vm < Vms.size(); ++Vm) {
      auto News = Vms[Vm].TakeUpdate(Now);
      if (!News || isDead(DomainOfVm[Vm]))
        continue;
      ++NewsSent;
      const auto Shared = std::make_shared<const move_update>(std::move(*News));
      for (std::size_t To = 0; To < Vms.size(); ++To) {
        if (To == Vm)
          continue;
        const bool IsNear = DomainOfVm[To] / 2 == DomainOfVm[Vm] / 2;
        const auto Delay = IsNear ? NearDelaySteps : FarDelaySteps;
        Deliveries[(Index + Delay) % Deliveries.size()].push_back(
            {Vm, To, Shared});
      }
    }
  }

  void deliver() {
    auto &Due = Deliveries[Index % Deliveries.size()];
    for (const auto &Delivery : Due)
      Vms[Delivery.To].ApplyUpdate(DomainOfVm[Delivery.From], *Delivery.News,
                                   Now);
    Due.clear();
  }

  void advance() {
    double Sum = 0;
    double Live = 0;
    double SumOfAll = 0;
    for (std::size_t Vm = 0; Vm < Vms.size(); ++Vm) {
      Vms[Vm].Advance(Now);
      SumOfAll += Vms[Vm].Share();
      if (isDead(DomainOfVm[Vm]))
        continue;
      Sum += Vms[Vm].Share();
      Live += 1;
    }
    FleetShare = Sum / Live;
    // Traffic that leaves with a dead domain has not been moved.
    Shares.push_back(SumOfAll / static_cast<double>(Vms.size()));
    const std::size_t PerMinute = StepsPerMinute / StepsPerAdvance;
    if (Shares.size() > PerMinute)
      LargestGrowth = std::max(
          LargestGrowth, Shares.back() - Shares[Shares.size() - 1 - PerMinute]);
  }

  bool isLiveInState(std::size_t Vm, move_state First,
                     move_state Second) const {
    const auto State = Vms[Vm].State();
    return isDead(DomainOfVm[Vm]) || State == First || State == Second;
  }

  bool areAll(move_state First, move_state Second) const {
    for (std::size_t Vm = 0; Vm < Vms.size(); ++Vm)
      if (!isLiveInState(Vm, First, Second))
        return false;
    return true;
  }

  bool isOver() const {
    return areAll(move_state::Finished, move_state::Done) ||
           areAll(move_state::Stopped, move_state::RolledBack);
  }

  model_result result() const {
    model_result Result;
    Result.FinishedOnTime = areAll(move_state::Finished, move_state::Done);
    Result.RolledBack = areAll(move_state::Stopped, move_state::RolledBack);
    Result.LargestGrowthPerMinute = LargestGrowth;
    Result.UpdatesPerVmSecond =
        static_cast<double>(NewsSent) /
        (static_cast<double>(Vms.size() * (Index + 1)) * StepSeconds);
    for (std::size_t Route = 0; Route < Spent.size(); ++Route)
      Result.ExposureAfterFault = std::max(Result.ExposureAfterFault,
                                           static_cast<double>(Spent[Route]) /
                                               (User.RouteRates[Route] * 60));
    return Result;
  }

  static constexpr std::uint64_t PoisonFingerprint = 666;

  const model_user &User;
  const model_kind &Kind;
  std::mt19937_64 Random;
  move_plan Plan;
  std::vector<model_policy> Vms;
  std::vector<std::size_t> DomainOfVm;
  std::size_t Index = 0;
  time_point Now;
  double FleetShare = 0;
  std::vector<double> Shares;
  double LargestGrowth = 0;
  std::uint64_t NewsSent = 0;

  double FailRate = 0;
  double SlowFactor = 1;
  double LoadThreshold = 0;
  std::size_t BadRoute = 0;
  std::size_t TroubledDomain = 0;
  time_point Onset;
  time_point TroubleAt;
  time_point NextPoison;
  unsigned PoisonSent = 0;
  std::vector<std::array<time_point, 2>> CrashedUntil;

  std::array<std::vector<model_ending>, RingSteps> Endings;
  std::array<std::vector<model_delivery>, FarDelaySteps + 1> Deliveries;
  std::vector<bool> FaultShown;
  std::vector<std::uint64_t> Spent;
};

} // namespace

model_result runMove(const model_user &User, const model_kind &Kind,
                     const policy_factory &Policy, std::uint64_t Seed) {
  return move_run(User, Kind, Policy, Seed).run();
}

} // namespace sesamepaddle
