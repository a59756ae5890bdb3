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

/** Why a version was taken back. */
enum class fault_kind : std::uint8_t { Error, Slow };

constexpr std::size_t FaultKinds = 2;

/** The evidence that ended a move. */
struct move_fault {
  route_name Route;
  fault_kind Kind = fault_kind::Error;
};

/** The row that says how a move ended; written once. */
struct move_record {
  move_outcome Outcome = move_outcome::Done;
  std::optional<move_fault> Fault;

  std::string serialize() const;
};

std::string_view outcomeName(move_outcome Outcome);
std::string_view faultName(fault_kind Kind);

/** @returns the record in @p Text, or nothing when it holds none. */
std::optional<move_record> parseMoveRecord(std::string_view Text);

} // namespace sesamepaddle

#endif
