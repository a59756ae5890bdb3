#ifndef SESAMEPADDLE_ADMISSION_OVERLOAD_GATE_H
#define SESAMEPADDLE_ADMISSION_OVERLOAD_GATE_H

#include "sesamepaddle/core/clock.h"

#include <optional>

namespace sesamepaddle {

/** Decides which requests a VM refuses while it has less processor time than
    its callers ask for.

    It answers a load that stays above what the VM can carry: a retry storm, a
    hot workspace, a VM that turned slow. The measure is the time for which what
    is ready waits for its turn in the event loop; it is the same on a VM of any
    size. A single long wait, as while a configuration is parsed, refuses
    nothing: the wait has to stand for a while. The less urgent a request, the
    sooner it is refused. */
class overload_gate {
public:
  /** Records that something ready waited for @p Wait until its turn. */
  void observe(duration Wait, time_point Now);

  /** @param Priority  0 is the most urgent
      @returns true when a request of this priority is to be served */
  bool admits(int Priority, time_point Now) const;

  /** @returns true while callers should prefer other VMs: waits are long, or
      were a moment ago. */
  bool isBusy(time_point Now) const;

private:
  /** @returns true when waits have been long for a while. */
  bool isStanding() const;

  duration LatestWait{0};
  time_point LatestAt{};
  std::optional<time_point> LongSince; ///< first of the latest long waits
  time_point BusyUntil{};
};

} // namespace sesamepaddle

#endif
