#ifndef SESAMEPADDLE_LAB_MEASURE_SHARES_TRAFFIC_H
#define SESAMEPADDLE_LAB_MEASURE_SHARES_TRAFFIC_H

#include "sesamepaddle/rate_limiting/share_types.h"

#include <cstdint>
#include <string>
#include <vector>

namespace sesamepaddle {

/** A simulated workspace with a fleet-wide rate limit. */
struct traffic_workspace {
  limit_name Name;
  limit_shape Limit;
  double LoadFactor = 0.6; ///< mean load as a share of the rate
};

/** The arrival of one request. Workspace and Caller are indices. */
struct traffic_arrival {
  duration At{}; ///< since the start of the run
  std::size_t Workspace = 0;
  std::size_t Caller = 0;
};

/** @returns two large workspaces followed by six small ones. */
std::vector<traffic_workspace> makeWorkspaces();

/** Draws random open-loop arrivals in batches of at most the limit's burst.
   Each workspace has its own random sequence, so its arrivals do not depend on
   the other workspaces.
    @returns the arrivals in order of time. */
std::vector<traffic_arrival>
makeArrivals(const std::vector<traffic_workspace> &Workspaces, duration Length,
             std::size_t Callers, std::uint64_t Seed);

} // namespace sesamepaddle

#endif
