#ifndef SESAMEPADDLE_LAB_MEASURE_SHARES_MEASUREMENT_H
#define SESAMEPADDLE_LAB_MEASURE_SHARES_MEASUREMENT_H

#include <span>

namespace sesamepaddle {

/** Runs `sesamepaddle-lab measure shares`: compares strategies for distributing
    fleet-wide rate limits over VMs. @returns 1 if a target is missed. */
int runSharesMeasurement(std::span<char *const> Arguments);

} // namespace sesamepaddle

#endif
