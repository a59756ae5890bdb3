#include "sesamepaddle/entry/failures.h"

namespace sesamepaddle {

std::string_view failure_traits<entry_failure>::name(entry_failure Kind) {
  switch (Kind) {
  case entry_failure::NoPeerSecret:
    return "no-peer-secret";
  }
  return "unknown";
}

absl::StatusCode failure_traits<entry_failure>::code(entry_failure Kind) {
  switch (Kind) {
  case entry_failure::NoPeerSecret:
    return absl::StatusCode::kFailedPrecondition;
  }
  return absl::StatusCode::kUnknown;
}

} // namespace sesamepaddle
