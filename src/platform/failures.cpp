#include "sesamepaddle/platform/failures.h"

namespace sesamepaddle {

std::string_view failure_traits<platform_failure>::name(platform_failure Kind) {
  switch (Kind) {
  case platform_failure::Unavailable:
    return "unavailable";
  case platform_failure::OutcomeUnknown:
    return "outcome-unknown";
  case platform_failure::Conflict:
    return "conflict";
  case platform_failure::MalformedAnswer:
    return "malformed-answer";
  }
  return "unknown";
}

absl::StatusCode failure_traits<platform_failure>::code(platform_failure Kind) {
  switch (Kind) {
  case platform_failure::Unavailable:
    return absl::StatusCode::kUnavailable;
  case platform_failure::OutcomeUnknown:
    return absl::StatusCode::kUnknown;
  case platform_failure::Conflict:
    return absl::StatusCode::kAborted;
  case platform_failure::MalformedAnswer:
    return absl::StatusCode::kInternal;
  }
  return absl::StatusCode::kUnknown;
}

} // namespace sesamepaddle
