#include "sesamepaddle/moves/version_comparison.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace sesamepaddle {

namespace {

// How the prior weight of all start times, 1 in sum, is divided. A sum that
// never exceeds 1 keeps the statistic an e-process, by Ville's inequality.
constexpr double InitialWeight = 0.3;
constexpr double RestartsWeight = 0.2;
constexpr double SuspectedWeight = 0.5;

constexpr double SmallestShare = 1e-4;
constexpr double SmallestUsualRate = 0.002;

// An alternative nearer to the usual rate than this is no bad version.
constexpr double SmallestRise = 1.5;

// The versions are drawn independently of the outcome when they are equally
// good, so the ratio has mean 1 then, whatever the true fault rate is.
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
  update();
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

void version_comparison::update() {
  const double Total = std::accumulate(Evidence.begin(), Evidence.end(), 0.0);
  Rejected = Rejected || Total >= Threshold;
}

} // namespace sesamepaddle
