#ifndef SESAMEPADDLE_LAB_MEASURE_MOVES_MODEL_H
#define SESAMEPADDLE_LAB_MEASURE_MOVES_MODEL_H

#include "sesamepaddle/moves/version_move.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <span>
#include <string_view>
#include <vector>

namespace sesamepaddle {

/** What is wrong with the new version. */
enum class model_fault { None, Fail, Slow };

/** When or where the fault of the new version shows. */
enum class model_onset {
  AtOnce,
  Later,     ///< from a random time within the move
  UnderLoad, ///< while the new version's traffic share is above a threshold
  OneRoute,  ///< from the start, on one random route
};

/** A disturbance that the new version does not cause. */
enum class model_disturbance {
  None,
  Poison,        ///< a repeated request that crashes the endpoint it reaches
  FailingDomain, ///< a failure domain degrades, then goes down
};

/** A kind of move: the fault of the new version, its onset, and a disturbance.
 */
struct model_kind {
  std::string_view Name;
  model_fault Fault = model_fault::None;
  model_onset Onset = model_onset::AtOnce;
  model_disturbance Disturbance = model_disturbance::None;
};

/** The deployment of one user of the system. */
struct model_user {
  std::string_view Name;
  std::vector<unsigned> VmsByDomain; ///< entry VMs in each failure domain
  std::vector<double> RouteRates;    ///< requests per second
  double MedianMilliseconds = 25;    ///< latency of a request
  unsigned EndpointsPerDomain = 2;   ///< of each version
  unsigned Slots = 4;                ///< concurrent requests per endpoint
};

/** The policy that controls a move on one VM, as a set of callbacks. */
struct model_policy {
  std::function<double()> Share; ///< of traffic for the new version, 0 to 1
  /** Reports a completed request. */
  std::function<void(std::size_t Route, const version_sample &, time_point)>
      Observe;
  std::function<void(time_point)> Advance; ///< called every 100 ms
  /** Returns an update for the other VMs if one is due. */
  std::function<std::optional<move_update>(time_point)> TakeUpdate;
  /** Applies an update from a VM in @p Domain. */
  std::function<void(std::size_t Domain, const move_update &, time_point)>
      ApplyUpdate;
  std::function<move_state()> State;
};

/** Creates the policies for one move, one per VM. */
using policy_factory = std::function<std::vector<model_policy>(
    const model_user &, const move_plan &)>;

/** The outcome of one move. */
struct model_result {
  bool FinishedOnTime = false; ///< on all live VMs, by the end of the plan
  bool RolledBack = false;     ///< stopped and rolled back on all live VMs
  double LargestGrowthPerMinute = 0; ///< of the share of all traffic
  /** Requests sent to the faulty version after its first visible failure or
      slow reply, relative to one minute of the route's traffic. The maximum
      over all routes. */
  double ExposureAfterFault = 0;
  double UpdatesPerVmSecond = 0; ///< sent by one VM per second
};

/** Simulates one move. The same seed gives the same traffic and faults. */
model_result runMove(const model_user &User, const model_kind &Kind,
                     const policy_factory &Policy, std::uint64_t Seed);

/** The product's own algorithm, version_move. */
std::vector<model_policy> makeProductPolicies(const model_user &User,
                                              const move_plan &Plan);

/** Baseline: follows the plan's schedule and ignores all failures. */
std::vector<model_policy> makeStaticPolicies(const model_user &User,
                                             const move_plan &Plan);

/** Baseline: rolls back when the fleet's error rate or mean latency exceeds a
    fixed threshold. Both are measured over 10 s and available 10 s later. */
std::vector<model_policy> makeThresholdPolicies(const model_user &User,
                                                const move_plan &Plan);

} // namespace sesamepaddle

#endif
