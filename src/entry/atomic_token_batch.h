#ifndef SESAMEPADDLE_ENTRY_ATOMIC_TOKEN_BATCH_H
#define SESAMEPADDLE_ENTRY_ATOMIC_TOKEN_BATCH_H

#include "sesamepaddle/core/clock.h"

#include <atomic>
#include <chrono>
#include <cstdint>

namespace sesamepaddle {

/** The unspent tokens of one rate limit's current batch and their deadline,
    packed into one atomic, so that workers spend tokens without a lock. */
class atomic_token_batch {
public:
  static constexpr std::uint64_t MaxTokens = (1U << 24U) - 1;

  /** Spends one token.
      @returns false if no token is left or the deadline has passed. */
  bool tryTake(time_point Now) {
    std::uint64_t Seen = State.load(std::memory_order_acquire);
    while ((Seen & MaxTokens) > 0 && milliseconds(Now) < Seen >> TokenBits)
      if (State.compare_exchange_weak(Seen, Seen - 1,
                                      std::memory_order_acq_rel))
        return true;
    return false;
  }

  /** Replaces the batch; unspent tokens are dropped.
      @param Tokens  at most MaxTokens */
  void refill(std::uint64_t Tokens, time_point Deadline) {
    State.store(milliseconds(Deadline) << TokenBits | Tokens,
                std::memory_order_release);
  }

private:
  static constexpr unsigned TokenBits = 24;

  // Rounds down. Since both sides of the comparison in tryTake() are rounded,
  // equal values count as expired.
  static std::uint64_t milliseconds(time_point Time) {
    return static_cast<std::uint64_t>(
        std::chrono::duration_cast<std::chrono::milliseconds>(
            Time.time_since_epoch())
            .count());
  }

  // Low 24 bits: number of tokens; upper bits: deadline in milliseconds since
  // boot.
  std::atomic<std::uint64_t> State{0};
};

} // namespace sesamepaddle

#endif
