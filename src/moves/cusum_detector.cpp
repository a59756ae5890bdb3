#include "sesamepaddle/moves/cusum_detector.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace sesamepaddle {

namespace {

// Fault rates, as shares of the requests. The statistic compares the likelihood
// of each outcome at RaisedRate with that at the usual rate, which is
// multiplied by UsualRateMargin first and then kept within the bounds.
constexpr double RaisedRate = 0.5;
constexpr double UsualRateMargin = 2;
constexpr double SmallestUsualRate = 0.02;
constexpr double LargestUsualRate = 0.4;

// Upper bound of the level. It limits how many requests without a fault are
// needed to bring the level back to 0.
constexpr double LargestLevelNats = 30;

} // namespace

void cusum_summary::add(double Nats) {
  SumNats += Nats;
  FromZeroNats = std::max(0.0, FromZeroNats + Nats);
}

void cusum_detector::add(bool IsFault, double UsualRate) {
  const double Usual = std::clamp(UsualRate * UsualRateMargin,
                                  SmallestUsualRate, LargestUsualRate);
  const double Nats = IsFault ? std::log(RaisedRate / Usual)
                              : std::log((1 - RaisedRate) / (1 - Usual));
  Pending.add(Nats);
  Level = std::clamp(Level + Nats, 0.0, LargestLevelNats);
}

// Has the same effect as adding the peer's requests one by one, except for the
// upper bound: it applies only at the end of the series, and FromZeroNats may
// exceed it.
void cusum_detector::addSeries(const cusum_summary &Series) {
  Level = std::clamp(Level + Series.SumNats, Series.FromZeroNats,
                     std::max(Series.FromZeroNats, LargestLevelNats));
}

cusum_summary cusum_detector::takePending() {
  return std::exchange(Pending, cusum_summary{});
}

} // namespace sesamepaddle
