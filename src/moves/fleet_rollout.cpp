#include "sesamepaddle/moves/fleet_rollout.h"

#include <algorithm>
#include <cmath>

namespace sesamepaddle {

namespace {

// Parts of rollout_limits that may be used before all traffic moves. The rest
// covers a version that turns bad during the shift.
constexpr double UsedShare = 0.25;
constexpr double UsedSlack = 0.25;

// Probability that a request goes to the new version before the shift, as long
// as those parts are not used up.
constexpr double EarlyShare = 0.3;

// All traffic moves ShiftBefore the end of the order's time. The completion is
// proposed RecordBefore that end, when the requests that were under way at the
// old endpoints have had time to finish.
constexpr std::chrono::milliseconds ShiftBefore{3'000};
constexpr std::chrono::milliseconds RecordBefore{1'500};

// For this time at the start of the shift the new version gets only this share,
// so that a fault that occurs under load shows before all requests meet it.
constexpr std::chrono::milliseconds PartialShiftTime{600};
constexpr double PartialShiftShare = 0.4;

// Answers of the last JudgedWindow are also judged on their own: as the
// increase of the counts since a snapshot. A snapshot is taken every
// SnapshotInterval.
constexpr std::chrono::milliseconds JudgedWindow{2'000};
constexpr std::chrono::milliseconds SnapshotInterval{400};

// With fewer answers of the new version than this, over all VMs, it is not
// judged good and traffic does not shift to it.
constexpr std::size_t MinSamples = 8;

// The new version is judged bad, on one route or over all routes, when three
// conditions hold: it has MinBadAnswers, they are MinBadShare of its answers,
// and they exceed by MinDeviations standard deviations the number that the old
// version's share of bad answers predicts. That share is taken to be at least
// MinUsualBadShare.
constexpr std::uint32_t MinBadAnswers = 5;
constexpr double MinBadShare = 0.2;
// The same for errors alone, which load does not explain.
constexpr double MinErrorShare = 0.1;
constexpr double MinDeviations = 3.5;
constexpr double MinUsualBadShare = 0.02;

void add(rollout_counts &Sum, const rollout_counts &More) {
  Sum.NewGood += More.NewGood;
  Sum.NewBad += More.NewBad;
  Sum.OldGood += More.OldGood;
  Sum.OldBad += More.OldBad;
  Sum.NewErrors += More.NewErrors;
  Sum.OldErrors += More.OldErrors;
}

std::uint32_t increaseOf(std::uint32_t Now, std::uint32_t Before) {
  // A VM that restarted counts from zero again.
  return Now > Before ? Now - Before : 0;
}

rollout_counts difference(const rollout_counts &Now,
                          const rollout_counts &Before) {
  return {increaseOf(Now.NewGood, Before.NewGood),
          increaseOf(Now.NewBad, Before.NewBad),
          increaseOf(Now.OldGood, Before.OldGood),
          increaseOf(Now.OldBad, Before.OldBad),
          increaseOf(Now.NewErrors, Before.NewErrors),
          increaseOf(Now.OldErrors, Before.OldErrors)};
}

/** @returns true when @p Bad of @p Answers are more than chance explains.
    @param UsualShare  of bad answers */
bool isUnusual(double Bad, double Answers, double UsualShare, double MinShare) {
  const double Usual = std::clamp(UsualShare, MinUsualBadShare, 1.0);
  const double Deviation = std::sqrt(Answers * Usual * (1 - Usual));
  return Bad >= MinBadAnswers && Bad >= Answers * MinShare &&
         Bad >= Answers * Usual + MinDeviations * Deviation;
}

/** @returns true when @p Counts show that the new version is bad.
    @param Since  counts since the order. They also give the old version's share
                  of bad answers: the old version has no recent answers once all
                  traffic is at the new one. */
bool isWorse(const rollout_counts &Counts, const rollout_counts &Since) {
  const auto ShareOf = [](std::uint32_t Part, const rollout_counts &Of) {
    const double All = Of.OldBad + Of.OldGood;
    return All == 0 ? 0 : Part / All;
  };
  const double Answers = Counts.NewBad + Counts.NewGood;
  const double OldBad =
      std::max(ShareOf(Counts.OldBad, Counts), ShareOf(Since.OldBad, Since));
  const double OldErrors = std::max(ShareOf(Counts.OldErrors, Counts),
                                    ShareOf(Since.OldErrors, Since));
  return isUnusual(Counts.NewBad, Answers, OldBad, MinBadShare) ||
         isUnusual(Counts.NewErrors, Answers, OldErrors, MinErrorShare);
}

} // namespace

std::string_view nameOf(rollout_stage Stage) {
  switch (Stage) {
  case rollout_stage::Early:
    return "early";
  case rollout_stage::Shifting:
    return "shifting";
  case rollout_stage::Faulty:
    return "faulty";
  case rollout_stage::Completed:
    return "completed";
  case rollout_stage::RolledBack:
    return "rolled-back";
  }
  return "unknown";
}

fleet_rollout::fleet_rollout(rollout_order Order, rollout_limits Limits,
                             time_point Start)
    : Order(std::move(Order)), Limits(Limits), Start(Start) {}

bool fleet_rollout::drawNew(double Draw, std::size_t Vms) {
  ++Requests;
  if (Recorded)
    return *Recorded == rollout_outcome::Completed;
  if (IsFaulty)
    return false;
  const double MostToNew =
      UsedShare * Limits.Share * static_cast<double>(Requests) +
      UsedSlack * Limits.Slack /
          static_cast<double>(std::max<std::size_t>(Vms, 1));
  const bool IsPartialShift = LatestAdvance - ShiftStart < PartialShiftTime;
  if (IsShifting) {
    ++SentToNew;
    return !IsPartialShift || Draw < PartialShiftShare;
  }
  const bool IsNew =
      Draw < EarlyShare && static_cast<double>(SentToNew) + 1 <= MostToNew;
  SentToNew += IsNew ? 1 : 0;
  return IsNew;
}

void fleet_rollout::observe(const route_name &Route, bool IsNew, bool IsBad) {
  auto &Counts = Own[Route.str()];
  if (IsNew)
    ++(IsBad ? Counts.NewBad : Counts.NewGood);
  else
    ++(IsBad ? Counts.OldBad : Counts.OldGood);
}

void fleet_rollout::observeError(const route_name &Route, bool IsNew) {
  observe(Route, IsNew, true);
  auto &Counts = Own[Route.str()];
  ++(IsNew ? Counts.NewErrors : Counts.OldErrors);
}

// Once all traffic moves, the endpoints of the new version meet all objects at
// once, and the queues slow good versions down as well.
void fleet_rollout::observeLatency(const route_name &Route, bool IsNew,
                                   bool IsKnownObject, duration Took) {
  auto &Usual = UsualByRoute[Route.str()];
  observe(Route, IsNew, !IsShifting && Usual.isSlow(IsKnownObject, Took));
  if (!IsNew)
    Usual.add(IsKnownObject, Took);
}

void fleet_rollout::applyPeer(const std::string &Vm, rollout_report Report) {
  IsFaulty = IsFaulty || Report.IsFaulty;
  if (Report.Recorded && !Recorded)
    record(*Report.Recorded);
  Peers[Vm] = std::move(Report);
}

fleet_rollout::counts_by_route fleet_rollout::sum() const {
  counts_by_route Sum = Own;
  for (const auto &[Vm, Report] : Peers)
    for (const auto &[Route, Counts] : Report.CountsByRoute)
      add(Sum[Route], Counts);
  return Sum;
}

// A fault may begin late or only under load. Earlier answers must not hide it,
// so the latest answers are also judged on their own.
bool fleet_rollout::isFaultFound(time_point Now) {
  const auto Sum = sum();
  if (Snapshots.empty() || Now - Snapshots.back().At >= SnapshotInterval)
    Snapshots.push_back({Now, Sum});
  while (Snapshots.size() > 1 && Now - Snapshots[1].At >= JudgedWindow)
    Snapshots.pop_front();
  const auto &Earlier = Snapshots.front().Counts;
  rollout_counts All;
  rollout_counts AllLatest;
  for (const auto &[Route, Counts] : Sum) {
    const auto Before = Earlier.find(Route);
    const auto Latest =
        Before == Earlier.end() ? Counts : difference(Counts, Before->second);
    if (isWorse(Counts, Counts) || isWorse(Latest, Counts))
      return true;
    add(All, Counts);
    add(AllLatest, Latest);
  }
  return isWorse(All, All) || isWorse(AllLatest, All);
}

std::size_t fleet_rollout::newSamples() const {
  std::size_t Samples = 0;
  for (const auto &[Route, Counts] : Own)
    Samples += Counts.NewGood + Counts.NewBad;
  for (const auto &[Vm, Report] : Peers)
    for (const auto &[Route, Counts] : Report.CountsByRoute)
      Samples += Counts.NewGood + Counts.NewBad;
  return Samples;
}

void fleet_rollout::advance(time_point Now, bool IsStoreFresh) {
  LatestAdvance = Now;
  if (Recorded)
    return;
  IsFaulty = IsFaulty || isFaultFound(Now);
  if (IsFaulty) {
    IsShifting = false;
    Proposal = rollout_outcome::RolledBack;
    return;
  }
  const auto Age = Now - Start;
  const bool IsJudged = newSamples() >= MinSamples;
  if (Age >= Order.Duration && !IsShifting) {
    Proposal = rollout_outcome::RolledBack;
    return;
  }
  const bool WasShifting = IsShifting;
  IsShifting = IsStoreFresh && IsJudged && Age >= Order.Duration - ShiftBefore;
  if (IsShifting && !WasShifting)
    ShiftStart = Now;
  if (IsShifting && Age >= Order.Duration - RecordBefore)
    Proposal = rollout_outcome::Completed;
  else
    Proposal.reset();
}

void fleet_rollout::record(rollout_outcome Outcome) {
  Recorded = Outcome;
  IsShifting = Outcome == rollout_outcome::Completed;
  Proposal.reset();
}

rollout_stage fleet_rollout::stage() const {
  if (Recorded)
    return *Recorded == rollout_outcome::Completed ? rollout_stage::Completed
                                                   : rollout_stage::RolledBack;
  if (IsFaulty)
    return rollout_stage::Faulty;
  return IsShifting ? rollout_stage::Shifting : rollout_stage::Early;
}

rollout_counts fleet_rollout::total() const {
  rollout_counts Total;
  for (const auto &[Route, Counts] : sum())
    add(Total, Counts);
  return Total;
}

rollout_report fleet_rollout::report() const {
  return {Own, IsFaulty, Recorded};
}

} // namespace sesamepaddle
