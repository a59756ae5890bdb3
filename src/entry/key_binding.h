#ifndef SESAMEPADDLE_ENTRY_KEY_BINDING_H
#define SESAMEPADDLE_ENTRY_KEY_BINDING_H

#include "entry/request_deduplicator.h"
#include "sesamepaddle/platform/platform_client.h"

#include "absl/status/statusor.h"

#include <optional>
#include <string_view>

namespace sesamepaddle {

/** An identifier and the row of the table that binds a caller's key to it. */
struct bound_identifier {
  request_identifier Identifier;
  table_revision Version = AbsentRow;
};

/** Binds a caller's own idempotency key to an identifier through the table.

    The row is written before the request is sent. A key that is bound already
    gives the identifier that it was bound to first.
    @param Replaced  a binding whose identifier is known never to run; it is
                     replaced when the row has not changed since
    @returns the binding, or a platform_failure. */
awaitable<absl::StatusOr<bound_identifier>>
bindKey(const platform_client &Platform, request_deduplicator &Deduplicator,
        const request_scope &Scope, std::string_view Key,
        std::optional<bound_identifier> Replaced = std::nullopt);

} // namespace sesamepaddle

#endif
