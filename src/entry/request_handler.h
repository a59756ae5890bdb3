#ifndef SESAMEPADDLE_ENTRY_REQUEST_HANDLER_H
#define SESAMEPADDLE_ENTRY_REQUEST_HANDLER_H

#include "entry/accepted_request.h"
#include "entry/at_most_once_handler.h"
#include "entry/move_controller.h"
#include "entry/request_deduplicator.h"
#include "entry/upstream_sender.h"
#include "sesamepaddle/core/clock.h"
#include "sesamepaddle/entry/outcome.h"
#include "sesamepaddle/entry/service_directory.h"
#include "sesamepaddle/net/http_client.h"
#include "sesamepaddle/net/http_server.h"
#include "sesamepaddle/telemetry/metrics.h"

#include <functional>

namespace sesamepaddle {

/** Charges a workspace's rate limit for one request.
    @returns true if the request may run */
using admit_function = std::function<awaitable<bool>(
    const service_snapshot &, const document_workspace &, time_point)>;

/** The dependencies of request_handler. */
struct request_handler_hooks {
  admit_function Admit;
  client_function Client;
  now_function Now;
  /** @returns true if this VM may have missed that a key was withdrawn. */
  std::function<bool(time_point)> IsCutOff;
  /** @returns the platform client of the calling worker. */
  std::function<const platform_client &()> Platform;
  /** @returns the caller address of the VM with that name, if known. */
  std::function<std::optional<std::string>(const vm_name &)> FindVm;
  /** Sends crash evidence to the other VMs of the failure domain. */
  std::function<void(const crash_evidence &)> BroadcastCrash;
  /** Chooses the version that runs a request; upstream_sender reports the
      result to move_controller. */
  std::function<chosen_version(const service_snapshot &)> ChooseVersion;
};

/** Handles a caller's request: authenticates it, finds its route, charges the
    rate limit, has it sent to the upstream and records metrics. */
class request_handler {
public:
  /** @param Self  the identity of this process in the identifiers it issues */
  request_handler(const vm_identity &Self, failure_domain_name OwnDomain,
                  service_directory &Services, metrics &Metrics,
                  request_handler_hooks Hooks);

  /** Answers a request for /services/NAME/..., or issues an identifier for one
      at POST /identifiers/NAME. */
  awaitable<http_reply> handle(const http_exchange &Exchange);

  /** Records crash evidence received from another VM. Thread-safe. */
  void recordRemoteCrash(const crash_evidence &Evidence);

private:
  http_reply refuse(refusal Reason, run_state State,
                    const accepted_request &Request);
  bool findWorkspace(const http_request &Request, accepted_request &Accepted,
                     refusal &Reason) const;
  bool authenticate(const http_request &Request, accepted_request &Accepted,
                    refusal &Reason) const;
  http_reply issueIdentifier(const http_request &Request);
  awaitable<bool> isAdmitted(const accepted_request &Accepted) const;
  awaitable<request_result> answer(const http_request &Request,
                                   const accepted_request &Accepted);

  service_directory &Services;
  metrics &Metrics;
  request_handler_hooks Hooks;
  request_deduplicator Deduplicator;
  upstream_sender Upstream;
  at_most_once_handler Once;
};

} // namespace sesamepaddle

#endif
