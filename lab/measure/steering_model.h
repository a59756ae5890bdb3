#ifndef SESAMEPADDLE_LAB_MEASURE_STEERING_MODEL_H
#define SESAMEPADDLE_LAB_MEASURE_STEERING_MODEL_H

#include <cstdint>
#include <string_view>

namespace sesamepaddle {

/** The deployment of one user of the system, as far as steering needs it. */
struct steering_user {
  std::string_view Name;
  unsigned VmsPerRegion = 3;
  double RegionCapacity = 0;      ///< requests per second
  double LinkBytesPerSecond = 0;  ///< between two regions, each way
  double RequestBytes = 0;        ///< sent over a link per request
  double MedianMilliseconds = 25; ///< time that the upstream takes
};

/** How lookups and entry VMs choose the region that serves a request. */
enum class steering_policy {
  StaticWeights, ///< baseline: the caller's own region, or the next that is up
  LeastLoad,     ///< baseline: the region with the lowest measured load
  Product,       ///< own region's entry VM, which forwards requests within the
                 ///< capacity granted to it by regions and links
  ProductWithOverclaimingVm, ///< one VM requests ten times what it can use
};

/** The figures of one run. Shares are fractions of 1. */
struct steering_result {
  double RegionOvershoot = 0; ///< excess over the limit in the worst second,
                              ///< as a fraction of the limit
  double LinkOvershoot = 0;   ///< the same for a link
  double MedianMilliseconds = 0;
  double P99Milliseconds = 0; ///< the 99th percentile
  double Headroom = 0;        ///< smallest unused share of any region or link
  /** Share of requests refused while capacity was free, which is the case
      outside the overload. */
  double RefusedDespiteCapacity = 0;
  double UnsettledShare = 0; ///< share of traffic in the 10 s after a change
                             ///< that was refused or exceeded a limit
  double WorstWorkspace = 0; ///< lowest share of its guaranteed requests
                             ///< that a workspace was served in the overload
};

/** Simulates 300 s with a load step, the loss of a region, an overload of all
    regions and a gap in the load measurements. */
steering_result runSteering(const steering_user &User, steering_policy Policy,
                            std::uint64_t Seed);

} // namespace sesamepaddle

#endif
