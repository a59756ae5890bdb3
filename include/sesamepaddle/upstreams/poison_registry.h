#ifndef SESAMEPADDLE_UPSTREAMS_POISON_REGISTRY_H
#define SESAMEPADDLE_UPSTREAMS_POISON_REGISTRY_H

#include "sesamepaddle/core/clock.h"

#include <chrono>
#include <cstddef>
#include <functional>
#include <list>
#include <map>
#include <string>
#include <string_view>

namespace sesamepaddle {

/** One connection that was lost while an endpoint ran a request. */
struct crash_evidence {
  std::string Fingerprint; ///< of workspace, service and content
  std::string Endpoint;
};

struct poison_limits {
  unsigned Crashes = 2; ///< after so many the request is refused
  std::chrono::seconds Quarantine{600};
  std::chrono::seconds ClearedTime{60}; ///< how long an answer clears a request
  /** Losses at one endpoint within this time are one crash. */
  std::chrono::seconds SameCrashWindow{1};
  std::size_t Suspects = 10'000;
  std::size_t Answered = 20'000;
};

/** Finds requests that crash each upstream that runs them.

    A loss counts against a request only when no upstream answered the same
    request of late: a frequent request is not blamed for an endpoint that dies
    for another reason, nor for a new version that can't run it. An answer
    clears the evidence. Memory is bounded: the oldest entry makes room. Not
   safe for threads.
*/
class poison_registry {
public:
  explicit poison_registry(poison_limits Limits = {}) : Limits(Limits) {}

  /** Counts an answer. */
  void addAnswer(std::string_view Fingerprint, time_point Now);

  /** Counts a lost connection.
      @returns true when it counts as evidence, to be shared with other VMs. */
  bool addCrash(const crash_evidence &Evidence, time_point Now);

  /** @returns false when the request is refused. */
  bool mayRun(std::string_view Fingerprint, time_point Now) const;

  /** @returns the number of requests under suspicion. */
  std::size_t suspects() const { return Suspects.size(); }

private:
  struct suspect {
    unsigned Crashes = 0;
    time_point LatestCrash;
    std::map<std::string, time_point> LatestByEndpoint;
  };
  template <typename Value>
  using entry_map = std::map<std::string, Value, std::less<>>;

  bool wasAnsweredRecently(std::string_view Fingerprint, time_point Now) const;
  suspect &findOrAddSuspect(const std::string &Fingerprint);

  poison_limits Limits;
  entry_map<suspect> Suspects;
  std::list<std::string> SuspectsByAge;
  entry_map<time_point> Answers;
  std::list<std::string> AnswersByAge;
};

} // namespace sesamepaddle

#endif
