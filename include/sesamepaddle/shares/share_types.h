#ifndef SESAMEPADDLE_SHARES_SHARE_TYPES_H
#define SESAMEPADDLE_SHARES_SHARE_TYPES_H

#include "sesamepaddle/core/clock.h"
#include "sesamepaddle/core/identifiers.h"

#include <chrono>
#include <cstddef>
#include <cstdint>

namespace sesamepaddle {

/** Names one fleet-wide limit, such as a workspace's rate or a link's bytes. */
using limit_name = identifier<struct limit_tag>;

/** What all VMs together may let through: over every interval of t seconds at
    most Burst + RatePerSecond * t units. */
struct limit_shape {
  double RatePerSecond = 0;
  double Burst = 0;
};

/** A fraction of every limit, in millionths. Whole numbers add up exactly. */
using share_parts = std::uint32_t;
constexpr share_parts WholeParts = 1'000'000;

/** Limits are spread over slots by a hash of their names; each slot has a home.
 */
constexpr std::size_t SlotCount = 64;
using slot_mask = std::uint64_t;

/** @returns the slot of a limit. */
std::size_t slotOf(const limit_name &Limit);

/** @returns the mask with only the bit of @p Slot. */
constexpr slot_mask maskOf(std::size_t Slot) { return slot_mask{1} << Slot; }

/** Times that the rules of safety build on. */
struct share_timing {
  duration LoanTime = std::chrono::seconds(1);
  duration HeartbeatInterval = std::chrono::milliseconds(500);
  /** How long tokens that a home handed out can be spent. */
  duration GrantTime = std::chrono::milliseconds(300);
  /** An owner that did not run for so long has lost its part. */
  duration PauseLimit = std::chrono::seconds(5);
  /** How long the VM list must lack an owner before its part is given out
      again; longer than PauseLimit plus the lag of the list. */
  duration ReclaimWait = std::chrono::seconds(20);
  /** Clocks run apart by less than one part in so many. */
  int DriftDivisor = 100;

  /** @returns @p Time on this clock lengthened so that no other clock can have
      measured less. */
  duration withClockDrift(duration Time) const {
    return Time + Time / DriftDivisor;
  }
};

/** Rules without which the limits do not hold. Each is on; a test turns one off
    to show that its absence is noticed. */
struct share_rules {
  /** Answers to an earlier process of the same name are refused. */
  bool ChecksIncarnation = true;
  /** Rights that come in bring no tokens with them. */
  bool StartsEmpty = true;
  /** An owner stops using a part, and waits for its loans to end, before the
      ledger gives the part out. */
  bool ShrinksBeforeGrow = true;
  /** Deadlines are checked when tokens are spent, not at the heartbeat. */
  bool ChecksDeadlineAtSpend = true;
  /** A new process waits until loans of its predecessor have ended. */
  bool WaitsOutLoans = true;
  /** Tokens handed out count against the depth until they end. */
  bool CountsGrants = true;
};

} // namespace sesamepaddle

#endif
