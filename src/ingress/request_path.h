#ifndef SESAMEPADDLE_SRC_INGRESS_REQUEST_PATH_H
#define SESAMEPADDLE_SRC_INGRESS_REQUEST_PATH_H

#include "ingress/decision_log.h"
#include "ingress/upstream_pool.h"
#include "sesamepaddle/ingress/fleet_state.h"
#include "sesamepaddle/net/http_message.h"
#include "sesamepaddle/telemetry/metrics.h"
#include "sesamepaddle/upstreams/poison_registry.h"

#include <list>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace sesamepaddle {

/** One request of a caller. */
struct ingress_request {
  http_request Message;
  time_point Arrival;
  std::shared_ptr<cancel_source> Cancel; ///< when its caller has left
};

/** Takes a request from its arrival to its answer: admits it, chooses the
    endpoints that it is sent to, and decides what a failure means.

    Configuration, keys, evacuation and versions are read anew before each
    sending, so that a request that waited is not sent by older rules.
*/
class request_path {
public:
  request_path(fleet_state &Fleet, upstream_pool &Upstreams, metrics &Metrics,
               decision_log &Log);

  /** @returns the answer for the caller. */
  awaitable<http_reply> run(ingress_request Request);

  /** Counts requests that are far too late already against their endpoints. */
  void countLateRequests(time_point Now);

  /** An endpoint that has answered for an object, both by their hashes. */
  struct known_object {
    std::uint64_t Endpoint;
    std::uint64_t Object;
  };

  /** @returns what endpoints have come to know since the last call. */
  std::vector<known_object> takeKnownObjectUpdates() {
    return std::exchange(KnownObjectUpdates, {});
  }

  /** @returns true, once, when an endpoint was seen to be late. */
  bool takeUrgentUpdate() { return std::exchange(IsUpdateUrgent, false); }

  std::size_t inFlight() const { return InFlight; }
  poison_registry &poison() { return Poison; }

  /** Asks so many other VMs for a token of a workspace's limit; true when the
      bucket has one now. */
  std::function<awaitable<bool>(workspace_name, std::size_t)> Borrow;

  /** Called with a crash that the other VMs should hear of. */
  std::function<void(const crash_evidence &)> OnCrash;

private:
  struct request_state;

  std::optional<http_reply> authorize(request_state &State);
  awaitable<std::optional<http_reply>> admit(request_state &State);
  awaitable<http_reply> send(request_state &State);
  awaitable<exchange_result> exchange(request_state &State,
                                      const endpoint_pointer &Endpoint);
  std::shared_ptr<upstream_request>
  makeUpstreamRequest(const request_state &State,
                      const fleet_endpoint &Endpoint) const;
  bool mayRetry(request_state &State, bool WasSent);
  awaitable<void> verifyCrash(endpoint_pointer Endpoint,
                              std::string Fingerprint);
  void recordOutcome(request_state &State, fleet_endpoint &Endpoint,
                     const exchange_result &Result);
  http_reply unknownOutcomeReply(const request_state &State) const;
  http_reply refuse(const request_state &State, unsigned Status,
                    std::string_view Reason, double RetryAfterSeconds);

  fleet_state &Fleet;
  upstream_pool &Upstreams;
  metrics &Metrics;
  decision_log &Log;
  poison_registry Poison;
  /** A request that is at an endpoint. */
  struct sent_request {
    endpoint_pointer Endpoint;
    time_point LateAt;
    bool IsCounted = false;
  };
  std::list<sent_request> Sent;
  std::vector<known_object> KnownObjectUpdates;
  std::size_t InFlight = 0;
  bool IsUpdateUrgent = false;
};

} // namespace sesamepaddle

#endif
