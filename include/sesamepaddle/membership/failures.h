#ifndef SESAMEPADDLE_MEMBERSHIP_FAILURES_H
#define SESAMEPADDLE_MEMBERSHIP_FAILURES_H

#include "sesamepaddle/core/failure.h"

namespace sesamepaddle {

/** Why a membership message was rejected. */
enum class membership_failure {
  MalformedMessage, ///< not valid msgpack, or not the expected fields
};

template <> struct failure_traits<membership_failure> {
  static constexpr std::string_view Domain = "membership";
  static std::string_view name(membership_failure) {
    return "malformed-message";
  }
  static absl::StatusCode code(membership_failure) {
    return absl::StatusCode::kInvalidArgument;
  }
};

} // namespace sesamepaddle

#endif
