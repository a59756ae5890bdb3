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
#include <vector>

namespace sesamepaddle {

/** A connection that was lost while an endpoint ran a request. */
struct crash_evidence {
  std::string Fingerprint; ///< of workspace, service and content
  std::string Endpoint;
};

/** Thresholds, times and memory bounds of a poison_registry. */
struct poison_limits {
  unsigned Crashes = 2; ///< the request is refused after this many
  /** The request is refused this long after its latest crash. */
  std::chrono::seconds Quarantine{600};
  /** Losses don't count this long after an answer to the same request. */
  std::chrono::seconds ClearedTime{60};
  /** Losses at one endpoint within this time count as one crash. */
  std::chrono::seconds SameCrashWindow{1};
  std::size_t Suspects = 10'000; ///< requests with evidence that are kept
  std::size_t Answered = 20'000; ///< answered requests that are kept
};

/** Detects poison requests: those that crash every upstream that runs them.

    A loss counts against a request only when no upstream answered the same
    request recently. This keeps a frequent request from being refused when an
    endpoint crashes for another reason or a new version can't run it. An answer
    clears the evidence. Memory is bounded: the oldest entry is evicted for a
    new one. Not thread-safe.
*/
class poison_registry {
public:
  explicit poison_registry(poison_limits Limits = {}) : Limits(Limits) {}

  /** Records an answer, which clears the evidence against the request. */
  void addAnswer(std::string_view Fingerprint, time_point Now);

  /** Records a lost connection.
      @returns true when it counts as evidence, to be shared with other VMs. */
  bool addCrash(const crash_evidence &Evidence, time_point Now);

  /** @returns false when the request must be refused. */
  bool mayRun(std::string_view Fingerprint, time_point Now) const;

  /** A crash that counts against a request which is refused. */
  struct kept_crash {
    crash_evidence Evidence;
    duration Age;
  };

  /** @returns the evidence against the requests that are refused, of the newest
      suspects first, to be told to a VM that has just started.
      @param MaxCrashes  number of crashes at most */
  std::vector<kept_crash> refusedRequests(std::size_t MaxCrashes,
                                          time_point Now) const;

  /** @returns the number of requests with evidence against them. */
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
  std::list<std::string> SuspectsByAge; ///< oldest first
  entry_map<time_point> Answers;
  std::list<std::string> AnswersByAge; ///< oldest first
};

} // namespace sesamepaddle

#endif
