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

model_policy makeChosenPolicy(const std::vector<route_name> &Routes,
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
  Policy.ApplyUpdate = [Move](std::size_t Domain, const move_update &News,
                              time_point Now) {
    Move->applyUpdate(failure_domain_name("domain-" + std::to_string(Domain)),
                      News, Now);
  };
  Policy.State = [Move] { return Move->state(); };
  return Policy;
}

/** Counters of all VMs over an interval, for one version. */
struct interval_counters {
  double Requests = 0;
  double Errors = 0;
  double Milliseconds = 0;

  double errorRate() const { return Requests > 0 ? Errors / Requests : 0; }
  double mean() const { return Requests > 0 ? Milliseconds / Requests : 0; }
};

/** The fleet-wide monitor of the threshold policy. */
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

  // Judges what is an interval old, as lagging measurements are.
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
  using counters_by_version = std::array<interval_counters, 2>;
  static constexpr duration Interval = 10s;

  static bool isBad(const counters_by_version &Counters) {
    constexpr double LargestErrorRate = 0.05;
    constexpr double LargestSlowdown = 1.5;
    constexpr double FewestRequests = 20;
    const auto &Old = Counters[0];
    const auto &New = Counters[1];
    if (New.Requests < FewestRequests)
      return false;
    return New.errorRate() > LargestErrorRate ||
           (Old.Requests >= FewestRequests &&
            New.mean() > LargestSlowdown * Old.mean());
  }

  move_plan Plan;
  traffic_ramp Ramp;
  time_point IntervalEnd;
  counters_by_version Current{};
  counters_by_version Previous{};
  bool IsTakenBack = false;
};

template <typename Monitor>
std::vector<model_policy> shareMonitor(const model_user &User,
                                       const std::shared_ptr<Monitor> &Shared,
                                       bool IsJudging) {
  std::vector<model_policy> Policies(countVms(User));
  for (auto &Policy : Policies) {
    Policy.Share = [Shared] { return Shared->share(); };
    Policy.Observe = [Shared, IsJudging](std::size_t, const version_sample &S,
                                         time_point) {
      if (IsJudging)
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
    Policies.push_back(makeChosenPolicy(Routes, Plan));
  return Policies;
}

std::vector<model_policy> makeStaticPolicies(const model_user &User,
                                             const move_plan &Plan) {
  return shareMonitor(User, std::make_shared<threshold_monitor>(Plan), false);
}

std::vector<model_policy> makeThresholdPolicies(const model_user &User,
                                                const move_plan &Plan) {
  return shareMonitor(User, std::make_shared<threshold_monitor>(Plan), true);
}

} // namespace sesamepaddle
