#include "entry/key_binding.h"

#include "sesamepaddle/documents/signing.h"
#include "sesamepaddle/platform/failures.h"

#include <string>
#include <utility>

namespace sesamepaddle {

namespace {

// The separators keep service, workspace and key apart in the hashed text.
std::string rowKey(const request_scope &Scope, std::string_view Key) {
  std::string Text = Scope.Service.str() + "\n" + Scope.Workspace.str() + "\n";
  Text += Key;
  return "once/" + toHex(sha256(Text));
}

} // namespace

// Writes the row first and reads it only on a conflict, so that a new key costs
// one write and no read. The newly issued identifier is unique and therefore
// also serves as the operation id.
awaitable<absl::StatusOr<bound_identifier>>
bindKey(const platform_client &Platform, request_deduplicator &Deduplicator,
        const request_scope &Scope, std::string_view Key,
        std::optional<bound_identifier> Replaced) {
  const std::string Row = rowKey(Scope, Key);
  const request_identifier Identifier = Deduplicator.issue(Scope);
  table_transaction Transaction;
  Transaction.OperationId = Identifier.str();
  Transaction.Conditions = {{Row, Replaced ? Replaced->Version : AbsentRow}};
  Transaction.Writes = {{Row, Identifier.str()}};
  const auto Written = co_await Platform.Commit(std::move(Transaction));
  if (Written.ok())
    co_return bound_identifier{Identifier, *Written};
  if (!isFailure(Written.status(), platform_failure::Conflict))
    co_return Written.status();

  const auto Found = co_await Platform.ReadRow(Row);
  if (!Found.ok())
    co_return Found.status();
  const auto Bound = *Found ? request_identifier::parse((*Found)->Value)
                            : std::optional<request_identifier>();
  if (!Bound)
    co_return makeFailure(
        platform_failure::MalformedAnswer,
        "the table row of an idempotency key holds no identifier");
  co_return bound_identifier{*Bound, (*Found)->Version};
}

} // namespace sesamepaddle
