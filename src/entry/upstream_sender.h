#ifndef SESAMEPADDLE_ENTRY_UPSTREAM_SENDER_H
#define SESAMEPADDLE_ENTRY_UPSTREAM_SENDER_H

#include "entry/accepted_request.h"
#include "entry/move_controller.h"
#include "sesamepaddle/net/http_client.h"
#include "sesamepaddle/upstreams/poison_registry.h"
#include "sesamepaddle/upstreams/retry_budget.h"

#include <atomic>
#include <cstddef>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace sesamepaddle {

/** @returns the HTTP client of the calling worker. */
using client_function = std::function<http_client &()>;

/** The dependencies of upstream_sender. */
struct upstream_sender_hooks {
  client_function Client;
  now_function Now;
  /** Chooses the version that runs a request. */
  std::function<chosen_version(const service_snapshot &)> ChooseVersion;
  /** Sends crash evidence to the other VMs of the failure domain. */
  std::function<void(const crash_evidence &)> BroadcastCrash;
};

/** Sends requests to the endpoints of a service's upstream.

    Retries only if the previous attempt certainly did not run or the route is
    repeatable, and only within the deadline and the retry budget. Refuses
    requests that are known to crash upstreams.
*/
class upstream_sender {
public:
  upstream_sender(failure_domain_name OwnDomain, upstream_sender_hooks Hooks);

  /** @param Identifier  sent to the upstream in IdentifierHeader; empty: none
      @returns the complete answer, or a refusal that says whether any attempt
      may have run. */
  awaitable<request_result> send(const http_request &Request,
                                 const accepted_request &Accepted,
                                 const std::string &Identifier);

  /** Records crash evidence received from another VM. Thread-safe. */
  void recordRemoteCrash(const crash_evidence &Evidence);

private:
  using endpoint_pointer = std::shared_ptr<endpoint_state>;

  awaitable<request_result> sendRound(const http_request &Upstream,
                                      const accepted_request &Accepted);
  bool mayRetry(const request_result &Latest);
  awaitable<request_result> attempt(const http_request &Request,
                                    const accepted_request &Accepted,
                                    const chosen_version &Version,
                                    const endpoint_pointer &Endpoint);

  bool mayRun(const accepted_request &Accepted);
  void addEvidence(const accepted_request &Accepted,
                   const endpoint_state &Endpoint,
                   const request_result &Result);

  failure_domain_name OwnDomain;
  upstream_sender_hooks Hooks;
  retry_budget Retries;
  std::atomic<std::size_t> Turn{0}; ///< rotates among equally loaded endpoints
  std::mutex PoisonMutex;           ///< guards Poison
  poison_registry Poison;
};

} // namespace sesamepaddle

#endif
