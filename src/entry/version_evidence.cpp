#include "entry/version_evidence.h"

#include "sesamepaddle/net/failures.h"
#include "sesamepaddle/steering/rendezvous.h"

namespace sesamepaddle {

namespace {

constexpr unsigned FirstServerError = 500;
// Counts as shed here even if the upstream doesn't send OutcomeHeader.
constexpr unsigned ShedStatus = 503;

sample_result resultOf(const absl::StatusOr<http_reply> &Reply) {
  if (Reply.ok()) {
    const bool IsFault =
        Reply->Status >= FirstServerError && Reply->Status != ShedStatus;
    return IsFault ? sample_result::Failed : sample_result::Answered;
  }
  if (isFailure(Reply.status(), net_failure::ConnectFailed))
    return sample_result::NotReached;
  return isFailure(Reply.status(), net_failure::Timeout)
             ? sample_result::Failed
             : sample_result::ConnectionLost;
}

} // namespace

version_sample makeVersionSample(const absl::StatusOr<http_reply> &Reply,
                                 const accepted_request &Accepted,
                                 const endpoint_state &Endpoint,
                                 duration Elapsed) {
  version_sample Sample;
  Sample.Result = resultOf(Reply);
  Sample.Latency =
      std::chrono::duration_cast<std::chrono::microseconds>(Elapsed);
  if (Sample.Result == sample_result::Answered)
    return Sample;
  Sample.Crash.Endpoint = endpoint_id(stableHash(Endpoint.Address));
  Sample.Crash.Fingerprint =
      request_fingerprint(stableHash(Accepted.Fingerprint));
  return Sample;
}

} // namespace sesamepaddle
