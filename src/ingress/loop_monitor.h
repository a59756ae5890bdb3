#ifndef SESAMEPADDLE_SRC_INGRESS_LOOP_MONITOR_H
#define SESAMEPADDLE_SRC_INGRESS_LOOP_MONITOR_H

#include "sesamepaddle/admission/overload_gate.h"
#include "sesamepaddle/core/clock.h"
#include "sesamepaddle/net/asio.h"

#include <algorithm>
#include <memory>

namespace sesamepaddle {

/** Measures how long what is ready waits for its turn in an event loop, and
    reports it to an overload_gate.

    It measures while requests arrive: a handler that is queued when one arrives
    runs after all that was ready before it, that is about one pass later. */
class loop_monitor : public std::enable_shared_from_this<loop_monitor> {
public:
  loop_monitor(asio::io_context &Context, overload_gate &Gate)
      : Context(Context), Gate(Gate) {}

  /** To be called at each run of a periodic task that is due next at @p Next. A
      loop that was held up runs it late. */
  void noteTick(time_point Now, time_point Next) {
    if (NextTick != time_point{} && Now > NextTick)
      record(Now - NextTick, Now);
    NextTick = Next;
  }

  /** To be called when a request has been read.
      @returns an estimate of the time that it waited before */
  duration noteRequest(time_point Now) {
    duration Wait = Now - RecordedAt < RecordLifetime ? Latest : duration{0};
    // While a task is overdue, the loop has not looked for requests.
    if (NextTick != time_point{})
      Wait = std::max(Wait, Now - NextTick);
    if (IsProbing)
      return std::max(Wait, Now - ProbeStart);
    IsProbing = true;
    ProbeStart = Now;
    asio::post(Context, [Self = shared_from_this()] {
      const auto End = boot_clock::now();
      Self->IsProbing = false;
      Self->record(End - Self->ProbeStart, End);
    });
    return Wait;
  }

private:
  // A wait is evidence only for what was ready at about the same time.
  static constexpr std::chrono::milliseconds RecordLifetime{100};

  void record(duration Wait, time_point Now) {
    Latest = Wait;
    RecordedAt = Now;
    Gate.observe(Wait, Now);
  }

  asio::io_context &Context;
  overload_gate &Gate;
  bool IsProbing = false;
  time_point ProbeStart{};
  time_point NextTick{}; ///< when the periodic task is due
  duration Latest{0};
  time_point RecordedAt{};
};

} // namespace sesamepaddle

#endif
