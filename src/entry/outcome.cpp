#include "sesamepaddle/entry/outcome.h"

#include "absl/strings/str_cat.h"
#include "sesamepaddle/core/text.h"

#include <string>

namespace sesamepaddle {

namespace {

unsigned statusOf(refusal Reason) {
  switch (Reason) {
  case refusal::UnknownService:
  case refusal::UnknownRoute:
    return 404;
  case refusal::MissingKey:
  case refusal::UnknownKey:
    return 401;
  case refusal::BodyTooLarge:
    return 413;
  case refusal::RateExceeded:
    return 429;
  case refusal::CutOff:
  case refusal::NoUpstream:
  case refusal::UpstreamNotReached:
    return 503;
  case refusal::UpstreamFailed:
    return 502;
  case refusal::UpstreamTimeout:
    return 504;
  }
  return 500;
}

} // namespace

std::string_view refusalName(refusal Reason) {
  switch (Reason) {
  case refusal::UnknownService:
    return "unknown-service";
  case refusal::UnknownRoute:
    return "unknown-route";
  case refusal::MissingKey:
    return "missing-key";
  case refusal::UnknownKey:
    return "unknown-key";
  case refusal::CutOff:
    return "cut-off";
  case refusal::BodyTooLarge:
    return "body-too-large";
  case refusal::RateExceeded:
    return "rate-exceeded";
  case refusal::NoUpstream:
    return "no-upstream";
  case refusal::UpstreamNotReached:
    return "upstream-not-reached";
  case refusal::UpstreamFailed:
    return "upstream-failed";
  case refusal::UpstreamTimeout:
    return "upstream-timeout";
  }
  return "unknown";
}

run_state runStateOf(refusal Reason) {
  const bool MayHaveRun =
      Reason == refusal::UpstreamFailed || Reason == refusal::UpstreamTimeout;
  return MayHaveRun ? run_state::Unknown : run_state::NotRun;
}

http_reply makeRefusal(refusal Reason) {
  const absl::string_view Outcome =
      runStateOf(Reason) == run_state::NotRun ? "not-run" : "unknown";
  http_reply Reply =
      makeJsonReply(statusOf(Reason),
                    absl::StrCat("{\"error\":\"", toAbsl(refusalName(Reason)),
                                 "\",\"outcome\":\"", Outcome, "\"}\n"));
  Reply.Headers.push_back(
      {std::string(OutcomeHeader), std::string(toStd(Outcome))});
  return Reply;
}

} // namespace sesamepaddle
