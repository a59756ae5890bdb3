#include "ingress/unfinished_answers.h"

#include "absl/strings/str_cat.h"

namespace sesamepaddle {

const char *nameOf(unfinished_cause Cause) {
  switch (Cause) {
  case unfinished_cause::CallerClosed:
    return "caller-closed";
  case unfinished_cause::CallerReset:
    return "caller-reset";
  case unfinished_cause::CallerStalled:
    return "caller-stalled";
  case unfinished_cause::MemoryNeeded:
    return "memory-needed";
  case unfinished_cause::VmEnded:
    return "vm-ended";
  case unfinished_cause::Failed:
    return "failed";
  }
  return "unknown";
}

std::string unfinished_answers::prometheusText() const {
  std::string Text;
  for (std::size_t Index = 0; Index < Causes; ++Index)
    absl::StrAppend(&Text, "sesamepaddle_answers_unfinished{cause=\"",
                    nameOf(static_cast<unfinished_cause>(Index)), "\"} ",
                    Counts[Index], "\n");
  return Text;
}

} // namespace sesamepaddle
