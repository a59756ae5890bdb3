#include "sesamepaddle/load_balancing/load_estimate.h"

#include <algorithm>
#include <cmath>

namespace sesamepaddle {

namespace {

// Time in which the weight of an endpoint's report falls to 1/e: about the time
// that work takes, after which other requests run and wait there.
constexpr double ReportMemorySeconds = 0.2;

} // namespace

load_estimate estimateLoad(const fleet_endpoint &Endpoint, time_point Now) {
  const double Own = Endpoint.InFlight;
  const double Peers = Endpoint.PeerInFlight;
  const double Age = std::max(
      0.0,
      std::chrono::duration<double>(Now - Endpoint.LoadReportedAt).count());
  const double Weight = std::exp(-Age / ReportMemorySeconds);
  const double Reported = static_cast<double>(Endpoint.Load.Running) +
                          Endpoint.Load.Waiting + Own -
                          Endpoint.InFlightAtReport;
  load_estimate Estimate;
  Estimate.ReportWeight = Weight;
  Estimate.Requests =
      Weight * std::max(Own, Reported) + (1 - Weight) * (Own + Peers);
  // Requests of other VMs come independently of each other, so that their
  // number varies like a Poisson count; with no news of any, there may be one.
  Estimate.Deviation = std::sqrt((1 - Weight * Weight) * std::max(Peers, 1.0));
  return Estimate;
}

} // namespace sesamepaddle
