#include "sesamepaddle/upstreams/poison_registry.h"

#include <algorithm>

namespace sesamepaddle {

void poison_registry::addAnswer(std::string_view Fingerprint, time_point Now) {
  const auto Suspect = Suspects.find(Fingerprint);
  if (Suspect != Suspects.end()) {
    SuspectsByAge.remove(Suspect->first);
    Suspects.erase(Suspect);
  }
  const auto Known = Answers.find(Fingerprint);
  if (Known != Answers.end()) {
    Known->second = Now;
    return;
  }
  if (Answers.size() >= Limits.Answered) {
    Answers.erase(AnswersByAge.front());
    AnswersByAge.pop_front();
  }
  Answers.emplace(Fingerprint, Now);
  AnswersByAge.emplace_back(Fingerprint);
}

bool poison_registry::addCrash(const crash_evidence &Evidence, time_point Now) {
  if (wasAnsweredRecently(Evidence.Fingerprint, Now))
    return false;
  suspect &Suspect = findOrAddSuspect(Evidence.Fingerprint);
  if (Suspect.Crashes > 0 && Now - Suspect.LatestCrash > Limits.Quarantine)
    Suspect = {};
  const auto Known = Suspect.LatestByEndpoint.find(Evidence.Endpoint);
  if (Known != Suspect.LatestByEndpoint.end() &&
      Now - Known->second < Limits.SameCrashWindow)
    return false;
  // A request that is already refused needs no more evidence.
  if (Suspect.Crashes >= Limits.Crashes)
    return false;
  Suspect.LatestByEndpoint[Evidence.Endpoint] = Now;
  // Another VM may tell of earlier ones.
  Suspect.LatestCrash = std::max(Suspect.LatestCrash, Now);
  ++Suspect.Crashes;
  return true;
}

bool poison_registry::mayRun(std::string_view Fingerprint,
                             time_point Now) const {
  const auto Suspect = Suspects.find(Fingerprint);
  return Suspect == Suspects.end() ||
         Suspect->second.Crashes < Limits.Crashes ||
         Now - Suspect->second.LatestCrash > Limits.Quarantine;
}

std::vector<poison_registry::kept_crash>
poison_registry::refusedRequests(std::size_t MaxCrashes, time_point Now) const {
  std::vector<kept_crash> Kept;
  for (auto Next = SuspectsByAge.rbegin(); Next != SuspectsByAge.rend();
       ++Next) {
    if (mayRun(*Next, Now))
      continue;
    const auto &Crashes = Suspects.find(*Next)->second.LatestByEndpoint;
    if (Kept.size() + Crashes.size() > MaxCrashes)
      break;
    for (const auto &[Endpoint, At] : Crashes)
      Kept.push_back({{*Next, Endpoint}, Now - At});
  }
  return Kept;
}

bool poison_registry::wasAnsweredRecently(std::string_view Fingerprint,
                                          time_point Now) const {
  const auto Known = Answers.find(Fingerprint);
  return Known != Answers.end() && Now - Known->second < Limits.ClearedTime;
}

poison_registry::suspect &
poison_registry::findOrAddSuspect(const std::string &Fingerprint) {
  const auto Known = Suspects.find(Fingerprint);
  if (Known != Suspects.end())
    return Known->second;
  if (Suspects.size() >= Limits.Suspects) {
    Suspects.erase(SuspectsByAge.front());
    SuspectsByAge.pop_front();
  }
  SuspectsByAge.push_back(Fingerprint);
  return Suspects[Fingerprint];
}

} // namespace sesamepaddle
