#include "sesamepaddle/net/failures.h"

namespace sesamepaddle {

std::string_view failure_traits<net_failure>::name(net_failure Kind) {
  switch (Kind) {
  case net_failure::InvalidAddress:
    return "invalid-address";
  case net_failure::ConnectFailed:
    return "connect-failed";
  case net_failure::SendFailed:
    return "send-failed";
  case net_failure::ReceiveFailed:
    return "receive-failed";
  case net_failure::Timeout:
    return "timeout";
  case net_failure::MalformedMessage:
    return "malformed-message";
  case net_failure::HeaderTooLarge:
    return "header-too-large";
  case net_failure::BodyTooLarge:
    return "body-too-large";
  case net_failure::ListenFailed:
    return "listen-failed";
  }
  return "unknown";
}

absl::StatusCode failure_traits<net_failure>::code(net_failure Kind) {
  switch (Kind) {
  case net_failure::InvalidAddress:
  case net_failure::MalformedMessage:
    return absl::StatusCode::kInvalidArgument;
  case net_failure::HeaderTooLarge:
  case net_failure::BodyTooLarge:
    return absl::StatusCode::kOutOfRange;
  case net_failure::Timeout:
    return absl::StatusCode::kDeadlineExceeded;
  case net_failure::ConnectFailed:
  case net_failure::SendFailed:
  case net_failure::ReceiveFailed:
  case net_failure::ListenFailed:
    return absl::StatusCode::kUnavailable;
  }
  return absl::StatusCode::kUnknown;
}

} // namespace sesamepaddle
