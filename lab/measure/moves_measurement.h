#ifndef SESAMEPADDLE_LAB_MEASURE_MOVES_MEASUREMENT_H
#define SESAMEPADDLE_LAB_MEASURE_MOVES_MEASUREMENT_H

#include <span>

namespace sesamepaddle {

/** Runs `sesamepaddle-lab measure moves`: simulated version moves by the
   product and by two baseline policies. @returns 1 if a target is missed. */
int runMovesMeasurement(std::span<char *const> Arguments);

} // namespace sesamepaddle

#endif
