#include "platform/table_store.h"

#include <algorithm>

namespace sesamepaddle {

std::optional<table_revision>
table_store::commit(const table_transaction &Transaction) {
  if (!Transaction.OperationId.empty()) {
    const auto Known = AnswerByOperation.find(Transaction.OperationId);
    if (Known != AnswerByOperation.end())
      return Known->second;
  }
  const bool AllConditionsHold =
      std::ranges::all_of(Transaction.Conditions, [&](const auto &Condition) {
        const auto Row = find(Condition.Key);
        return (Row ? Row->Version : AbsentRow) == Condition.Version;
      });
  std::optional<table_revision> Answer;
  if (AllConditionsHold) {
    Answer = ++Revision;
    for (const auto &Write : Transaction.Writes) {
      if (Write.Value)
        Rows[Write.Key] = {Write.Key, Revision, *Write.Value};
      else
        Rows.erase(Write.Key);
    }
  }
  if (!Transaction.OperationId.empty())
    AnswerByOperation[Transaction.OperationId] = Answer;
  return Answer;
}

std::optional<table_row> table_store::find(std::string_view Key) const {
  const auto Found = Rows.find(Key);
  return Found == Rows.end() ? std::nullopt : std::optional(Found->second);
}

table_listing table_store::list(std::string_view Prefix,
                                table_revision After) const {
  table_listing Listing;
  Listing.Revision = Revision;
  for (auto Row = Rows.lower_bound(Prefix);
       Row != Rows.end() && Row->first.starts_with(Prefix); ++Row)
    if (Row->second.Version > After)
      Listing.Rows.push_back(Row->second);
  return Listing;
}

} // namespace sesamepaddle
