#ifndef SESAMEPADDLE_CORE_FAILURE_H
#define SESAMEPADDLE_CORE_FAILURE_H

#include "absl/status/status.h"

#include <string>
#include <string_view>

namespace sesamepaddle {

/** Describes the failures of one module; specialised beside each failure enum.

    A specialisation has two static functions:
      std::string_view name(Failure)       a stable name, unique in the enum
      absl::StatusCode code(Failure)       the class of the failure
    and the constant `std::string_view Domain`, the module's name.
*/
template <typename Failure> struct failure_traits;

/** Makes a status with a typed failure as its payload. Called by
    makeFailure(). */
absl::Status makeStatus(absl::StatusCode Code, std::string_view Domain,
                        std::string_view Name, std::string_view Detail);

/** Makes a status that carries a typed failure.
    @param Detail  a message for people

    @see isFailure
*/
template <typename Failure>
absl::Status makeFailure(Failure Kind, std::string_view Detail) {
  using traits = failure_traits<Failure>;
  return makeStatus(traits::code(Kind), traits::Domain, traits::name(Kind),
                    Detail);
}

/** @returns the full name of the failure in @p Status, such as
    "platform/conflict", or an empty string when it carries none. */
std::string failureName(const absl::Status &Status);

/** @returns true when @p Status carries exactly the failure @p Kind. */
template <typename Failure>
bool isFailure(const absl::Status &Status, Failure Kind) {
  using traits = failure_traits<Failure>;
  std::string Expected(traits::Domain);
  Expected += '/';
  Expected += traits::name(Kind);
  return failureName(Status) == Expected;
}

} // namespace sesamepaddle

#endif
