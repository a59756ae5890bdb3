#ifndef SESAMEPADDLE_COMMAND_LINE_REQUEST_EXPLANATION_H
#define SESAMEPADDLE_COMMAND_LINE_REQUEST_EXPLANATION_H

#include <cstddef>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace sesamepaddle {

/** An explanation of the outcome of one request, derived from logs. */
struct request_explanation {
  /** The request's log line and those of the events that influenced it, in
      order of time. */
  std::vector<std::string> Lines;
  std::string Cause; ///< in one sentence
};

/** Explains a request from the logs of any number of VMs, concatenated or
    mixed. The word before the time of a line, such as a file name or a VM's
    name, identifies the VM.
    @returns the explanation, or nothing when there is no line for the request
    @see docs/OPERATIONS.md */
std::optional<request_explanation>
explainRequest(std::string_view RequestId, std::span<const std::string> Lines);

/** @returns the sum of the "lines dropped=" counts in @p Lines. Lines that
    line_appender dropped are not included: their count has no time. */
std::size_t countDropped(std::span<const std::string> Lines);

} // namespace sesamepaddle

#endif
