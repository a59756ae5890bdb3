#ifndef SESAMEPADDLE_ENTRY_ONCE_PATH_H
#define SESAMEPADDLE_ENTRY_ONCE_PATH_H

#include "entry/accepted_request.h"
#include "entry/key_binding.h"
#include "entry/request_deduplicator.h"
#include "entry/upstream_sender.h"

#include <functional>
#include <optional>
#include <string>

namespace sesamepaddle {

/** What the way of requests that must not be repeated needs. */
struct at_most_once_handler_hooks {
  /** @returns true when the request may run now. Asked just before it runs. */
  std::function<awaitable<bool>(const accepted_request &)> Admit;
  /** @returns the caller address of the VM of that name, if it is known. */
  std::function<std::optional<std::string>(const vm_name &)> FindVm;
  /** @returns the platform client of the calling worker. */
  std::function<const platform_client &()> Platform;
  client_function Client;
  now_function Now;
};

/** The way of requests that must not be repeated.

    The process that issued a request's identifier decides; a VM that gets a
    repeat of another VM's request passes it there. A request without identifier
    gets one that covers this single attempt.
*/
class at_most_once_handler {
public:
  at_most_once_handler(request_deduplicator &Deduplicator,
                       upstream_sender &Upstream,
                       at_most_once_handler_hooks Hooks);

  /** Answers one attempt. The result tells whether the request ran in this or
      any earlier attempt. */
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
