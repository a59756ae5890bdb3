#ifndef SESAMEPADDLE_ENTRY_AT_MOST_ONCE_HANDLER_H
#define SESAMEPADDLE_ENTRY_AT_MOST_ONCE_HANDLER_H

#include "entry/accepted_request.h"
#include "entry/key_binding.h"
#include "entry/request_deduplicator.h"
#include "entry/upstream_sender.h"

#include <functional>
#include <optional>
#include <string>

namespace sesamepaddle {

/** The dependencies of at_most_once_handler. */
struct at_most_once_handler_hooks {
  /** Charges the workspace's rate limit.
      @returns true if the request may run */
  std::function<awaitable<bool>(const accepted_request &)> Admit;
  /** @returns the caller address of the VM with that name, if known. */
  std::function<std::optional<std::string>(const vm_name &)> FindVm;
  /** @returns the platform client of the calling worker. */
  std::function<const platform_client &()> Platform;
  client_function Client;
  now_function Now;
};

/** Handles requests to routes that are not repeatable, and runs each at most
    once.

    The process that issued a request's identifier decides whether it runs;
    other VMs forward the request to that VM. A request without an identifier or
    idempotency key gets an identifier for this attempt only.
*/
class at_most_once_handler {
public:
  at_most_once_handler(request_deduplicator &Deduplicator,
                       upstream_sender &Upstream,
                       at_most_once_handler_hooks Hooks);

  /** Handles one attempt.
      @returns the answer, or a refusal that says whether the request ran in
      this or any earlier attempt. */
  awaitable<request_result> answer(const http_request &Request,
                                   const accepted_request &Accepted);

private:
  awaitable<request_result> answerKey(const http_request &Request,
                                      accepted_request Accepted,
                                      std::string_view Key);
  awaitable<request_result>
  answerIdentifier(const http_request &Request,
                   const accepted_request &Accepted,
                   const request_identifier &Identifier);
  awaitable<request_result> run(const http_request &Request,
                                const accepted_request &Accepted,
                                const request_identifier &Identifier);
  awaitable<request_result> askIssuer(const http_request &Request,
                                      const accepted_request &Accepted,
                                      const request_identifier &Identifier);

  request_deduplicator &Deduplicator;
  upstream_sender &Upstream;
  at_most_once_handler_hooks Hooks;
};

} // namespace sesamepaddle

#endif
