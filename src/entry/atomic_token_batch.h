#ifndef SESAMEPADDLE_ENTRY_LIMIT_CELL_H
#define SESAMEPADDLE_ENTRY_LIMIT_CELL_H

#include "sesamepaddle/core/clock.h"

#include <atomic>
#include <chrono>
#include <cstdint>

namespace sesamepaddle {

/** Tokens of one limit that workers spend without a lock. */
class atomic_token_batch {
public:
  static constexpr std::uint64_t MostTokens = (1U << 24U) - 1;

  /** Spends one token. @returns false when there is none before the deadline.
   */
  bool tryTake(time_point Now) {
    std::uint64_t Seen = State.load(std::memory_order_acquire);
    while ((Seen & MostTokens) > 0 && milliseconds(Now) < Seen >> TokenBits)
      if (State.compare_exchange_weak(Seen, Seen - 1,
                                      std::memory_order_acq_rel))
        return true;
    return false;
  }

  /** Replaces what is there; unspent tokens are lost. */
  void refill(std::uint64_t Tokens, time_point Deadline) {
    State.store(milliseconds(Deadline) << TokenBits | Tokens,
                std::memory_order_release);
  }

private:
  static constexpr unsigned TokenBits = 24;

  // Both sides are rounded down, so that equality means too late.
  static std::uint64_t milliseconds(time_point Time) {
    return static_cast<std::uint64_t>(
        std::chrono::duration_cast<std::chrono::milliseconds>(
            Time.time_since_epoch())
            .count());
  }

  // The deadline in milliseconds since boot above the number of tokens.
  std::atomic<std::uint64_t> State{0};
};

} // namespace sesamepaddle

#endif
