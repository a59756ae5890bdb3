#ifndef SESAMEPADDLE_LAB_MEASURE_UPSTREAM_MODEL_H
#define SESAMEPADDLE_LAB_MEASURE_UPSTREAM_MODEL_H

#include <cstdint>
#include <string_view>
#include <vector>

namespace sesamepaddle {

/** How a VM chooses the endpoint for a request. */
enum class endpoint_choice_policy {
  RoundRobin,
  LeastReported, ///< by the last load that the endpoints reported
  TwoChoices,    ///< the better of two random ones by local requests in flight
  LeastInFlight, ///< by local requests in flight
  LeastInFlightWaiting, ///< the product's policy: the same, and retries
                        ///< with backoff after three endpoints refused
};

/** @returns the name of a policy in the printed table. */
std::string_view choiceName(endpoint_choice_policy Policy);

/** A failure domain with entry VMs and endpoints. One endpoint is slow, and
    another always reports that it is idle. */
struct upstream_model_settings {
  endpoint_choice_policy Policy = endpoint_choice_policy::RoundRobin;
  double Load = 0.5; ///< offered load as a fraction of the capacity
  unsigned Vms = 2;
  unsigned Endpoints = 12;
  unsigned Slots = 3; ///< concurrent requests per endpoint
  double MeanRunMs = 20;
  double Slowness = 5; ///< run time factor of the slow endpoint
  double ReportIntervalMs = 1'000;
  double OneWayMs = 0.2; ///< network delay
  unsigned Requests = 200'000;
  std::uint64_t Seed = 1;
};

/** Latency percentiles of the answered requests, and the refused requests. */
struct upstream_model_result {
  double P50Ms = 0;
  double P99Ms = 0;
  double P999Ms = 0;
  double RefusedPercent = 0; ///< after three endpoints refused, and with the
                             ///< product's policy after the last retry
};

/** Simulates one load with one policy. */
upstream_model_result runUpstreamModel(const upstream_model_settings &Settings);

} // namespace sesamepaddle

#endif
