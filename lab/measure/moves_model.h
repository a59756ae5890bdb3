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

/** When or where it is wrong. */
enum class model_onset { AtOnce, Later, UnderLoad, OneRoute };

/** What happens beside it that is no fault of the version. */
enum class model_disturbance { None, Poison, FailingDomain };

/** One kind of move. */
struct model_kind {
  std::string_view Name;
  model_fault Fault = model_fault::None;
  model_onset Onset = model_onset::AtOnce;
  model_disturbance Disturbance = model_disturbance::None;
};

/** What a user has. */
struct model_user {
  std::string_view Name;
  std::vector<unsigned> VmsByDomain;
  std::vector<double> RouteRates; ///< requests a second
  double MedianMilliseconds = 25;
  unsigned EndpointsPerDomain = 2;
  unsigned Slots = 4;
};

/** A way to run a move, on one VM. */
struct model_policy {
  std::function<double()> Share;
  std::function<void(std::size_t Route, const version_sample &, time_point)>
      Observe;
  std::function<void(time_point)> Advance;
  std::function<std::optional<move_update>(time_point)> TakeUpdate;
  std::function<void(std::size_t Domain, const move_update &, time_point)>
      ApplyUpdate;
  std::function<move_state()> State;
};

/** Makes the policies of all VMs of one move. */
using policy_factory = std::function<std::vector<model_policy>(
    const model_user &, const move_plan &)>;

/** What became of one move. */
struct model_result {
  bool FinishedOnTime = false;
  bool RolledBack = false;
  double LargestGrowthPerMinute = 0; ///< of the share of all traffic
  /** Requests on the bad version after its fault showed, as a part of their
      route's traffic of a minute; the worst route. */
  double ExposureAfterFault = 0;
  double UpdatesPerVmSecond = 0;
};

/** Runs one move. The same seed gives the same traffic and faults. */
model_result runMove(const model_user &User, const model_kind &Kind,
                     const policy_factory &Policy, std::uint64_t Seed);

/** The system's own way. */
std::vector<model_policy> makeProductPolicies(const model_user &User,
                                              const move_plan &Plan);

/** Follows the pace whatever happens. */
std::vector<model_policy> makeStaticPolicies(const model_user &User,
                                             const move_plan &Plan);

/** Takes back when the errors or the mean latency of all VMs, measured over
    10 s and known 10 s later, are above fixed limits. */
std::vector<model_policy> makeThresholdPolicies(const model_user &User,
                                                const move_plan &Plan);

} // namespace sesamepaddle

#endif
