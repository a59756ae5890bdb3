#include "sesamepaddle/peers/failures.h"

namespace sesamepaddle {

std::string_view failure_traits<peer_failure>::name(peer_failure Kind) {
  switch (Kind) {
  case peer_failure::ConnectionLost:
    return "connection-lost";
  case peer_failure::Timeout:
    return "timeout";
  case peer_failure::MalformedFrame:
    return "malformed-frame";
  case peer_failure::VersionMismatch:
    return "version-mismatch";
  case peer_failure::BadProof:
    return "bad-proof";
  }
  return "unknown";
}

absl::StatusCode failure_traits<peer_failure>::code(peer_failure Kind) {
  switch (Kind) {
  case peer_failure::ConnectionLost:
    return absl::StatusCode::kUnavailable;
  case peer_failure::Timeout:
    return absl::StatusCode::kDeadlineExceeded;
  case peer_failure::MalformedFrame:
  case peer_failure::VersionMismatch:
    return absl::StatusCode::kInvalidArgument;
  case peer_failure::BadProof:
    return absl::StatusCode::kUnauthenticated;
  }
  return absl::StatusCode::kUnknown;
}

} // namespace sesamepaddle
