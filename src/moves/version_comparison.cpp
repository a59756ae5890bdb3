#include "sesamepaddle/moves/version_comparison.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace sesamepaddle {

namespace {

// Prior weights of the times at which the version may turn bad: at the start of
// the move, at any restart() and at any restartSuspected(). Their sum must not
// exceed 1, so that the statistic is an e-process and Ville's inequality bounds
// the false alarms.
constexpr double InitialWeight = 0.3;
constexpr double RestartsWeight = 0.2;
constexpr double SuspectedWeight = 0.5;

// The share is kept between this and 1 minus this.
constexpr double SmallestShare = 1e-4;

// Lower bound of the usual rate. At 0 a fault on the old version would have no
// finite log likelihood ratio.
constexpr double SmallestUsualRate = 0.002;

// An alternative counts as a bad version only when its fault rate is at least
// this multiple of the usual one.
constexpr double SmallestRise = 1.5;

// The log likelihood ratio of the version that a request went to, given its
// outcome. When both versions are equally good, the version is drawn
// independently of the outcome. The likelihood ratio then has mean 1, whatever
// the true fault rate is.
double logRatio(bool IsFault, bool IsNew, double Share, double Usual,
                double Bad) {
  const double OnNew = IsFault ? Bad : 1 - Bad;
  const double OnOld = IsFault ? Usual : 1 - Usual;
  const double OnEither = Share * OnNew + (1 - Share) * OnOld;
  return std::log((IsNew ? OnNew : OnOld) / OnEither);
}

} // namespace

version_comparison::version_comparison(double FalseAlarmRate,
                                       double PlannedRestarts)
    : Threshold(1 / FalseAlarmRate),
      RestartWeight(RestartsWeight / std::max(1.0, PlannedRestarts)),
      RestartWeightLeft(RestartsWeight), SuspectedWeightLeft(SuspectedWeight) {
  inject(InitialWeight);
}

log_ratios version_comparison::add(bool IsFault, bool IsNew, double NewShare,
                                   double UsualRate) {
  const double Share = std::clamp(NewShare, SmallestShare, 1 - SmallestShare);
  const double Usual = std::max(UsualRate, SmallestUsualRate);
  log_ratios Ratios{};
  for (std::size_t Index = 0; Index < Ratios.size(); ++Index) {
    if (BadFaultRates[Index] < Usual * SmallestRise)
      continue;
    Ratios[Index] =
        logRatio(IsFault, IsNew, Share, Usual, BadFaultRates[Index]);
    Pending[Index] += Ratios[Index];
  }
  addRatios(Ratios);
  return Ratios;
}

void version_comparison::addRatios(const log_ratios &Ratios) {
  for (std::size_t Index = 0; Index < Ratios.size(); ++Index)
    Evidence[Index] *= std::exp(Ratios[Index]);
  updateRejected();
}

void version_comparison::restart() {
  const double Weight = std::min(RestartWeight, RestartWeightLeft);
  RestartWeightLeft -= Weight;
  inject(Weight);
}

void version_comparison::restartSuspected() {
  const double Weight = SuspectedWeightLeft / 2;
  SuspectedWeightLeft -= Weight;
  inject(Weight);
}

log_ratios version_comparison::takePending() {
  const log_ratios Taken = Pending;
  Pending.fill(0);
  return Taken;
}

double version_comparison::pendingRise() const {
  return *std::ranges::max_element(Pending);
}

void version_comparison::inject(double Weight) {
  for (auto &Value : Evidence)
    Value += Weight / static_cast<double>(Evidence.size());
}

void version_comparison::updateRejected() {
  const double Total = std::accumulate(Evidence.begin(), Evidence.end(), 0.0);
  Rejected = Rejected || Total >= Threshold;
}

} // namespace sesamepaddle
