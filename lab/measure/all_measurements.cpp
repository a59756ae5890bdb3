#include "measure/measurement.h"
#include "measure/moves_measurement.h"
#include "measure/product_measurements.h"
#include "measure/shares_measurement.h"
#include "measure/spread_measurement.h"
#include "measure/steering_measurement.h"
#include "measure/upstream_measurement.h"

namespace sesamepaddle {

std::vector<measurement> allMeasurements() {
  return {
      makeCostsMeasurement(),
      makePathMeasurement(),
      {"shares", "rights to fleet-wide limits", runSharesMeasurement},
      {"upstreams", "ways of choosing an endpoint of an upstream",
       runUpstreamMeasurement},
      {"spread", "documents and membership at 8 and at 810 VMs",
       runSpreadMeasurement},
      {"steering", "look-ups, and limits of regions and links",
       runSteeringMeasurement},
      {"moves", "version moves: good ones finished, bad ones taken back",
       runMovesMeasurement},
  };
}

} // namespace sesamepaddle
