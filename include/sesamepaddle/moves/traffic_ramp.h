#ifndef SESAMEPADDLE_MOVES_TRAFFIC_RAMP_H
#define SESAMEPADDLE_MOVES_TRAFFIC_RAMP_H

#include "sesamepaddle/core/clock.h"

namespace sesamepaddle {

/** What a move of traffic has to keep to. */
struct move_plan {
  double CapPerMinute = 0.1; ///< largest share of traffic moved per minute
  time_point Start;
  time_point FinishBy;
};

/** @returns true when the cap lets all traffic move in time. */
bool isFeasible(const move_plan &Plan);

/** The share of a VM's traffic that has moved.

    It grows by at most the cap from wherever it is, over every interval. The
    share of all VMs together is a weighted mean of theirs, so it keeps the cap
    too without any message between them. A VM that begins while the move runs
    begins where the plan is by then.
*/
class traffic_ramp {
public:
  explicit traffic_ramp(const move_plan &Plan);

  /** Lets the share grow up to @p Now. */
  void advance(time_point Now);

  /** Takes traffic back at once; later growth starts from there. */
  void lowerTo(double Share);

  /** Lets the time up to @p Now pass without growth. */
  void pause(time_point Now);

  double share() const { return Share; }

private:
  double growthPerSecond(time_point Now) const;

  move_plan Plan;
  double Share;
  time_point LastAdvance;
};

} // namespace sesamepaddle

#endif
