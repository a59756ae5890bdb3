#ifndef SESAMEPADDLE_TELEMETRY_METRICS_H
#define SESAMEPADDLE_TELEMETRY_METRICS_H

#include "sesamepaddle/core/clock.h"
#include "sesamepaddle/core/identifiers.h"

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

namespace sesamepaddle {

/** Latency histograms and counters, one set for each workspace and class.

    A class is a route and an outcome, such as "place-order/answered".
    Thread-safe; add() takes a lock only for the first event of a workspace and
    class.
*/
class metrics {
public:
  metrics();
  ~metrics();
  metrics(const metrics &) = delete;
  metrics &operator=(const metrics &) = delete;

  /** Counts one event that took @p Latency. */
  void add(const workspace_name &Workspace, std::string_view Class,
           duration Latency);

  /** @returns all histograms in the Prometheus text exposition format. */
  std::string prometheusText() const;

  /** @returns all histograms as a JSON array: workspace, class, count and the
      latencies at p50, p99 and p99.9 in milliseconds. Each latency is the upper
      edge of its histogram bin. */
  std::string jsonSummary() const;

private:
  class registry;
  std::unique_ptr<registry> Registry;
};

} // namespace sesamepaddle

#endif
