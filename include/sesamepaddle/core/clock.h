#ifndef SESAMEPADDLE_CORE_CLOCK_H
#define SESAMEPADDLE_CORE_CLOCK_H

#include <chrono>
#include <functional>

namespace sesamepaddle {

/** A monotonic clock that keeps running while the machine is suspended.

    Leases and deadlines are checked against it, so that a process that was
    frozen or suspended sees how much time has passed.
*/
struct boot_clock {
  using duration = std::chrono::nanoseconds;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<boot_clock>;
  // NOLINTNEXTLINE(readability-identifier-naming): required by the standard
  static constexpr bool is_steady = true;

  /** @returns the time since boot. */
  static time_point now() noexcept;
};

using time_point = boot_clock::time_point;
using duration = boot_clock::duration;

/** Supplies the current time; tests pass a simulated clock. */
using now_function = std::function<time_point()>;

} // namespace sesamepaddle

#endif
