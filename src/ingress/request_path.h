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
  /** Cancelled when the caller disconnects. */
  std::shared_ptr<cancel_source> Cancel;
  /** Called before the request waits for another VM or an endpoint. */
  std::function<void()> OnWait;
  /** @returns true while the answers to earlier requests of the same connection
      are not written: then only a request that may be repeated is sent. Null:
      never. */
  std::function<bool()> IsBehind{};
};

/** The answer for a caller. */
struct ingress_answer {
  http_reply Reply;
  /** Counts the memory of the reply's body while it exists; null for replies of
      the VM's own. */
  std::shared_ptr<body_memory::holding> Memory;
};

/** Handles a request from arrival to answer: admits it, selects endpoints,
    sends it, and decides after a failure whether to retry.

    Configuration, keys, evacuation and versions are read again before each
    attempt, so that a request that waited does not follow outdated rules.
*/
class request_path {
public:
  request_path(fleet_state &Fleet, upstream_pool &Upstreams, metrics &Metrics,
               decision_log &Log);

  /** @returns the answer for the caller. */
  awaitable<ingress_answer> run(ingress_request Request);

  /** Ends the wait for all endpoints, so that callers get an answer before the
      VM ends. */
  void expireAll();

  /** Counts requests in flight that exceed their latency objective by far as
      failures of their endpoints. Called on each tick. */
  void countLateRequests(time_point Now);

  /** An endpoint and an object for which it has answered a request, both by
      their hashes. */
  struct known_object {
    std::uint64_t Endpoint;
    std::uint64_t Object;
  };

  /** @returns the pairs added since the last call. */
  std::vector<known_object> takeKnownObjectUpdates() {
    return std::exchange(KnownObjectUpdates, {});
  }

  /** @returns true when a late endpoint was found since the last call. */
  bool takeUrgentUpdate() { return std::exchange(IsUpdateUrgent, false); }

  /** @returns the number of requests without an answer. */
  std::size_t inFlight() const { return InFlight; }
  poison_registry &poison() { return Poison; }

  /** Asks other VMs for a token of a workspace's limit, and yields true when
     one was obtained and spent. Set by vm_gossip. */
  std::function<awaitable<bool>(workspace_name, quota_ask, quota_search)>
      ObtainToken;

  /** Called with a crash to report to the other VMs. Set by vm_gossip. */
  std::function<void(const crash_evidence &)> OnCrash;

private:
  struct request_state;

  /** Refuses a request while this VM's rows of the store are too old to decide
      it. @returns the refusal, or nothing */
  std::optional<http_reply> refuseIfOutdated(request_state &State);
  /** Refuses a request that may not run before earlier ones of its connection
      are answered. @returns the refusal, or nothing */
  std::optional<http_reply> refuseIfBehind(request_state &State);
  /** Refuses a request that may not end before this VM does.
      @returns the refusal, or nothing */
  std::optional<http_reply> refuseIfStopping(request_state &State);
  /** Reads the current configuration and checks route and key.
      @returns the refusal, or nothing when the request is allowed */
  std::optional<http_reply> authorize(request_state &State);
  /** Refuses a request that this VM is too busy to serve.
      @returns the refusal, or nothing */
  std::optional<http_reply> refuseIfBusy(const request_state &State);
  /** @returns a text that is the same for equal requests of a workspace. */
  const std::string &fingerprintOf(request_state &State) const;
  /** Applies the workspace's limit, and refuses requests that crash endpoints.
      @returns the refusal, or nothing when the request is admitted */
  awaitable<std::optional<http_reply>> admit(request_state &State);
  /** Admits the request and sends it. @returns the answer for the caller */
  awaitable<http_reply> handle(request_state &State);
  /** Sends the request, with retries. @returns the answer for the caller */
  awaitable<http_reply> send(request_state &State);
  /** Makes one attempt at @p Endpoint, which was chosen for @p Wanted. */
  awaitable<exchange_result> exchange(request_state &State,
                                      const endpoint_pointer &Endpoint,
                                      const placement_request &Wanted);
  std::shared_ptr<upstream_request>
  makeUpstreamRequest(const request_state &State,
                      const fleet_endpoint &Endpoint) const;
  /** Decides whether the configuration in force allows another attempt, and
      counts it. Nothing may be awaited between this and the attempt.
      @param WasSent  false when the last attempt did not reach its endpoint;
                      then it costs neither an attempt nor the retry budget */
  bool mayRetry(request_state &State, bool WasSent);
  /** Counts a retry to the request's service if the budget allows it. */
  bool takeRetry(request_state &State);
  void countTraffic(const endpoint_record &Record,
                    const upstream_request &Request,
                    const exchange_result &Result);
  /** Reports a crash if @p Endpoint accepts no connection after it lost one. */
  awaitable<void> verifyCrash(endpoint_pointer Endpoint,
                              std::string Fingerprint);
  /** Takes the endpoint out of use when @p Reply says so. */
  void noteAnnouncements(const request_state &State, fleet_endpoint &Endpoint,
                         const http_reply &Reply, time_point Now);
  /** Stores and counts the load that an endpoint reports in @p Text, the value
      of the header; empty: none. */
  void noteLoad(fleet_endpoint &Endpoint, std::string_view Text,
                time_point Now);
  /** Logs that an endpoint is used again after it had asked for quiet. */
  void noteUse(fleet_endpoint &Endpoint, time_point Now);
  /** Updates health, load, known objects and rollout from one attempt. */
  void recordOutcome(request_state &State, fleet_endpoint &Endpoint,
                     const exchange_result &Result);
  /** Chooses the version for a further attempt after a failure. */
  void useVersionAfterFault(request_state &State);
  /** @returns the answer for a request that may have run. */
  http_reply unknownOutcomeReply(const request_state &State) const;
  /** @param RetryAfterSeconds  0: the reply gets no Retry-After
      @returns an error reply */
  http_reply refuse(const request_state &State, unsigned Status,
                    std::string_view Reason, double RetryAfterSeconds);

  fleet_state &Fleet;
  upstream_pool &Upstreams;
  metrics &Metrics;
  decision_log &Log;
  poison_registry Poison;
  /** A request in flight at an endpoint. */
  struct sent_request {
    endpoint_pointer Endpoint;
    std::shared_ptr<cancel_source> Cancel;
    time_point LateAt;      ///< when it counts as late
    bool IsCounted = false; ///< as late
  };
  std::list<sent_request> Sent;
  std::vector<known_object> KnownObjectUpdates;
  std::size_t InFlight = 0;
  bool IsUpdateUrgent = false;
};

} // namespace sesamepaddle

#endif
