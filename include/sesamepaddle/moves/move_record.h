#ifndef SESAMEPADDLE_MOVES_MOVE_RECORD_H
#define SESAMEPADDLE_MOVES_MOVE_RECORD_H

#include "sesamepaddle/core/identifiers.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace sesamepaddle {

/** How a move ended. */
enum class move_outcome { Done, RolledBack };

/** Why a version was rolled back. */
enum class fault_kind : std::uint8_t {
  Error, ///< more failed requests than on the old version
  Slow,  ///< more slow answers than on the old version
};

/** Number of fault kinds, for arrays with one element for each kind. */
constexpr std::size_t FaultKinds = 2;

/** The fault for which a version was rolled back, and the route it was on. */
struct move_fault {
  route_name Route;
  fault_kind Kind = fault_kind::Error;
};

/** The stored row that says how a move ended. Written once, never changed. */
struct move_record {
  move_outcome Outcome = move_outcome::Done;
  std::optional<move_fault> Fault; ///< why it was rolled back, if for a fault

  /** @returns the record as JSON, which parseMoveRecord() reads. */
  std::string serialize() const;
};

/** @returns the name of the outcome in the stored row. */
std::string_view outcomeName(move_outcome Outcome);

/** @returns the name of the fault in the stored row. */
std::string_view faultName(fault_kind Kind);

/** @returns the record in @p Text, or nothing when it is malformed. */
std::optional<move_record> parseMoveRecord(std::string_view Text);

} // namespace sesamepaddle

#endif
