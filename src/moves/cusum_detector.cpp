#include "sesamepaddle/moves/cusum_detector.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace sesamepaddle {

namespace {

constexpr double SmallestUsualRate = 0.02;
constexpr double UsualRateMargin = 2;
constexpr double LargestUsualRate = 0.4;
constexpr double RaisedRate = 0.5;
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

// Equal to taking the peer's requests one by one.
void cusum_detector::addSeries(const cusum_summary &Series) {
  Level = std::clamp(Level + Series.SumNats, Series.FromZeroNats,
                     std::max(Series.FromZeroNats, LargestLevelNats));
}

cusum_summary cusum_detector::takePending() {
  return std::exchange(Pending, cusum_summary{});
}

} // namespace sesamepaddle
