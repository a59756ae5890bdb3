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
      makeIngressMeasurement(),
      {"shares", "distribution of fleet-wide rate limits over VMs",
       runSharesMeasurement},
      {"upstreams", "policies for choosing an upstream endpoint",
       runUpstreamMeasurement},
      {"spread", "document replication and membership with 8 and 810 VMs",
       runSpreadMeasurement},
      {"steering", "lookups, and capacity limits of regions and links",
       runSteeringMeasurement},
      {"moves",
       "version moves: good versions finish, bad versions are rolled back",
       runMovesMeasurement},
  };
}

} // namespace sesamepaddle
