#include "sesamepaddle/moves/crash_deduplicator.h"

#include <algorithm>

namespace sesamepaddle {

namespace {

using namespace std::chrono_literals;

// Delay from the first report of a crash until it is settled. The reports of
// peers arrive in this time: a peer sends one as soon as UrgentUpdateInterval
// (version_move.cpp) has passed since its last update.
constexpr duration SettleDelay = 150ms;

// Losses at one endpoint within this time, in which it restarts, belong to the
// same crash.
constexpr duration SameCrashTime = 5s;

// Bounds the memory: beyond this number all suspects are forgotten.
constexpr std::size_t MaxSuspects = 4096;

} // namespace

void crash_deduplicator::report(const crash_report &Report,
                                const counted_crash &Sample, time_point Now) {
  crash &Crash = findOrAdd(Report, Now);
  const bool IsSmallest = Crash.Fingerprints.empty() ||
                          Report.Fingerprint < *Crash.Fingerprints.begin();
  Crash.Fingerprints.insert(Report.Fingerprint);
  if (!IsSmallest)
    return;
  Crash.IsOwn = true;
  Crash.Sample = Sample;
}

void crash_deduplicator::reportFromPeer(const crash_report &Report,
                                        time_point Now) {
  crash &Crash = findOrAdd(Report, Now);
  if (Crash.Fingerprints.empty() ||
      Report.Fingerprint < *Crash.Fingerprints.begin())
    Crash.IsOwn = false;
  Crash.Fingerprints.insert(Report.Fingerprint);
}

std::vector<counted_crash> crash_deduplicator::settle(time_point Now) {
  std::vector<counted_crash> Counted;
  for (auto &[Endpoint, Crash] : Crashes) {
    if (Crash.IsSettled || Now - Crash.FirstSeen < SettleDelay)
      continue;
    Crash.IsSettled = true;
    const bool IsRepeat =
        std::ranges::any_of(Crash.Fingerprints, [&](auto Fingerprint) {
          return Suspects.contains(Fingerprint);
        });
    Suspects.insert(Crash.Fingerprints.begin(), Crash.Fingerprints.end());
    if (Crash.IsOwn && !IsRepeat)
      Counted.push_back(Crash.Sample);
  }
  // Forgetting all of them does little harm: a request that crashes endpoints
  // is repeated soon or not at all.
  if (Suspects.size() > MaxSuspects)
    Suspects.clear();
  return Counted;
}

crash_deduplicator::crash &
crash_deduplicator::findOrAdd(const crash_report &Report, time_point Now) {
  auto &Crash = Crashes[Report.Endpoint];
  // Failed connection attempts extend the crash: an endpoint that has not come
  // back yet cannot have crashed again.
  const auto Since = Report.WasRunning ? Crash.FirstSeen : Crash.LastSeen;
  if (Crash.Fingerprints.empty() || Now - Since >= SameCrashTime) {
    Crash = crash{};
    Crash.FirstSeen = Now;
  }
  Crash.LastSeen = Now;
  return Crash;
}

} // namespace sesamepaddle
