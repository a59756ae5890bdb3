#ifndef SESAMEPADDLE_LAB_MEASURE_UPSTREAM_MEASUREMENT_H
#define SESAMEPADDLE_LAB_MEASURE_UPSTREAM_MEASUREMENT_H

#include <span>

namespace sesamepaddle {

/** Runs `sesamepaddle-lab measure upstreams`: compares policies for choosing an
    upstream endpoint. @returns 1 if a target is missed. */
int runUpstreamMeasurement(std::span<char *const> Arguments);

} // namespace sesamepaddle

#endif
