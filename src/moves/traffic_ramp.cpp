#include "sesamepaddle/moves/traffic_ramp.h"

#include <algorithm>

namespace sesamepaddle {

namespace {

using seconds = std::chrono::duration<double>;
using namespace std::chrono_literals;

constexpr double SecondsPerMinute = 60;

// Share that the new version gets at first, unless the cap is lower.
constexpr double FirstShare = 0.01;

// At first the new version is only probed: the share stays at FirstShare for
// ProbePart of the move's time, but no longer than LongestProbe.
constexpr double ProbePart = 0.05;
constexpr duration LongestProbe = 60s;

// The growth aims to move all traffic within this part of the move's time. The
// rest makes up for holds.
constexpr double TargetPart = 0.6;

seconds probeTime(const move_plan &Plan) {
  const seconds Window = Plan.FinishBy - Plan.Start;
  return std::min<seconds>(Window * ProbePart, LongestProbe);
}

} // namespace

bool isFeasible(const move_plan &Plan) {
  const seconds Window = Plan.FinishBy - Plan.Start - probeTime(Plan);
  return Window.count() > 0 &&
         Window.count() * Plan.CapPerMinute / SecondsPerMinute + FirstShare >=
             1;
}

traffic_ramp::traffic_ramp(const move_plan &Plan)
    : Plan(Plan), Share(std::min(FirstShare, Plan.CapPerMinute)),
      LastAdvance(Plan.Start) {}

void traffic_ramp::advance(time_point Now) {
  const auto ProbeEnd =
      Plan.Start + std::chrono::duration_cast<duration>(probeTime(Plan));
  const auto From = std::max(LastAdvance, ProbeEnd);
  LastAdvance = std::max(LastAdvance, Now);
  if (Now <= From)
    return;
  const double Elapsed = seconds(Now - From).count();
  Share = std::min(1.0, Share + growthPerSecond(From) * Elapsed);
}

void traffic_ramp::lowerTo(double Lower) { Share = std::min(Share, Lower); }

void traffic_ramp::pause(time_point Now) {
  LastAdvance = std::max(LastAdvance, Now);
}

// Aims at constant growth, at most the cap, until all traffic has moved at the
// target time. From one second before that time on the share grows at the cap.
double traffic_ramp::growthPerSecond(time_point Now) const {
  const double Cap = Plan.CapPerMinute / SecondsPerMinute;
  const seconds Target = (Plan.FinishBy - Plan.Start) * TargetPart;
  const double Left = (Target - seconds(Now - Plan.Start)).count();
  return Left <= 1 ? Cap : std::min(Cap, (1 - Share) / Left);
}

} // namespace sesamepaddle
