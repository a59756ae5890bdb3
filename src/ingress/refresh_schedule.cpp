#include "sesamepaddle/ingress/refresh_schedule.h"

namespace sesamepaddle {

namespace {

using std::chrono::milliseconds;

// Between two reads by a VM that is no reader. Rows that are old although they
// have just been read are not read again at once.
constexpr milliseconds MinReadInterval{500};
// Between a first failed read and the next one.
constexpr milliseconds MinRetryInterval{250};
// Between two reads that try whether the store answers this VM again, while
// another one reads for it.
constexpr milliseconds TrialInterval{2'000};

} // namespace

bool refresh_schedule::isReadDue(const conditions &Conditions,
                                 time_point Now) const {
  if (!LastRead)
    return true;
  // A single answer may get lost although the store serves this VM.
  const bool IsTurnedAway = FailedReads >= 2;
  if (IsTurnedAway && Now - *LastRead < Conditions.RetryInterval)
    return false;
  if (Conditions.IsReader)
    return FailedReads == 0 || Now - *LastRead >= MinRetryInterval;
  if (Conditions.IsOnTrial && Now - *LastRead >= TrialInterval)
    return true;
  return Conditions.RowAge > Conditions.MaxRowAge &&
         Now - *LastRead >= MinReadInterval;
}

void refresh_schedule::recordRead(bool IsAnswered, time_point Now) {
  LastRead = Now;
  FailedReads = IsAnswered ? 0 : FailedReads + 1;
}

} // namespace sesamepaddle
