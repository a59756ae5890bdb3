#include "sesamepaddle/core/failure.h"

#include "sesamepaddle/core/text.h"

#include "absl/strings/cord.h"

namespace sesamepaddle {

namespace {

// Key of the status payload that holds the full name of the failure.
constexpr std::string_view PayloadUrl = "sesamepaddle/failure";

} // namespace

absl::Status makeStatus(absl::StatusCode Code, std::string_view Domain,
                        std::string_view Name, std::string_view Detail) {
  absl::Status Result(Code, toAbsl(Detail));
  std::string FullName(Domain);
  FullName += '/';
  FullName += Name;
  Result.SetPayload(toAbsl(PayloadUrl), absl::Cord(FullName));
  return Result;
}

std::string failureName(const absl::Status &Status) {
  const auto Payload = Status.GetPayload(toAbsl(PayloadUrl));
  if (!Payload)
    return {};
  return std::string(*Payload);
}

} // namespace sesamepaddle
