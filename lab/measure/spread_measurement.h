#ifndef SESAMEPADDLE_LAB_MEASURE_SPREAD_MEASUREMENT_H
#define SESAMEPADDLE_LAB_MEASURE_SPREAD_MEASUREMENT_H

#include <span>

namespace sesamepaddle {

/** Runs `sesamepaddle-lab measure spread`: how fast documents reach all VMs,
   and the cost of replication and membership, simulated without sockets.
    @returns 1 if a target is missed. */
int runSpreadMeasurement(std::span<char *const> Arguments);

} // namespace sesamepaddle

#endif
