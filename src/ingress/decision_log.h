#ifndef SESAMEPADDLE_SRC_INGRESS_DECISION_LOG_H
#define SESAMEPADDLE_SRC_INGRESS_DECISION_LOG_H

#include "sesamepaddle/core/clock.h"
#include "sesamepaddle/telemetry/log.h"

#include <cstddef>
#include <string>
#include <string_view>

namespace sesamepaddle {

/** Writes one line for each decision on a request, within a bound per second,
    so that logs cost little under load. */
class decision_log {
public:
  explicit decision_log(std::string_view Part) : Log(Part) {}

  /** Writes @p Line, or counts it when this second has had its lines. */
  void write(const std::string &Line, time_point Now) {
    if (Now - SecondStart >= std::chrono::seconds(1)) {
      if (Dropped > 0)
        Log.warn("lines dropped=" + std::to_string(Dropped));
      SecondStart = Now;
      Written = 0;
      Dropped = 0;
    }
    if (Written >= MaxLinesPerSecond) {
      ++Dropped;
      return;
    }
    ++Written;
    Log.info(Line);
  }

private:
  // About 10 microseconds each: a fifth of a percent of a core.
  static constexpr std::size_t MaxLinesPerSecond = 200;

  part_log Log;
  time_point SecondStart{};
  std::size_t Written = 0;
  std::size_t Dropped = 0;
};

} // namespace sesamepaddle

#endif
