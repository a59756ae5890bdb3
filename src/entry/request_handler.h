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

/** Decides whether a workspace may send one more request now. */
using admit_function = std::function<awaitable<bool>(
    const service_snapshot &, const document_workspace &, time_point)>;

/** What the way of a request needs. */
struct request_handler_hooks {
  admit_function Admit;
  client_function Client;
  now_function Now;
  /** @returns true when a key may have been withdrawn without this VM knowing.
   */
  std::function<bool(time_point)> IsCutOff;
  /** @returns the platform client of the calling worker. */
  std::function<const platform_client &()> Platform;
  /** @returns the caller address of the VM of that name, if it is known. */
  std::function<std::optional<std::string>(const vm_name &)> FindVm;
  /** Tells the other VMs of the failure domain. */
  std::function<void(const crash_evidence &)> BroadcastCrash;
  /** Chooses the version that runs a request; its end is reported to
      move_controller. */
  std::function<chosen_version(const service_snapshot &)> ChooseVersion;
};

/** The way of a caller's request: authenticate, admit, route, answer. */
class request_handler {
public:
  /** @param Self  this process, which issues identifiers in its name */
  request_handler(const vm_identity &Self, failure_domain_name OwnDomain,
                  service_directory &Services, metrics &Metrics,
                  request_handler_hooks Hooks);

  /** Answers a request for /services/NAME/..., or issues an identifier for one
      at POST /identifiers/NAME. */
  awaitable<http_reply> handle(const http_exchange &Exchange);

  /** Takes up what another VM saw. Safe to call from every thread. */
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
