#ifndef SESAMEPADDLE_LAB_MEASURE_STEERING_MEASUREMENT_H
#define SESAMEPADDLE_LAB_MEASURE_STEERING_MEASUREMENT_H

#include "measure/figure_table.h"

#include <cstdint>
#include <span>

namespace sesamepaddle {

/** `sesamepaddle-lab measure steering`. */
int runSteeringMeasurement(std::span<char *const> Arguments);

/** Look-ups at the size to design for. */
void measureLookups(std::uint64_t Seed, figure_table &Table);

} // namespace sesamepaddle

#endif
