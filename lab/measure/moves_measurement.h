#ifndef SESAMEPADDLE_LAB_MEASURE_MOVES_MEASUREMENT_H
#define SESAMEPADDLE_LAB_MEASURE_MOVES_MEASUREMENT_H

#include <span>

namespace sesamepaddle {

/** `sesamepaddle-lab measure moves`. */
int runMovesMeasurement(std::span<char *const> Arguments);

} // namespace sesamepaddle

#endif
