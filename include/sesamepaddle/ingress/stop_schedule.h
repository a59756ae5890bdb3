#ifndef SESAMEPADDLE_INGRESS_STOP_SCHEDULE_H
#define SESAMEPADDLE_INGRESS_STOP_SCHEDULE_H

#include "sesamepaddle/core/clock.h"
#include "sesamepaddle/routing/fleet_configuration.h"

#include <chrono>
#include <optional>

namespace sesamepaddle {

/** Decides which requests a VM still takes during a planned stop.

    The VM is killed at the end of a grace period. A request that may still be
    at an endpoint by then would be cut off, so it is refused when it comes: its
    caller can go to another VM at once.
*/
class stop_schedule {
public:
  /** @param Start  when the stop was ordered
      @param GracePeriod  after which the VM is killed; absent: never */
  stop_schedule(time_point Start,
                std::optional<std::chrono::milliseconds> GracePeriod);

  /** @returns true when a request has the time to end.
      @param Deadline  the latest time at which it is answered
      @param UsualTime  time in which nearly all requests of its kind end */
  bool mayTake(request_kind Kind, time_point Deadline, duration UsualTime,
               time_point Now) const;

  /** @returns true when callers may still use what the directory told them
      before the stop. */
  bool isNamed(time_point Now) const;

  /** @returns when all requests must have an answer; time_point::max(): no
      such time. */
  time_point answersDue() const;

  /** @returns when the process ends at the latest; time_point::max(): no such
      time. */
  time_point end() const;

private:
  time_point Start;
  std::optional<std::chrono::milliseconds> GracePeriod;
};

} // namespace sesamepaddle

#endif
