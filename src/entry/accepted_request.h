#ifndef SESAMEPADDLE_ENTRY_ACCEPTED_REQUEST_H
#define SESAMEPADDLE_ENTRY_ACCEPTED_REQUEST_H

#include "sesamepaddle/core/clock.h"
#include "sesamepaddle/entry/outcome.h"
#include "sesamepaddle/entry/service_directory.h"
#include "sesamepaddle/net/http_message.h"

#include <string>
#include <utility>

namespace sesamepaddle {

/** A caller's request whose service, route and workspace have been found. */
struct accepted_request {
  service_pointer Service;
  const document_route *Route = nullptr;
  workspace_name Workspace;   ///< empty: an open route without a known key
  std::string UpstreamTarget; ///< the target without /services/NAME
  std::string Fingerprint;    ///< SHA-256 of workspace, method, target and body
  time_point Start;           ///< when this VM began to handle the request
  time_point Deadline;
  bool IsAdmitted = false; ///< the workspace's rate limit has been charged
};

/** The result of a request: the upstream's answer or a refusal. */
struct request_result {
  bool IsAnswered = false;
  http_reply Answer; ///< set if IsAnswered; otherwise see Reason and State
  refusal Reason = refusal::OutcomeUnknown;
  run_state State = run_state::Unknown;

  static request_result answered(http_reply Reply) {
    return {true, std::move(Reply), {}, run_state::Ran};
  }
  static request_result refused(refusal Reason) {
    return {false, {}, Reason, runStateOf(Reason)};
  }
  static request_result refused(refusal Reason, run_state State) {
    return {false, {}, Reason, State};
  }
};

} // namespace sesamepaddle

#endif
