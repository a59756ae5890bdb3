#include "measure/moves_model.h"

#include <algorithm>
#include <array>
#include <string>

namespace sesamepaddle {

namespace {

using namespace std::chrono_literals;

std::size_t countVms(const model_user &User) {
  std::size_t Count = 0;
  for (const auto Vms : User.VmsByDomain)
    Count += Vms;
  return Count;
}

std::vector<route_name> routeNames(const model_user &User) {
  std::vector<route_name> Names;
  for (std::size_t Route = 0; Route < User.RouteRates.size(); ++Route)
    Names.emplace_back("route-" + std::to_string(Route));
  return Names;
}

model_policy makeProductPolicy(const std::vector<route_name> &Routes,
                               const move_plan &Plan) {
  auto Move = std::make_shared<version_move>(Plan, Routes);
  model_policy Policy;
  Policy.Share = [Move] { return Move->share(); };
  Policy.Observe = [Move, Routes](std::size_t Route,
                                  const version_sample &Sample,
                                  time_point Now) {
    Move->observe(Routes[Route], Sample, Now);
  };
  Policy.Advance = [Move](time_point Now) { Move->advance(Now); };
  Policy.TakeUpdate = [Move](time_point Now) { return Move->takeUpdate(Now); };
  Policy.ApplyUpdate = [Move](std::size_t Domain, const move_update &Update,
                              time_point Now) {
    Move->applyUpdate(failure_domain_name("domain-" + std::to_string(Domain)),
                      Update, Now);
  };
  Policy.State = [Move] { return Move->state(); };
  return Policy;
}

/** Fleet-wide request counters of one version over one interval. */
struct interval_counters {
  double Requests = 0;
  double Errors = 0;
  double Milliseconds = 0;

  double errorRate() const { return Requests > 0 ? Errors / Requests : 0; }
  double meanMilliseconds() const {
    return Requests > 0 ? Milliseconds / Requests : 0;
  }
};

/** The state that all VMs share under the static and threshold policies. Never
    rolls back if observe() is not called, as in the static policy. */
class threshold_monitor {
public:
  explicit threshold_monitor(const move_plan &Plan)
      : Plan(Plan), Ramp(Plan), IntervalEnd(Plan.Start + Interval) {}

  void observe(const version_sample &Sample) {
    auto &Counters = Current[Sample.IsNew ? 1 : 0];
    Counters.Requests += 1;
    Counters.Errors += Sample.Result == sample_result::Answered ? 0 : 1;
    Counters.Milliseconds += static_cast<double>(Sample.Latency.count()) / 1e3;
  }

  // Evaluates the interval before the one that just ended, because real
  // measurements also arrive late.
  void advance(time_point Now) {
    Ramp.advance(Now);
    if (Now < IntervalEnd)
      return;
    IntervalEnd += Interval;
    if (isBad(Previous))
      IsTakenBack = true;
    Previous = Current;
    Current = {};
  }

  double share() const { return IsTakenBack ? 0 : Ramp.share(); }

  move_state state() const {
    if (IsTakenBack)
      return move_state::RolledBack;
    return Ramp.share() >= 1 ? move_state::Done : move_state::Moving;
  }

private:
  using counters_by_version = std::array<interval_counters, 2>; ///< old, new
  static constexpr duration Interval = 10s; ///< that one measurement covers

  static bool isBad(const counters_by_version &Counters) {
    // Fewer requests say too little about a version to roll it back.
    constexpr double MinRequests = 20;
    constexpr double MaxErrorRate = 0.05; // fraction of the requests
    constexpr double MaxSlowdown = 1.5;   // mean latency, new over old
    const auto &Old = Counters[0];
    const auto &New = Counters[1];
    if (New.Requests < MinRequests)
      return false;
    return New.errorRate() > MaxErrorRate ||
           (Old.Requests >= MinRequests &&
            New.meanMilliseconds() > MaxSlowdown * Old.meanMilliseconds());
  }

  move_plan Plan;
  traffic_ramp Ramp;
  time_point IntervalEnd;
  counters_by_version Current{};
  counters_by_version Previous{};
  bool IsTakenBack = false;
};

/** Creates the policies of all VMs on one shared monitor. It sees the requests
    only if @p IsObserving. */
template <typename Monitor>
std::vector<model_policy>
makeMonitorPolicies(const model_user &User,
                    const std::shared_ptr<Monitor> &Shared, bool IsObserving) {
  std::vector<model_policy> Policies(countVms(User));
  for (auto &Policy : Policies) {
    Policy.Share = [Shared] { return Shared->share(); };
    Policy.Observe = [Shared, IsObserving](std::size_t, const version_sample &S,
                                           time_point) {
      if (IsObserving)
        Shared->observe(S);
    };
    Policy.Advance = [Shared](time_point Now) { Shared->advance(Now); };
    Policy.TakeUpdate = [](time_point) { return std::nullopt; };
    Policy.ApplyUpdate = [](std::size_t, const move_update &, time_point) {};
    Policy.State = [Shared] { return Shared->state(); };
  }
  return Policies;
}

} // namespace

std::vector<model_policy> makeProductPolicies(const model_user &User,
                                              const move_plan &Plan) {
  const auto Routes = routeNames(User);
  std::vector<model_policy> Policies;
  for (std::size_t Vm = 0; Vm < countVms(User); ++Vm)
    Policies.push_back(makeProductPolicy(Routes, Plan));
  return Policies;
}

std::vector<model_policy> makeStaticPolicies(const model_user &User,
                                             const move_plan &Plan) {
  return makeMonitorPolicies(User, std::make_shared<threshold_monitor>(Plan),
                             false);
}

std::vector<model_policy> makeThresholdPolicies(const model_user &User,
                                                const move_plan &Plan) {
  return makeMonitorPolicies(User, std::make_shared<threshold_monitor>(Plan),
                             true);
}

} // namespace sesamepaddle
