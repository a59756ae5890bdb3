#include "sesamepaddle/moves/fleet_rollout.h"

#include <algorithm>
#include <cmath>

namespace sesamepaddle {

namespace {

// Parts of rollout_limits that may be used before all traffic moves, and by the
// end of the trial. The rest covers requests that are on their way when a fault
// is found.
constexpr double EarlyPart = 0.25;
constexpr double TrialPart = 0.95;

// Probability that a request goes to the new version before the shift, as long
// as that part is not used up.
constexpr double EarlyShare = 0.3;

// For this time at the start of the shift the new version gets only this share,
// so that a fault that occurs under load shows before all requests meet it.
constexpr std::chrono::milliseconds PartialShiftTime{400};
constexpr double PartialShiftShare = 0.4;
// Then the new version has the whole load, and after this time it feels it: the
// VMs do not begin at the same moment, and its endpoints fill up.
constexpr std::chrono::milliseconds SettleTime{500};

// Answers to requests of the whole load that show that the new version bears
// it: those of TrialSeconds, within these limits. With 24, a version that fails
// one request in three passes in one case of 200.
constexpr double TrialSeconds = 1.5;
constexpr double MinTrialAnswers = 12;
constexpr double MaxTrialAnswers = 24;
// Most of them that may be bad or overdue, beyond the old version's share.
constexpr double MaxTrialBadShare = 0.1;
// Most answers of the new version have come after this many times the time in
// which they are expected, or after the usual time for an unknown object if
// that is longer. One that has not is overdue.
constexpr int LateFactor = 2;

// The old endpoints stop when the order is recorded as completed: requests that
// were under way there need at least this time to finish.
constexpr std::chrono::milliseconds MinFinishTime{900};
// From the proof until the order may be recorded: other VMs have reached their
// part of the limits and sent requests to the old version, and faults that they
// have found are on their way.
constexpr std::chrono::milliseconds NewsTime{400};
// Time that is left for writing the outcome.
constexpr std::chrono::milliseconds RecordTime{1'500};
// The shift takes at most this part of an order's time, so that a fault that
// begins some time after the order shows before.
constexpr double MaxShiftPart = 0.6;

// A VM that learns of an order later than this has restarted, or was cut off:
// its part of the slack may have been used.
constexpr std::chrono::milliseconds LateLearning{2'000};

// Answers of the last JudgedWindow are also judged on their own: as the
// increase of the counts since a snapshot. A snapshot is taken every
// SnapshotInterval.
constexpr std::chrono::milliseconds JudgedWindow{2'000};
constexpr std::chrono::milliseconds SnapshotInterval{400};

// With fewer answers of the new version before the shift than this part of
// those that the trial needs, all traffic does not move to it.
constexpr double EarlyAnswersPart = 0.25;

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
         Bad > Answers * Usual + MinDeviations * Deviation;
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
  case rollout_stage::Trial:
    return "trial";
  case rollout_stage::Proven:
    return "proven";
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
                             rollout_terms Terms)
    : Order(std::move(Order)), Limits(Limits), Terms(Terms) {}

rollout_draw fleet_rollout::drawVersion(double Draw, std::size_t Vms) {
  if (Requests++ == 0)
    Rounding = Draw;
  if (Recorded)
    return {*Recorded == rollout_outcome::Completed, 0};
  if (IsFaulty)
    return {};
  const double Slack =
      Terms.LearnedAfter > LateLearning
          ? 0
          : Limits.Slack / static_cast<double>(std::max<std::size_t>(Vms, 1));
  const double MostToNew = Limits.Share * static_cast<double>(Requests) + Slack;
  if (IsShifting)
    return drawInShift(Draw, MostToNew);
  const bool IsNew =
      Draw < EarlyShare &&
      static_cast<double>(SentToNew) + Rounding < EarlyPart * MostToNew;
  SentToNew += IsNew ? 1 : 0;
  return {IsNew, 0};
}

rollout_draw fleet_rollout::drawInShift(double Draw, double MostToNew) {
  const auto ShiftedFor = LatestAdvance - ShiftStart;
  const bool IsPartial = ShiftedFor < PartialShiftTime;
  const bool IsWithinLimits =
      IsProven ||
      static_cast<double>(SentToNew) + Rounding < TrialPart * MostToNew;
  if (!IsWithinLimits || (IsPartial && Draw >= PartialShiftShare)) {
    LatestOld = LatestAdvance;
    return {};
  }
  ++SentToNew;
  if (ShiftedFor < PartialShiftTime + SettleTime)
    return {true, 0};
  OpenTrials.emplace(++LatestTrial, LatestAdvance);
  return {true, LatestTrial};
}

void fleet_rollout::endTrial(std::uint64_t Trial, std::optional<bool> IsBad) {
  if (OpenTrials.erase(Trial) > 0 && IsBad)
    ++(*IsBad ? EndedTrials.Bad : EndedTrials.Good);
}

trial_counts fleet_rollout::ownTrial() const {
  auto Counts = EndedTrials;
  const auto OverdueSince = LatestAdvance - lateTime();
  for (const auto &[Number, Since] : OpenTrials)
    Counts.Overdue += Since < OverdueSince ? 1 : 0;
  return Counts;
}

trial_counts fleet_rollout::trial() const {
  auto Sum = ownTrial();
  for (const auto &[Vm, Report] : Peers) {
    Sum.Good += Report.Trial.Good;
    Sum.Bad += Report.Trial.Bad;
    Sum.Overdue += Report.Trial.Overdue;
  }
  return Sum;
}

double fleet_rollout::answerRate(time_point Now) const {
  const auto All = total();
  const double Seconds =
      std::chrono::duration<double>(Now - Terms.Start).count();
  return (All.NewGood + All.NewBad + All.OldGood + All.OldBad) /
         std::max(Seconds, 1.0);
}

double fleet_rollout::trialAnswersWanted(time_point Now) const {
  return std::clamp(TrialSeconds * answerRate(Now), MinTrialAnswers,
                    MaxTrialAnswers);
}

bool fleet_rollout::isShownGood(time_point Now) const {
  const auto Trial = trial();
  const double Answers = Trial.Good + Trial.Bad;
  if (Answers < trialAnswersWanted(Now))
    return false;
  const auto All = total();
  const double Old = All.OldGood + All.OldBad;
  const double UsualShare = Old == 0 ? 0 : All.OldBad / Old;
  return Trial.Bad + Trial.Overdue <=
         (MaxTrialBadShare + UsualShare) * (Answers + Trial.Overdue);
}

// The endpoints of the new version know no object yet.
duration fleet_rollout::lateTime() const {
  duration Late = LateFactor * Terms.AnswerTime;
  for (const auto &[Route, Usual] : UsualByRoute)
    Late = std::max(Late, Usual.forUnknownObject());
  return Late;
}

duration fleet_rollout::shiftTime(time_point Now) const {
  const std::chrono::duration<double> Sending(trialAnswersWanted(Now) /
                                              std::max(answerRate(Now), 0.1));
  const auto Needed = PartialShiftTime + SettleTime +
                      std::chrono::duration_cast<duration>(Sending) +
                      LateFactor * Terms.AnswerTime +
                      std::max(MinFinishTime, Terms.AnswerTime) + RecordTime;
  return std::min<duration>(Needed, std::chrono::duration_cast<duration>(
                                        MaxShiftPart * Order.Duration));
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
  IsProven = IsProven || isShownGood(Now);
  const auto Age = Now - Terms.Start;
  if (Age >= Order.Duration && !IsProven) {
    IsShifting = false;
    Proposal = rollout_outcome::RolledBack;
    return;
  }
  const auto All = total();
  const bool IsJudged =
      All.NewGood + All.NewBad >= EarlyAnswersPart * trialAnswersWanted(Now);
  const bool IsDue = IsJudged && Age >= Order.Duration - shiftTime(Now);
  const bool WasShifting = IsShifting;
  IsShifting = IsStoreFresh && (WasShifting || IsDue);
  if (IsShifting && !WasShifting)
    ShiftStart = Now;
  if (!IsShifting)
    LatestOld = Now;
  if (!IsShifting || !IsProven)
    ProvenShiftStart = Now;
  const bool AreOldFinished =
      Now - LatestOld >= std::max(MinFinishTime, Terms.AnswerTime);
  if (IsProven && AreOldFinished && Now - ProvenShiftStart >= NewsTime)
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
  if (IsProven)
    return rollout_stage::Proven;
  return IsShifting ? rollout_stage::Trial : rollout_stage::Early;
}

rollout_counts fleet_rollout::total() const {
  rollout_counts Total;
  for (const auto &[Route, Counts] : Own)
    add(Total, Counts);
  for (const auto &[Vm, Report] : Peers)
    for (const auto &[Route, Counts] : Report.CountsByRoute)
      add(Total, Counts);
  return Total;
}

rollout_report fleet_rollout::report() const {
  return {Own, ownTrial(), IsFaulty, Recorded};
}

} // namespace sesamepaddle
