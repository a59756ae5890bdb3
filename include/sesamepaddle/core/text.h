#ifndef SESAMEPADDLE_CORE_TEXT_H
#define SESAMEPADDLE_CORE_TEXT_H

#include "absl/strings/string_view.h"

#include <string_view>

namespace sesamepaddle {

/** @returns @p Text as a string_view of Abseil. Debian builds Abseil with a
    type of its own instead of std::string_view. */
inline absl::string_view toAbsl(std::string_view Text) {
  return {Text.data(), Text.size()};
}

/** @returns @p Text as a string_view of the standard library. */
inline std::string_view toStd(absl::string_view Text) {
  return {Text.data(), Text.size()};
}

} // namespace sesamepaddle

#endif
