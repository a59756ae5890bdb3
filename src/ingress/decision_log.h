#ifndef SESAMEPADDLE_SRC_INGRESS_DECISION_LOG_H
#define SESAMEPADDLE_SRC_INGRESS_DECISION_LOG_H

#include "sesamepaddle/core/clock.h"
#include "sesamepaddle/telemetry/log.h"

#include <cstddef>
#include <string>
#include <string_view>

namespace sesamepaddle {

/** Logs one line for each decision on a request. The lines per second are
    limited, so that logging stays cheap under load. */
class decision_log {
public:
  explicit decision_log(std::string_view Part) : Log(Part) {}

  /** Writes the line that @p MakeLine returns, or counts it as dropped when the
      limit of the current second is reached. The line is made only when it is
      written: under overload most are not. */
  template <typename Function> void write(Function MakeLine, time_point Now) {
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
    Log.info(MakeLine());
  }

private:
  // A line takes about 10 microseconds, so these take 0.2 % of a core.
  static constexpr std::size_t MaxLinesPerSecond = 200;

  component_log Log;
  time_point SecondStart{};
  std::size_t Written = 0;
  std::size_t Dropped = 0;
};

} // namespace sesamepaddle

#endif
