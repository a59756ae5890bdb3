#ifndef SESAMEPADDLE_ENTRY_FAILURES_H
#define SESAMEPADDLE_ENTRY_FAILURES_H

#include "sesamepaddle/core/failure.h"

namespace sesamepaddle {

/** Failures of module entry itself that prevent an entry VM from starting. */
enum class entry_failure {
  NoPeerSecret, ///< the peer secret file can't be read or is too short
};

template <> struct failure_traits<entry_failure> {
  static constexpr std::string_view Domain = "entry";
  static std::string_view name(entry_failure Kind);
  static absl::StatusCode code(entry_failure Kind);
};

} // namespace sesamepaddle

#endif
