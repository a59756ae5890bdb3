#include "sesamepaddle/admission/overload_gate.h"

#include <algorithm>

namespace sesamepaddle {

namespace {

using std::chrono::milliseconds;

// A wait up to this is short. A request takes its turn about three times, when
// it is read, when its answer is read and when a connection opens; together
// that stays well below the latency objectives of 200 ms and more.
constexpr milliseconds ShortWait{25};
// Waits have to be longer than ShortWait for this time before a request is
// refused, so that one long task of the event loop refuses nothing.
constexpr milliseconds StandingTime{150};
// Wait from which requests of the least urgent priority are refused; twice and
// four times as much for the next two.
constexpr milliseconds LeastUrgentBound{50};
constexpr int LeastUrgentPriority = 2;
// An observation older than this says nothing about the present.
constexpr milliseconds ObservationLifetime{500};
// A VM counts as busy for this long after a wait that was not short, so that
// its messages report it at least once.
constexpr milliseconds BusyTime{1'500};

} // namespace

void overload_gate::observe(duration Wait, time_point Now) {
  const bool IsFirst = Now - LatestAt > ObservationLifetime;
  LatestWait = Wait;
  LatestAt = Now;
  if (Wait <= ShortWait || IsFirst)
    LongSince.reset();
  else if (!LongSince)
    LongSince = Now;
  if (isStanding())
    BusyUntil = Now + BusyTime;
}

bool overload_gate::isStanding() const {
  return LongSince && LatestAt - *LongSince >= StandingTime;
}

bool overload_gate::admits(int Priority, time_point Now) const {
  if (Now - LatestAt > ObservationLifetime || !isStanding())
    return true;
  const int Steps =
      LeastUrgentPriority - std::clamp(Priority, 0, LeastUrgentPriority);
  return LatestWait < LeastUrgentBound * (1 << Steps);
}

bool overload_gate::isBusy(time_point Now) const { return Now < BusyUntil; }

} // namespace sesamepaddle
