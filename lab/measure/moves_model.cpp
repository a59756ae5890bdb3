#include "measure/moves_model.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <random>

namespace sesamepaddle {

namespace {

using namespace std::chrono_literals;
using std::chrono::microseconds;

constexpr duration Step = 10ms; // of the simulated clock
constexpr double StepSeconds = 0.01;
// Completions are kept in a ring buffer by step, so latencies are capped at
// just over 10 s.
constexpr std::size_t RingSteps = 1024;
// Delivery time of updates within a region and between regions, in steps.
constexpr std::size_t NearDelaySteps = 1;
constexpr std::size_t FarDelaySteps = 2;
// The policies advance every 100 ms.
constexpr std::size_t StepsPerAdvance = 10;
constexpr std::size_t StepsPerMinute = 6'000;

constexpr duration MoveTime = 8min; // from the start to the end of the plan
constexpr double MaxGrowthPerMinute = 0.25; // growth of the new version's share

constexpr double LatencySigma = 0.4;     // of the log-normal distribution
constexpr double UsualErrorRate = 0.001; // without any fault

// An endpoint restarts for this long after a poison request crashed it.
constexpr duration CrashTime = 2s;
constexpr duration PoisonInterval = 1s; // between two poison requests
constexpr unsigned PoisonRepeats = 10;  // at most, per move
// A failing domain is degraded for this long before it goes down.
constexpr duration DegradedTime = 20s;
constexpr double DegradedSlowdown = 5; // factor on the latency

/** A request that completes in a later step. */
struct pending_completion {
  std::size_t Vm = 0;
  std::size_t Route = 0;
  version_sample Sample;
  bool ShowsFault = false; ///< failed or slow because of the new version
};

/** An update in transit from one VM to another. */
struct model_delivery {
  std::size_t From = 0;
  std::size_t To = 0;
  std::shared_ptr<const move_update> Update;
};

/** The simulation of one move. */
class move_run {
public:
  move_run(const model_user &User, const model_kind &Kind,
           const policy_factory &Policy, std::uint64_t Seed)
      : User(User), Kind(Kind),
        Random(Seed), Plan{MaxGrowthPerMinute, time_point(1h),
                           time_point(1h) + MoveTime},
        Vms(Policy(User, Plan)), FaultShown(User.RouteRates.size(), false),
        ExposedRequests(User.RouteRates.size(), 0) {
    for (std::size_t Domain = 0; Domain < User.VmsByDomain.size(); ++Domain)
      for (unsigned Vm = 0; Vm < User.VmsByDomain[Domain]; ++Vm)
        DomainOfVm.push_back(Domain);
    drawFaults();
  }

  model_result run() {
    const auto Steps = static_cast<std::size_t>(MoveTime / Step);
    for (Index = 0; Index <= Steps && !isOver(); ++Index) {
      Now = Plan.Start + Index * Step;
      deliver();
      sendPoison();
      for (std::size_t Route = 0; Route < User.RouteRates.size(); ++Route)
        sendRequests(Route);
      completeRequests();
      sendUpdates();
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

  void drawFaults() {
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
    DisturbanceStart = Plan.Start + std::chrono::duration_cast<duration>(
                                        MoveTime * uniform(0.05, 0.6));
    DisturbedDomain = static_cast<std::size_t>(
        uniform() * static_cast<double>(User.VmsByDomain.size()));
    CrashedUntil.resize(User.VmsByDomain.size());
    NextPoison = DisturbanceStart;
  }

  /** @returns whether the new version is faulty on this route now. */
  bool isFaulty(std::size_t Route) const {
    if (Kind.Fault == model_fault::None || Now < Onset)
      return false;
    if (Kind.Onset == model_onset::OneRoute)
      return Route == BadRoute;
    return Kind.Onset != model_onset::UnderLoad || FleetShare >= LoadThreshold;
  }

  bool isFailing(std::size_t Domain) const {
    return Kind.Disturbance == model_disturbance::FailingDomain &&
           Domain == DisturbedDomain && Now >= DisturbanceStart;
  }

  bool isDown(std::size_t Domain) const {
    return isFailing(Domain) && Now >= DisturbanceStart + DegradedTime;
  }

  void sendRequests(std::size_t Route) {
    std::poisson_distribution<unsigned> Count(User.RouteRates[Route] *
                                              StepSeconds);
    for (unsigned Left = Count(Random); Left > 0; --Left) {
      const auto Vm =
          static_cast<std::size_t>(uniform() * static_cast<double>(Vms.size()));
      if (!isDown(DomainOfVm[Vm]))
        sendRequest(Vm, Route);
    }
  }

  void sendRequest(std::size_t Vm, std::size_t Route) {
    pending_completion Completion;
    Completion.Vm = Vm;
    Completion.Route = Route;
    Completion.Sample.NewShare = Vms[Vm].Share();
    Completion.Sample.IsNew = uniform() < Completion.Sample.NewShare;
    Completion.Sample.Crash.Fingerprint = request_fingerprint(Random());
    const bool IsOnFault = Completion.Sample.IsNew && isFaulty(Route);
    if (IsOnFault && FaultShown[Route])
      ++ExposedRequests[Route];
    run(Completion, IsOnFault);
  }

  // Draws the result and latency of the request and schedules its completion.
  void run(pending_completion &Completion, bool IsOnFault) {
    auto &Sample = Completion.Sample;
    const auto Domain = DomainOfVm[Completion.Vm];
    double Milliseconds =
        User.MedianMilliseconds *
        std::exp(std::normal_distribution<>(0, LatencySigma)(Random));
    double ErrorRate = UsualErrorRate;
    if (isFailing(Domain)) {
      const std::chrono::duration<double> For = Now - DisturbanceStart;
      ErrorRate = std::min(0.9, For.count() / 5);
      Milliseconds *= DegradedSlowdown;
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
    Completion.ShowsFault =
        IsOnFault && (Kind.Fault == model_fault::Slow ||
                      Sample.Result == sample_result::Failed);
    schedule(Completion);
  }

  static endpoint_id endpointId(std::size_t Domain, bool IsNew,
                                unsigned Index) {
    return endpoint_id(Domain * 1000 + (IsNew ? 500 : 0) + Index + 1);
  }

  void schedule(const pending_completion &Completion) {
    const auto Delay = std::clamp<std::size_t>(
        static_cast<std::size_t>(Completion.Sample.Latency / Step), 1,
        RingSteps - 1);
    PendingCompletions[(Index + Delay) % RingSteps].push_back(Completion);
  }

  // The poison request crashes an endpoint, and all requests that the endpoint
  // is running fail with it.
  void sendPoison() {
    if (Kind.Disturbance != model_disturbance::Poison || Now < NextPoison ||
        PoisonSent == PoisonRepeats)
      return;
    NextPoison += PoisonInterval;
    ++PoisonSent;
    const auto Vm =
        static_cast<std::size_t>(uniform() * static_cast<double>(Vms.size()));
    const auto Domain = DomainOfVm[Vm];
    pending_completion Completion;
    Completion.Vm = Vm;
    Completion.Sample.NewShare = Vms[Vm].Share();
    Completion.Sample.IsNew = uniform() < Completion.Sample.NewShare;
    Completion.Sample.Result = sample_result::ConnectionLost;
    Completion.Sample.Latency = microseconds(5'000);
    Completion.Sample.Crash = {endpointId(Domain, Completion.Sample.IsNew, 0),
                               request_fingerprint(PoisonFingerprint)};
    CrashedUntil[Domain][Completion.Sample.IsNew ? 1 : 0] = Now + CrashTime;
    schedule(Completion);
    for (unsigned Other = 1; Other < User.Slots; ++Other) {
      Completion.Vm = vmOfDomain(Domain);
      Completion.Route = Other % User.RouteRates.size();
      Completion.Sample.Crash.Fingerprint = request_fingerprint(Random());
      schedule(Completion);
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

  void completeRequests() {
    auto &DueCompletions = PendingCompletions[Index % RingSteps];
    for (const auto &Completion : DueCompletions) {
      if (Completion.ShowsFault)
        FaultShown[Completion.Route] = true;
      Vms[Completion.Vm].Observe(Completion.Route, Completion.Sample, Now);
    }
    DueCompletions.clear();
  }

  void sendUpdates() {
    for (std::size_t Vm = 0; Vm < Vms.size(); ++Vm) {
      auto Update = Vms[Vm].TakeUpdate(Now);
      if (!Update || isDown(DomainOfVm[Vm]))
        continue;
      ++UpdatesSent;
      const auto Shared =
          std::make_shared<const move_update>(std::move(*Update));
      for (std::size_t To = 0; To < Vms.size(); ++To) {
        if (To == Vm)
          continue;
        // Two neighbouring domains form a region.
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
      Vms[Delivery.To].ApplyUpdate(DomainOfVm[Delivery.From], *Delivery.Update,
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
      if (isDown(DomainOfVm[Vm]))
        continue;
      Sum += Vms[Vm].Share();
      Live += 1;
    }
    FleetShare = Sum / Live;
    // The growth is computed over all VMs: the loss of a domain changes the
    // mean over the live VMs without moving any traffic.
    Shares.push_back(SumOfAll / static_cast<double>(Vms.size()));
    const std::size_t PerMinute = StepsPerMinute / StepsPerAdvance;
    if (Shares.size() > PerMinute)
      LargestGrowth = std::max(
          LargestGrowth, Shares.back() - Shares[Shares.size() - 1 - PerMinute]);
  }

  bool isLiveInState(std::size_t Vm, move_state First,
                     move_state Second) const {
    const auto State = Vms[Vm].State();
    return isDown(DomainOfVm[Vm]) || State == First || State == Second;
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
        static_cast<double>(UpdatesSent) /
        (static_cast<double>(Vms.size() * (Index + 1)) * StepSeconds);
    for (std::size_t Route = 0; Route < ExposedRequests.size(); ++Route)
      Result.ExposureAfterFault =
          std::max(Result.ExposureAfterFault,
                   static_cast<double>(ExposedRequests[Route]) /
                       (User.RouteRates[Route] * 60));
    return Result;
  }

  /** The same for all repeats, so that crash_deduplicator can recognise the
     poison request. */
  static constexpr std::uint64_t PoisonFingerprint = 666;

  const model_user &User;
  const model_kind &Kind;
  std::mt19937_64 Random;
  move_plan Plan;
  std::vector<model_policy> Vms;
  std::vector<std::size_t> DomainOfVm;
  std::size_t Index = 0; ///< of the step
  time_point Now;
  double FleetShare = 0;      ///< of the new version, mean over the live VMs
  std::vector<double> Shares; ///< mean over all VMs, at each advance()
  double LargestGrowth = 0;
  std::uint64_t UpdatesSent = 0;

  double FailRate = 0;
  double SlowFactor = 1;
  double LoadThreshold = 0;
  std::size_t BadRoute = 0;
  std::size_t DisturbedDomain = 0;
  time_point Onset;
  time_point DisturbanceStart;
  time_point NextPoison;
  unsigned PoisonSent = 0;
  /** End of the restart of endpoint 0, by domain, for the old and the new
      version. */
  std::vector<std::array<time_point, 2>> CrashedUntil;

  std::array<std::vector<pending_completion>, RingSteps> PendingCompletions;
  std::array<std::vector<model_delivery>, FarDelaySteps + 1> Deliveries;
  std::vector<bool> FaultShown; ///< by route
  /** Requests to the faulty version after FaultShown, by route. */
  std::vector<std::uint64_t> ExposedRequests;
};

} // namespace

model_result runMove(const model_user &User, const model_kind &Kind,
                     const policy_factory &Policy, std::uint64_t Seed) {
  return move_run(User, Kind, Policy, Seed).run();
}

} // namespace sesamepaddle
