#ifndef SESAMEPADDLE_LAB_MEASURE_SPREAD_MEASUREMENT_H
#define SESAMEPADDLE_LAB_MEASURE_SPREAD_MEASUREMENT_H

#include <span>

namespace sesamepaddle {

/** Measures how fast documents spread and what membership costs, by the cores
    without sockets. @returns 1 where a target is missed. */
int runSpreadMeasurement(std::span<char *const> Arguments);

} // namespace sesamepaddle

#endif
