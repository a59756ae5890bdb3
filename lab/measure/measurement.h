#ifndef SESAMEPADDLE_LAB_MEASURE_MEASUREMENT_H
#define SESAMEPADDLE_LAB_MEASURE_MEASUREMENT_H

#include <functional>
#include <span>
#include <string_view>
#include <vector>

namespace sesamepaddle {

/** One `sesamepaddle-lab measure NAME` command. Run prints the results as a
    table and returns 1 if a target is missed or the measurement fails. */
struct measurement {
  std::string_view Name;
  std::string_view Brief;
  std::function<int(std::span<char *const>)> Run;
};

/** @returns all measurements, in the order of the usage text. */
std::vector<measurement> allMeasurements();

} // namespace sesamepaddle

#endif
