#include "sesamepaddle/moves/fleet_rollout.h"

#include <algorithm>
#include <set>

namespace sesamepaddle {

namespace {

// Parts of the bound on exposure that are used before all traffic moves. The
// rest covers the shift of a version that turns bad while it happens.
constexpr double UsedShare = 0.45;
constexpr double UsedSlack = 0.4;
// Chance of the new version while its part is not used up.
constexpr double EagerShare = 0.3;
// All traffic moves this long before the set time, and the record follows when
// what was under way at the old endpoints has had time to end.
constexpr std::chrono::milliseconds ShiftBefore{3'000};
constexpr std::chrono::milliseconds RecordBefore{1'500};
// Answers of the new version, of all VMs, below which it is not judged good.
constexpr std::size_t LeastSamples = 8;
// A version is bad with this many bad answers on a route, when they are this
// share of its answers there and twice the share of the old version's.
constexpr std::uint32_t LeastBad = 5;
constexpr double BadShare = 0.2;
constexpr double WorseThanOld = 2.0;

double shareOf(std::uint32_t Part, std::uint32_t Rest) {
  return Part + Rest == 0 ? 0 : static_cast<double>(Part) / (Part + Rest);
}

void add(rollout_counts &Sum, const rollout_counts &More) {
  Sum.NewGood += More.NewGood;
  Sum.NewBad += More.NewBad;
  Sum.OldGood += More.OldGood;
  Sum.OldBad += More.OldBad;
}

bool isWorse(const rollout_counts &Counts) {
  const double New = shareOf(Counts.NewBad, Counts.NewGood);
  const double Old = shareOf(Counts.OldBad, Counts.OldGood);
  return Counts.NewBad >= LeastBad && New >= BadShare &&
         New >= WorseThanOld * Old;
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
  const double Most =
      UsedShare * Limits.Share * static_cast<double>(Requests) +
      UsedSlack * Limits.Slack /
          static_cast<double>(std::max<std::size_t>(Vms, 1));
  const bool IsNew = IsShifting || (Draw < EagerShare &&
                                    static_cast<double>(SentToNew) + 1 <= Most);
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

rollout_counts fleet_rollout::sum(const std::string &Route) const {
  rollout_counts Sum;
  if (const auto Found = Own.find(Route); Found != Own.end())
    add(Sum, Found->second);
  for (const auto &[Vm, Report] : Peers)
    if (const auto Found = Report.CountsByRoute.find(Route);
        Found != Report.CountsByRoute.end())
      add(Sum, Found->second);
  return Sum;
}

bool fleet_rollout::isFaultFound() const {
  std::set<std::string> Routes;
  for (const auto &[Route, Counts] : Own)
    Routes.insert(Route);
  for (const auto &[Vm, Report] : Peers)
    for (const auto &[Route, Counts] : Report.CountsByRoute)
      Routes.insert(Route);
  rollout_counts All;
  for (const auto &Route : Routes) {
    const auto Counts = sum(Route);
    if (isWorse(Counts))
      return true;
    add(All, Counts);
  }
  return isWorse(All);
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
  if (Recorded)
    return;
  IsFaulty = IsFaulty || isFaultFound();
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
  IsShifting = IsStoreFresh && IsJudged && Age >= Order.Duration - ShiftBefore;
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

rollout_report fleet_rollout::report() const { return {Own, IsFaulty, Recorded}; }

} // namespace sesamepaddle
