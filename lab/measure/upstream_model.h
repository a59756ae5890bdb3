#ifndef SESAMEPADDLE_LAB_MEASURE_UPSTREAM_MODEL_H
#define SESAMEPADDLE_LAB_MEASURE_UPSTREAM_MODEL_H

#include <cstdint>
#include <string_view>
#include <vector>

namespace sesamepaddle {

/** How a VM chooses an endpoint. */
enum class endpoint_choice_policy {
  RoundRobin,
  LeastReported, ///< by what the load endpoints said last
  TwoChoices,    ///< the lesser of two drawn, by local requests in flight
  LeastInFlight, ///< by local requests in flight
  LeastInFlightWaiting, ///< the same; waits when three endpoints shed
};

std::string_view choiceName(endpoint_choice_policy Policy);

/** A failure domain with some entry VMs and endpoints, one of which is slow and
    one of which always reports that it is idle. */
struct upstream_model_settings {
  endpoint_choice_policy Policy = endpoint_choice_policy::RoundRobin;
  double Load = 0.5; ///< offered part of all slots
  unsigned Vms = 2;
  unsigned Endpoints = 12;
  unsigned Slots = 3;
  double MeanRunMs = 20;
  double Slowness = 5; ///< factor of the slow endpoint
  double ReportIntervalMs = 1'000;
  double OneWayMs = 0.2;
  unsigned Requests = 200'000;
  std::uint64_t Seed = 1;
};

struct upstream_model_result {
  double P50Ms = 0;
  double P99Ms = 0;
  double P999Ms = 0;
  double RefusedPercent = 0; ///< shed by three endpoints in a row
};

upstream_model_result runUpstreamModel(const upstream_model_settings &Settings);

} // namespace sesamepaddle

#endif
