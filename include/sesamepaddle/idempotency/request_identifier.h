#ifndef SESAMEPADDLE_IDEMPOTENCY_REQUEST_IDENTIFIER_H
#define SESAMEPADDLE_IDEMPOTENCY_REQUEST_IDENTIFIER_H

#include "sesamepaddle/core/identifiers.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace sesamepaddle {

/** Identifies one request that must run at most once. Only the process that
    issued the identifier may run the request. */
struct request_identifier {
  vm_identity Issuer;
  std::uint64_t Sequence = 0; ///< counts the issuer's identifiers from 1
  std::string Tag; ///< HMAC that proves the issuer and the request_scope

  /** @returns the text form used on the wire, which parse() reads. */
  std::string str() const;

  /** @returns the identifier in @p Text, or nothing when it is malformed. */
  static std::optional<request_identifier> parse(std::string_view Text);

  friend bool operator==(const request_identifier &,
                         const request_identifier &) = default;
};

/** The service and the workspace for which an identifier is valid. */
struct request_scope {
  service_name Service;
  workspace_name Workspace;
};

} // namespace sesamepaddle

#endif
