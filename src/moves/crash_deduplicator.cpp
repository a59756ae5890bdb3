#include "sesamepaddle/moves/crash_deduplicator.h"

#include <algorithm>

namespace sesamepaddle {

namespace {

using namespace std::chrono_literals;

constexpr duration SettleTime = 150ms;
constexpr duration RestartTime = 5s;
constexpr std::size_t LargestMemory = 4096;

} // namespace

void crash_deduplicator::report(const crash_report &Report,
                                const counted_crash &Sample, time_point Now) {
  crash &Crash = find(Report, Now);
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
  crash &Crash = find(Report, Now);
  if (Crash.Fingerprints.empty() ||
      Report.Fingerprint < *Crash.Fingerprints.begin())
    Crash.IsOwn = false;
  Crash.Fingerprints.insert(Report.Fingerprint);
}

std::vector<counted_crash> crash_deduplicator::settle(time_point Now) {
  std::vector<counted_crash> Counted;
  for (auto &[Endpoint, Crash] : Crashes) {
    if (Crash.IsSettled || Now - Crash.FirstSeen < SettleTime)
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
  // A poison request comes again soon or not at all.
  if (Suspects.size() > LargestMemory)
    Suspects.clear();
  return Counted;
}

crash_deduplicator::crash &crash_deduplicator::find(const crash_report &Report,
                                                    time_point Now) {
  auto &Crash = Crashes[Report.Endpoint];
  // An endpoint that is not there yet has not crashed again.
  const auto Since = Report.WasRunning ? Crash.FirstSeen : Crash.LastSeen;
  if (Crash.Fingerprints.empty() || Now - Since >= RestartTime) {
    Crash = crash{};
    Crash.FirstSeen = Now;
  }
  Crash.LastSeen = Now;
  return Crash;
}

} // namespace sesamepaddle
