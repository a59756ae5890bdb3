#ifndef SESAMEPADDLE_INGRESS_REFRESH_SCHEDULE_H
#define SESAMEPADDLE_INGRESS_REFRESH_SCHEDULE_H

#include "sesamepaddle/core/clock.h"

#include <chrono>
#include <optional>

namespace sesamepaddle {

/** Decides when a VM reads a table from the store itself.

    A few VMs, the readers, read the store for all others. The others rely on
    them only while their own rows are recent: a reader may be slow, cut off or
    wrong about its rows, so the age of the rows decides and not what a reader
    answered.
*/
class refresh_schedule {
public:
  /** What the decision depends on. */
  struct conditions {
    bool IsReader = false; ///< no other VM reads the store for this one
    /** Age of this VM's rows: changes since then may be missing. */
    std::chrono::milliseconds RowAge = std::chrono::milliseconds::max();
    /** Age from which a VM that is no reader reads the store itself. */
    std::chrono::milliseconds MaxRowAge{1'500};
    /** Time between two reads once the store has failed this VM twice in a
        row. */
    std::chrono::milliseconds RetryInterval{0};
    /** This VM's latest read of the store failed, and it would read for others
        if the store answered. */
    bool IsOnTrial = false;
  };

  /** @returns true when the table should be read now. */
  bool isReadDue(const conditions &Conditions, time_point Now) const;

  /** Records the end of a read. */
  void recordRead(bool IsAnswered, time_point Now);

private:
  std::optional<time_point> LastRead;
  unsigned FailedReads = 0; ///< in a row
};

} // namespace sesamepaddle

#endif
