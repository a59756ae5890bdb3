#include "sesamepaddle/moves/route_evidence.h"

#include <algorithm>

namespace sesamepaddle {

namespace {

// Weight of one request in the moving average of the old version's error rate.
constexpr double ErrorRateSmoothing = 0.002;

// Levels at which a move is held, by fault kind: for the series of this VM's
// own requests, and for the sum of the excess over all series.
constexpr std::array<double, FaultKinds> OwnNats = {9, 14};
constexpr std::array<double, FaultKinds> ExcessSumNats = {6, 10};

// The excess of a series is its level minus SingleFaultNats. That is slightly
// more than the largest step of a single fault in cusum_detector, ln(0.5 /
// 0.02) = 3.2. The excess has an upper bound below ExcessSumNats, so one series
// alone never reaches that level.
constexpr double SingleFaultNats = 3.3;
constexpr double LargestExcessNats = 5;

double excessOf(const cusum_detector &Detector) {
  return std::clamp(Detector.level() - SingleFaultNats, 0.0, LargestExcessNats);
}

// A domain's series is ignored when no batch of it arrived for this long. The
// time must be longer than QuietUpdateInterval (version_move.cpp), a VM's
// longest interval between two batches.
constexpr duration SilenceTime = std::chrono::seconds(6);

// A batch with at least this much evidence is sent at once.
constexpr double UrgentNats = 2;

} // namespace

route_evidence::route_evidence(double FalseAlarmRate, double PlannedRestarts)
    : Kinds{
          kind_evidence{{FalseAlarmRate / FaultKinds, PlannedRestarts}, {}, {}},
          kind_evidence{
              {FalseAlarmRate / FaultKinds, PlannedRestarts}, {}, {}}} {}

ratios_by_kind route_evidence::add(const version_sample &Sample) {
  ratios_by_kind Ratios{};
  const bool IsError = Sample.Result != sample_result::Answered;
  Ratios[0] = addOutcome(fault_kind::Error, IsError, Sample.IsNew,
                         Sample.NewShare, ErrorRate);
  if (!Sample.IsNew)
    ErrorRate += ErrorRateSmoothing * ((IsError ? 1 : 0) - ErrorRate);
  if (IsError)
    return Ratios;
  if (OldLatencies.isReady())
    Ratios[1] =
        addOutcome(fault_kind::Slow, OldLatencies.isSlow(Sample.Latency),
                   Sample.IsNew, Sample.NewShare, OldLatencies.slowRate());
  if (!Sample.IsNew)
    OldLatencies.add(Sample.Latency);
  return Ratios;
}

ratios_by_kind route_evidence::addCrash(const counted_crash &Crash) {
  return {addOutcome(fault_kind::Error, true, Crash.IsNew, Crash.NewShare,
                     ErrorRate)};
}

void route_evidence::addBatch(const failure_domain_name &Domain,
                              const evidence_batch &Batch, time_point Now) {
  for (std::size_t Index = 0; Index < FaultKinds; ++Index) {
    Kinds[Index].Comparison.addRatios(Batch.Kinds[Index].Comparison);
    auto &Series = Kinds[Index].OfDomains[Domain];
    Series.Detector.addSeries(Batch.Kinds[Index].Rise);
    Series.LastHeard = Now;
  }
}

void route_evidence::restart() {
  for (auto &Kind : Kinds)
    Kind.Comparison.restart();
}

void route_evidence::restartSuspected() {
  for (auto &Kind : Kinds)
    Kind.Comparison.restartSuspected();
}

std::optional<fault_kind> route_evidence::rejectedFor() const {
  for (std::size_t Index = 0; Index < FaultKinds; ++Index)
    if (Kinds[Index].Comparison.isRejected())
      return static_cast<fault_kind>(Index);
  return std::nullopt;
}

bool route_evidence::isSuspected(time_point Now) const {
  for (std::size_t Index = 0; Index < FaultKinds; ++Index) {
    const auto &Kind = Kinds[Index];
    double Sum = excessOf(Kind.Own);
    for (const auto &[Domain, Series] : Kind.OfDomains)
      if (Now - Series.LastHeard < SilenceTime)
        Sum += excessOf(Series.Detector);
    if (Kind.Own.level() >= OwnNats[Index] || Sum >= ExcessSumNats[Index])
      return true;
  }
  return false;
}

void route_evidence::clearSuspicion() {
  for (auto &Kind : Kinds) {
    Kind.Own.reset();
    Kind.OfDomains.clear();
  }
}

bool route_evidence::isBatchUrgent() const {
  return std::ranges::any_of(Kinds, [](const kind_evidence &Kind) {
    return Kind.Comparison.pendingRise() >= UrgentNats ||
           Kind.Own.pending().FromZeroNats >= UrgentNats;
  });
}

evidence_batch route_evidence::takeBatch() {
  evidence_batch Batch;
  for (std::size_t Index = 0; Index < FaultKinds; ++Index) {
    Batch.Kinds[Index].Comparison = Kinds[Index].Comparison.takePending();
    Batch.Kinds[Index].Rise = Kinds[Index].Own.takePending();
  }
  return Batch;
}

log_ratios route_evidence::addOutcome(fault_kind Kind, bool IsFault, bool IsNew,
                                      double NewShare, double UsualRate) {
  auto &Evidence = evidenceOf(Kind);
  if (IsNew)
    Evidence.Own.add(IsFault, UsualRate);
  return Evidence.Comparison.add(IsFault, IsNew, NewShare, UsualRate);
}

route_evidence::kind_evidence &route_evidence::evidenceOf(fault_kind Kind) {
  return Kinds[static_cast<std::size_t>(Kind)];
}

} // namespace sesamepaddle
