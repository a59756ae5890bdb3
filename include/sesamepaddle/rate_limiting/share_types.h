#ifndef SESAMEPADDLE_RATE_LIMITING_SHARE_TYPES_H
#define SESAMEPADDLE_RATE_LIMITING_SHARE_TYPES_H

#include "sesamepaddle/core/clock.h"
#include "sesamepaddle/core/identifiers.h"

#include <chrono>
#include <cstddef>
#include <cstdint>

namespace sesamepaddle {

/** Name of a fleet-wide limit, such as a workspace's rate or a link's bytes. */
using limit_name = identifier<struct limit_tag>;

/** The rate and burst of a limit: in any interval of t seconds all VMs together
    let through at most Burst + RatePerSecond * t units. */
struct limit_shape {
  double RatePerSecond = 0;
  double Burst = 0;
};

/** A fraction of every limit, in millionths. An integer, so that sums are
    exact. */
using share_parts = std::uint32_t;
/** The parts of all VMs and failure domains together. */
constexpr share_parts WholeParts = 1'000'000;

/** Limits are assigned to slots by a hash of their names. Each slot has a home,
    the VM that borrows the parts of all others for the slot's limits. */
constexpr std::size_t SlotCount = 64;
/** A set of slots, one bit each. */
using slot_mask = std::uint64_t;

/** @returns the slot of a limit. */
std::size_t slotOf(const limit_name &Limit);

/** @returns the mask with only the bit of @p Slot. */
constexpr slot_mask maskOf(std::size_t Slot) { return slot_mask{1} << Slot; }

/** Durations on which the limits' correctness depends. */
struct share_timing {
  /** How long a home may use a lent part, from when it sent the request. */
  duration LoanTime = std::chrono::seconds(1);
  /** How often a home renews its loans. */
  duration HeartbeatInterval = std::chrono::milliseconds(500);
  /** How long tokens that a home granted can be spent. */
  duration GrantTime = std::chrono::milliseconds(300);
  /** An owner that did not run for longer than this has lost its part. */
  duration PauseLimit = std::chrono::seconds(5);
  /** How long an owner must be missing from the VM list before its part is
      reclaimed; longer than PauseLimit plus the lag of the list. */
  duration ReclaimWait = std::chrono::seconds(20);
  /** Clock rates differ by less than 1 / DriftDivisor. */
  int DriftDivisor = 100;

  /** @returns @p Time extended by the largest clock drift: once this clock has
      measured the result, every other clock has measured at least @p Time. */
  duration withClockDrift(duration Time) const {
    return Time + Time / DriftDivisor;
  }
};

/** Safety rules; the limits hold only with all of them. All are on by default.
    A test turns off one at a time to show that it detects the violation. */
struct share_rules {
  /** Replies to an earlier process of the same name are ignored. */
  bool ChecksIncarnation = true;
  /** A bucket that becomes deeper gains no tokens from that; it refills at
      its rate. */
  bool StartsEmpty = true;
  /** Before an owner returns parts to the ledger, it stops using them and waits
      for its loans to end. */
  bool ShrinksBeforeGrow = true;
  /** Deadlines are checked when tokens are spent, not only at the heartbeat,
      because the process may have been paused in between. */
  bool ChecksDeadlineAtSpend = true;
  /** A new process uses and lends its part only after the loans of its
      predecessor have ended. */
  bool WaitsOutLoans = true;
  /** Granted tokens reduce the bucket's depth until the grant ends. */
  bool CountsGrants = true;
};

} // namespace sesamepaddle

#endif
