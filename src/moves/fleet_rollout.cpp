#include "sesamepaddle/moves/fleet_rollout.h"

#include <algorithm>
#include <cmath>

namespace sesamepaddle {

namespace {

// Parts of the bound on exposure that are used before all traffic moves. The
// rest covers the shift of a version that turns bad while it happens.
constexpr double UsedShare = 0.25;
constexpr double UsedSlack = 0.25;
// Chance of the new version while its part is not used up.
constexpr double EagerShare = 0.3;
// All traffic moves this long before the set time, and the record follows when
// what was under way at the old endpoints has had time to end.
constexpr std::chrono::milliseconds ShiftBefore{3'000};
constexpr std::chrono::milliseconds RecordBefore{1'500};
// Until then the new version gets this part only, so that a fault under load
// shows before all requests meet it.
constexpr std::chrono::milliseconds HalfShift{600};
constexpr double HalfShiftShare = 0.4;
// The latest answers are those of this long, kept in steps.
constexpr std::chrono::milliseconds JudgedWindow{2'000};
constexpr std::chrono::milliseconds SnapshotInterval{400};
// Answers of the new version, of all VMs, below which it is not judged good.
constexpr std::size_t LeastSamples = 8;
// A version is bad with this many bad answers on a route, when they are this
// share of its answers there, and more by so many standard deviations than with
// the old version's share of bad answers, which is taken for at least the last.
constexpr std::uint32_t LeastBad = 5;
constexpr double BadShare = 0.2;
constexpr double Deviations = 3.5;
constexpr double LeastUsualShare = 0.02;

double shareOf(std::uint32_t Part, std::uint32_t Rest) {
  return Part + Rest == 0 ? 0 : static_cast<double>(Part) / (Part + Rest);
}

void add(rollout_counts &Sum, const rollout_counts &More) {
  Sum.NewGood += More.NewGood;
  Sum.NewBad += More.NewBad;
  Sum.OldGood += More.OldGood;
  Sum.OldBad += More.OldBad;
}

std::uint32_t lessOf(std::uint32_t Now, std::uint32_t Before) {
  // A VM that restarted counts from nothing again.
  return Now > Before ? Now - Before : 0;
}

rollout_counts difference(const rollout_counts &Now,
                          const rollout_counts &Before) {
  return {
      lessOf(Now.NewGood, Before.NewGood), lessOf(Now.NewBad, Before.NewBad),
      lessOf(Now.OldGood, Before.OldGood), lessOf(Now.OldBad, Before.OldBad)};
}

/** @param Since  all answers since the order: with all traffic at the new
                  version, the old one has no latest ones to compare with */
bool isWorse(const rollout_counts &Counts, const rollout_counts &Since) {
  const double New = shareOf(Counts.NewBad, Counts.NewGood);
  const double Old = std::clamp(std::max(shareOf(Counts.OldBad, Counts.OldGood),
                                         shareOf(Since.OldBad, Since.OldGood)),
                                LeastUsualShare, 1.0);
  const double Answers = Counts.NewBad + Counts.NewGood;
  const double Deviation = std::sqrt(Answers * Old * (1 - Old));
  return Counts.NewBad >= LeastBad && New >= BadShare &&
         Counts.NewBad >= Answers * Old + Deviations * Deviation;
}

} // namespace

fleet_rollout::fleet_rollout(rollout_order Order, rollout_limits Limits,
                             time_point Start)
    : Order(std::move(Order)), Limits(Limits), Start(Start) {}

bool fleet_rollout::drawNew(double Draw, std::size_t Vms) {
  ++Requests;
  if (Recorded)
    return *Recorded == rollout_outcome::Completed;
  if (IsFaulty)
    return false;
  const double Most = UsedShare * Limits.Share * static_cast<double>(Requests) +
                      UsedSlack * Limits.Slack /
                          static_cast<double>(std::max<std::size_t>(Vms, 1));
  const bool IsHalf = LatestAdvance - ShiftStart < HalfShift;
  if (IsShifting) {
    ++SentToNew;
    return !IsHalf || Draw < HalfShiftShare;
  }
  const bool IsNew =
      Draw < EagerShare && static_cast<double>(SentToNew) + 1 <= Most;
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

// A fault may begin late or under load: what came before must not dilute it, so
// the latest answers are judged on their own as well.
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
  const bool IsJudged = newSamples() >= LeastSamples;
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

rollout_report fleet_rollout::report() const {
  return {Own, IsFaulty, Recorded};
}

} // namespace sesamepaddle
