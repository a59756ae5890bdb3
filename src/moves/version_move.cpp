#include "sesamepaddle/moves/version_move.h"

#include <algorithm>
#include <utility>

namespace sesamepaddle {

namespace {

using namespace std::chrono_literals;

// A hold multiplies the share by HoldFactor, but not below SmallestHoldShare,
// and lasts for HoldTime.
constexpr double SmallestHoldShare = 0.1;
constexpr double HoldFactor = 0.5;
constexpr duration HoldTime = 6s;

// A VM waits this long after its first advance() before its share grows. When
// it starts during a move that was stopped, a peer's stop arrives first.
constexpr duration JoinDelay = 2s;

// The move is finished when all traffic of this VM has moved for DoneDelay, in
// which stops of peers arrive, and no peer has reported a share below 1 for
// PeerDelay, in which every peer that still has old traffic sends a report.
constexpr duration DoneDelay = 5s;
constexpr duration PeerDelay = 10s;

// Number of calls of version_comparison::restart() over the time of a move.
constexpr double PlannedRestarts = 100;

// Shortest time between two updates to the peers, with urgent evidence and
// without.
constexpr duration UrgentUpdateInterval = 50ms;
constexpr duration QuietUpdateInterval = 4s;

// Replaces QuietUpdateInterval after an urgent update, so that peers soon learn
// whether the faults continue.
constexpr duration FollowUpInterval = 500ms;

// Time between repeated reports of a stop, for VMs that start later. It is
// shorter than JoinDelay, so that they receive one before their share grows.
constexpr duration StopUpdateInterval = 1s;

} // namespace

std::string_view stateName(move_state State) {
  switch (State) {
  case move_state::Moving:
    return "moving";
  case move_state::Held:
    return "held";
  case move_state::Stopped:
    return "stopped";
  case move_state::Finished:
    return "finished";
  case move_state::Done:
    return "done";
  case move_state::RolledBack:
    return "taken back";
  }
  return "unknown";
}

version_move::version_move(const move_plan &Plan,
                           std::span<const route_name> Routes,
                           move_options Options)
    : Plan(Plan), Ramp(Plan),
      RestartInterval(std::chrono::duration_cast<duration>(
          (Plan.FinishBy - Plan.Start) / PlannedRestarts)),
      LastRestart(Plan.Start), LastUpdate(Plan.Start) {
  // Half of the rate goes to the tests of single routes, half to the tests over
  // all routes together.
  const double Half = Options.FalseAlarmRate / 2;
  AllRoutes.assign(FaultKinds,
                   version_comparison(Half / FaultKinds, PlannedRestarts));
  const double RatePerRoute =
      Half / static_cast<double>(std::max<std::size_t>(1, Routes.size()));
  for (const auto &Route : Routes)
    Evidence.emplace(Route, route_evidence(RatePerRoute, PlannedRestarts));
}

void version_move::observe(const route_name &Route,
                           const version_sample &Sample, time_point Now) {
  const auto Found = Evidence.find(Route);
  const bool IsRunning =
      State == move_state::Moving || State == move_state::Held;
  if (Found == Evidence.end() || !IsRunning)
    return;
  const bool IsCrash = Sample.Result == sample_result::ConnectionLost ||
                       Sample.Result == sample_result::NotReached;
  if (IsCrash) {
    crash_report Report = Sample.Crash;
    Report.WasRunning = Sample.Result == sample_result::ConnectionLost;
    Crashes.report(Report, {Route, Sample.IsNew, Sample.NewShare}, Now);
    PendingCrashes.push_back(Report);
    return;
  }
  LatestRoute = Route;
  addToAllRoutes(Found->second.add(Sample));
  judge(Now);
}

void version_move::applyUpdate(const failure_domain_name &Domain,
                               const move_update &Update, time_point Now) {
  const bool IsRunning =
      State == move_state::Moving || State == move_state::Held;
  if (Update.Stop && (IsRunning || State == move_state::Finished))
    stop(Update.Stop->Fault);
  if (!IsRunning || Update.Stop)
    return;
  if (Update.Share < 1)
    LastPeerBelowFull = Now;
  for (const auto &Crash : Update.Crashes)
    Crashes.reportFromPeer(Crash, Now);
  for (const auto &Batch : Update.Batches) {
    const auto Found = Evidence.find(Batch.Route);
    if (Found == Evidence.end())
      continue;
    Found->second.addBatch(Domain, Batch, Now);
    LatestRoute = Batch.Route;
    for (std::size_t Index = 0; Index < FaultKinds; ++Index)
      AllRoutes[Index].addRatios(Batch.Kinds[Index].Comparison);
  }
  judge(Now);
}

void version_move::applyRecord(const move_record &Record) {
  if (State == move_state::Done || State == move_state::RolledBack)
    return;
  const bool IsDone = Record.Outcome == move_outcome::Done;
  State = IsDone ? move_state::Done : move_state::RolledBack;
  if (Record.Fault)
    Fault = Record.Fault;
}

void version_move::advance(time_point Now) {
  if (State == move_state::Done)
    Ramp.advance(Now);
  if (State != move_state::Moving && State != move_state::Held)
    return;
  settleCrashes(Now);
  if (Now - LastRestart >= RestartInterval) {
    LastRestart = Now;
    for (auto &[Route, Item] : Evidence)
      Item.restart();
    for (auto &Test : AllRoutes)
      Test.restart();
  }
  judge(Now);
  if (State == move_state::Held && Now >= HoldUntil) {
    State = move_state::Moving;
    for (auto &[Route, Item] : Evidence)
      Item.clearSuspicion();
  }
  // A move that is not finished in time is rolled back.
  if (Now >= Plan.FinishBy && Ramp.share() < 1)
    stop(std::nullopt);
  if (State == move_state::Held)
    Ramp.pause(Now);
  else if (State == move_state::Moving)
    grow(Now);
}

double version_move::share() const {
  switch (State) {
  case move_state::Stopped:
  case move_state::RolledBack:
    return 0;
  default:
    return Ramp.share();
  }
}

std::optional<move_record> version_move::proposedRecord() const {
  if (State == move_state::Stopped)
    return move_record{move_outcome::RolledBack, Fault};
  if (State == move_state::Finished)
    return move_record{move_outcome::Done, std::nullopt};
  return std::nullopt;
}

std::optional<move_update> version_move::takeUpdate(time_point Now) {
  const duration Silence = Now - LastUpdate;
  move_update Update;
  if (State == move_state::Stopped) {
    if (!IsStopUnsent && Silence < StopUpdateInterval)
      return std::nullopt;
    IsStopUnsent = false;
    LastUpdate = Now;
    Update.Stop = proposedRecord();
    return Update;
  }
  const bool IsUrgent = !PendingCrashes.empty() ||
                        std::ranges::any_of(Evidence, [](const auto &Entry) {
                          return Entry.second.isBatchUrgent();
                        });
  const duration QuietInterval =
      WasUrgent ? FollowUpInterval : QuietUpdateInterval;
  if (Silence < (IsUrgent ? UrgentUpdateInterval : QuietInterval))
    return std::nullopt;
  LastUpdate = Now;
  WasUrgent = IsUrgent;
  Update.Share = share();
  Update.Crashes = std::exchange(PendingCrashes, {});
  for (auto &[Route, Item] : Evidence) {
    Update.Batches.push_back(Item.takeBatch());
    Update.Batches.back().Route = Route;
  }
  return Update;
}

void version_move::addToAllRoutes(const ratios_by_kind &Ratios) {
  for (std::size_t Index = 0; Index < FaultKinds; ++Index)
    AllRoutes[Index].addRatios(Ratios[Index]);
}

// A fault that affects all routes shows in their sum before it shows in any
// single route.
bool version_move::judgeAllRoutes() {
  for (std::size_t Index = 0; Index < FaultKinds; ++Index) {
    if (!AllRoutes[Index].isRejected())
      continue;
    stop(move_fault{LatestRoute, static_cast<fault_kind>(Index)});
    return true;
  }
  return false;
}

void version_move::judge(time_point Now) {
  if (judgeAllRoutes())
    return;
  bool IsSuspected = false;
  for (const auto &[Route, Item] : Evidence) {
    if (const auto Kind = Item.rejectedFor()) {
      stop(move_fault{Route, *Kind});
      return;
    }
    IsSuspected = IsSuspected || Item.isSuspected(Now);
  }
  if (IsSuspected && State == move_state::Moving)
    hold(Now);
}

// At a small share the comparison needs fewer requests on the new version, and
// a temporary fault of the failure domain passes without harm.
void version_move::hold(time_point Now) {
  State = move_state::Held;
  HoldUntil = Now + HoldTime;
  FullSince.reset();
  Ramp.pause(Now);
  Ramp.lowerTo(std::max(SmallestHoldShare, Ramp.share() * HoldFactor));
  for (auto &[Route, Item] : Evidence)
    Item.restartSuspected();
  for (auto &Test : AllRoutes)
    Test.restartSuspected();
}

void version_move::stop(const std::optional<move_fault> &Found) {
  State = move_state::Stopped;
  Fault = Found;
  IsStopUnsent = true;
}

void version_move::settleCrashes(time_point Now) {
  for (const auto &Crash : Crashes.settle(Now)) {
    const auto Found = Evidence.find(Crash.Route);
    if (Found != Evidence.end())
      addToAllRoutes(Found->second.addCrash(Crash));
  }
}

bool version_move::isWithinJoinDelay(time_point Now) {
  if (!FirstAdvance)
    FirstAdvance = Now;
  return Now - *FirstAdvance < JoinDelay;
}

void version_move::grow(time_point Now) {
  if (isWithinJoinDelay(Now))
    return;
  Ramp.advance(Now);
  if (Ramp.share() < 1)
    return;
  if (!FullSince)
    FullSince = Now;
  if (Now - *FullSince >= DoneDelay && Now - LastPeerBelowFull >= PeerDelay)
    State = move_state::Finished;
}

} // namespace sesamepaddle
