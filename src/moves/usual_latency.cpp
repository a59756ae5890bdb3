#include "sesamepaddle/moves/usual_latency.h"

#include <algorithm>

namespace sesamepaddle {

namespace {

// Answers from which an average is used.
constexpr unsigned MinAnswers = 10;
// The average moves by at most this part with each answer, so that it follows
// changes of load within some tens of answers.
constexpr double LeastWeight = 0.05;
// Ratio of the work on an unknown object to that on a known one. Used until
// enough answers for unknown objects have come; at the old version they are
// rare.
constexpr double UnknownWorkRatio = 3.3;
// An answer that takes this many times the usual time is slow. Work spreads by
// some tenths around its mean; a faulty version takes several times as long.
constexpr double SlowFactor = 2.2;

double toSeconds(duration Time) {
  return std::chrono::duration<double>(Time).count();
}

} // namespace

void usual_latency::average::add(double Latest) {
  ++Answers;
  const double Weight = std::max(LeastWeight, 1.0 / Answers);
  Seconds += Weight * (Latest - Seconds);
}

bool usual_latency::average::isUsable() const { return Answers >= MinAnswers; }

void usual_latency::add(bool IsKnownObject, duration Took) {
  (IsKnownObject ? Known : Unknown).add(toSeconds(Took));
}

bool usual_latency::isSlow(bool IsKnownObject, duration Took) const {
  const average &Same = IsKnownObject ? Known : Unknown;
  if (Same.isUsable())
    return toSeconds(Took) > SlowFactor * Same.Seconds;
  return !IsKnownObject && Known.isUsable() &&
         toSeconds(Took) > SlowFactor * UnknownWorkRatio * Known.Seconds;
}

duration usual_latency::forUnknownObject() const {
  const double Seconds = Unknown.isUsable() ? Unknown.Seconds
                         : Known.isUsable() ? UnknownWorkRatio * Known.Seconds
                                            : 0;
  return std::chrono::duration_cast<duration>(
      std::chrono::duration<double>(Seconds));
}

} // namespace sesamepaddle
