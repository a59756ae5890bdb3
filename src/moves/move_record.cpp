#include "sesamepaddle/moves/move_record.h"

#include <nlohmann/json.hpp>

namespace sesamepaddle {

using json = nlohmann::json;

// Stored rows contain these names, so they must not change.
std::string_view outcomeName(move_outcome Outcome) {
  return Outcome == move_outcome::Done ? "done" : "taken back";
}

std::string_view faultName(fault_kind Kind) {
  return Kind == fault_kind::Error ? "error" : "slow";
}

std::string move_record::serialize() const {
  json Row = {{"outcome", outcomeName(Outcome)}};
  if (Fault) {
    Row["route"] = Fault->Route.str();
    Row["fault"] = faultName(Fault->Kind);
  }
  return Row.dump();
}

std::optional<move_record> parseMoveRecord(std::string_view Text) {
  const json Row = json::parse(Text, nullptr, false);
  if (!Row.is_object() || !Row.contains("outcome"))
    return std::nullopt;
  move_record Record;
  if (Row["outcome"] == outcomeName(move_outcome::RolledBack))
    Record.Outcome = move_outcome::RolledBack;
  else if (Row["outcome"] != outcomeName(move_outcome::Done))
    return std::nullopt;
  if (Row.contains("route") && Row["route"].is_string())
    Record.Fault =
        move_fault{route_name(Row["route"].get<std::string>()),
                   Row.value("fault", "") == "slow" ? fault_kind::Slow
                                                    : fault_kind::Error};
  return Record;
}

} // namespace sesamepaddle
