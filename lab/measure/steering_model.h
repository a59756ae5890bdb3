#ifndef SESAMEPADDLE_LAB_MEASURE_STEERING_MODEL_H
#define SESAMEPADDLE_LAB_MEASURE_STEERING_MODEL_H

#include <cstdint>
#include <string_view>

namespace sesamepaddle {

/** What a user has, as far as steering needs it. */
struct steering_user {
  std::string_view Name;
  unsigned VmsPerRegion = 3;
  double RegionCapacity = 0;     ///< requests a second
  double LinkBytesPerSecond = 0; ///< each way
  double RequestBytes = 0;       ///< on a link
  double MedianMilliseconds = 25;
};

enum class steering_policy {
  StaticWeights,
  LeastLoad,
  Product,
  ProductWithOverclaimingVm, ///< one VM asks for ten times what it could use
};

/** What one run came to. */
struct steering_result {
  double RegionOvershoot = 0; ///< above the limit, of it, worst second
  double LinkOvershoot = 0;
  double MedianMilliseconds = 0;
  double P99Milliseconds = 0;        ///< the 99th percentile
  double Headroom = 0;               ///< smallest margin of any region and link
  double RefusedDespiteCapacity = 0; ///< of requests while all fit somewhere
  double UnsettledShare = 0; ///< refused or over a limit in the 10 s after
                             ///< a change, of the traffic then
  double WorstWorkspace = 0; ///< answered of what it is owed
};

/** Runs 300 s with a step in load, the loss of a region, an overload of all and
    measurements that stop. */
steering_result runSteering(const steering_user &User, steering_policy Way,
                            std::uint64_t Seed);

} // namespace sesamepaddle

#endif
