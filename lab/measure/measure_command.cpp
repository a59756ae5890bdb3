#include "measure/measurement.h"

#include "lab_command.h"

#include <iostream>

namespace sesamepaddle {

int runMeasureCommand(std::span<char *const> Arguments) {
  const std::vector<measurement> Measurements = allMeasurements();
  const std::string_view Wanted = Arguments.size() > 1 ? Arguments[1] : "";
  for (const auto &Measurement : Measurements)
    if (Measurement.Name == Wanted)
      return Measurement.Run(Arguments.subspan(1));
  std::ostream &Stream = Wanted == "--help" ? std::cout : std::cerr;
  Stream
      << "Usage: sesamepaddle-lab measure NAME [--quick true] [--seed N]\n\n";
  for (const auto &Measurement : Measurements)
    Stream << "  " << Measurement.Name << "  " << Measurement.Brief << "\n";
  return Wanted == "--help" ? 0 : 2;
}

} // namespace sesamepaddle
