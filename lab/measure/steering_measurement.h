#ifndef SESAMEPADDLE_LAB_MEASURE_STEERING_MEASUREMENT_H
#define SESAMEPADDLE_LAB_MEASURE_STEERING_MEASUREMENT_H

#include "measure/figure_table.h"

#include <cstdint>
#include <span>

namespace sesamepaddle {

/** Runs `sesamepaddle-lab measure steering`: lookups, then simulated capacity
    limits. @returns 1 if a target is missed. */
int runSteeringMeasurement(std::span<char *const> Arguments);

/** Measures the size, rebuild time and speed of the lookup table at the largest
    size that the design has to support, and adds the figures to @p Table. */
void measureLookups(std::uint64_t Seed, figure_table &Table);

} // namespace sesamepaddle

#endif
