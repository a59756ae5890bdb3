#ifndef SESAMEPADDLE_PLATFORM_FAILURES_H
#define SESAMEPADDLE_PLATFORM_FAILURES_H

#include "sesamepaddle/core/failure.h"

namespace sesamepaddle {

/** Why a call to the platform failed. */
enum class platform_failure {
  Unavailable,     ///< could not connect, or it answered with a 5xx status;
                   ///< for reads, also no answer
  OutcomeUnknown,  ///< no answer to a write, which may have been applied: read
                   ///< the data again to find out
  Conflict,        ///< a condition of the transaction did not hold
  MalformedAnswer, ///< the answer does not follow the protocol
};

template <> struct failure_traits<platform_failure> {
  static constexpr std::string_view Domain = "platform";
  static std::string_view name(platform_failure Kind);
  static absl::StatusCode code(platform_failure Kind);
};

} // namespace sesamepaddle

#endif
