#include "sesamepaddle/core/clock.h"

#include <ctime>

namespace sesamepaddle {

boot_clock::time_point boot_clock::now() noexcept {
  timespec Time{};
  ::clock_gettime(CLOCK_BOOTTIME, &Time);
  return time_point(std::chrono::seconds(Time.tv_sec) +
                    std::chrono::nanoseconds(Time.tv_nsec));
}

} // namespace sesamepaddle
