#ifndef SESAMEPADDLE_MOVES_TRAFFIC_RAMP_H
#define SESAMEPADDLE_MOVES_TRAFFIC_RAMP_H

#include "sesamepaddle/core/clock.h"

namespace sesamepaddle {

/** The time and the speed limit of a move of traffic. */
struct move_plan {
  double CapPerMinute = 0.1; ///< largest growth of the moved share per minute
  time_point Start;
  time_point FinishBy;
};

/** @returns true when the cap lets all traffic move in time. */
bool isFeasible(const move_plan &Plan);

/** The share of a VM's traffic that has moved.

    In any interval of time the share grows by at most the cap. The share over
    all VMs is a weighted mean of theirs, so it keeps the cap too, without any
    messages between VMs. A VM that starts during the move catches up at its
    first advance() with the share that the plan has reached by then.
*/
class traffic_ramp {
public:
  explicit traffic_ramp(const move_plan &Plan);

  /** Grows the share for the time up to @p Now. */
  void advance(time_point Now);

  /** Lowers the share to @p Share at once; later growth starts from there. */
  void lowerTo(double Share);

  /** Excludes the time up to @p Now from growth. */
  void pause(time_point Now);

  /** @returns the moved share of this VM's traffic, in [0, 1]. */
  double share() const { return Share; }

private:
  double growthPerSecond(time_point Now) const;

  move_plan Plan;
  double Share;
  time_point LastAdvance;
};

} // namespace sesamepaddle

#endif
