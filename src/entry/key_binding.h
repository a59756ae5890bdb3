#ifndef SESAMEPADDLE_ENTRY_KEY_BINDING_H
#define SESAMEPADDLE_ENTRY_KEY_BINDING_H

#include "entry/request_deduplicator.h"
#include "sesamepaddle/platform/platform_client.h"

#include "absl/status/statusor.h"

#include <optional>
#include <string_view>

namespace sesamepaddle {

/** The identifier that an idempotency key is bound to, and the version of the
    table row that stores the binding. */
struct bound_identifier {
  request_identifier Identifier;
  table_revision Version = AbsentRow;
};

/** Binds a caller's idempotency key to a request identifier in a row of the
    platform's table.

    The request is sent only after this has succeeded, so that the row is
    written first. For a key that is already bound, the existing identifier is
    returned.
    @param Replaced  an earlier binding whose identifier is known never to run;
                     it is overwritten if the row has not changed since
    @returns the binding, or a platform_failure. */
awaitable<absl::StatusOr<bound_identifier>>
bindKey(const platform_client &Platform, request_deduplicator &Deduplicator,
        const request_scope &Scope, std::string_view Key,
        std::optional<bound_identifier> Replaced = std::nullopt);

} // namespace sesamepaddle

#endif
