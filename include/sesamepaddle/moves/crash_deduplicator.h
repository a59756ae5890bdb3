#ifndef SESAMEPADDLE_MOVES_CRASH_DEDUPLICATOR_H
#define SESAMEPADDLE_MOVES_CRASH_DEDUPLICATOR_H

#include "sesamepaddle/core/clock.h"
#include "sesamepaddle/core/identifiers.h"

#include <cstdint>
#include <map>
#include <set>
#include <vector>

namespace sesamepaddle {

/** Identifies a request by workspace, route and content. */
enum class request_fingerprint : std::uint64_t {};

/** Identifies an upstream endpoint. */
enum class endpoint_id : std::uint64_t {};

/** An endpoint that went away while it ran a request, or was not there. */
struct crash_report {
  endpoint_id Endpoint{};
  request_fingerprint Fingerprint{};
  bool WasRunning = true; ///< false: no connection was made
};

/** A crash that counts as one fault. */
struct counted_crash {
  route_name Route;
  bool IsNew = false;
  double NewShare = 0;
};

/** Makes one fault of all connections that one crash of an endpoint cuts, and
    none of a crash by a request that was there at another crash before.

    Reports are settled after a wait in which those of peers arrive; the VM
   whose report has the smallest fingerprint counts the crash.
*/
class crash_deduplicator {
public:
  /** Takes a loss that this VM saw. */
  void report(const crash_report &Report, const counted_crash &Sample,
              time_point Now);

  /** Takes a loss that a peer saw. */
  void reportFromPeer(const crash_report &Report, time_point Now);

  /** @returns the crashes that this VM has to count now. */
  std::vector<counted_crash> settle(time_point Now);

private:
  struct crash {
    time_point FirstSeen;
    time_point LastSeen;
    std::set<request_fingerprint> Fingerprints;
    bool IsOwn = false; ///< the smallest fingerprint came from this VM
    counted_crash Sample;
    bool IsSettled = false;
  };

  crash &find(const crash_report &Report, time_point Now);

  std::map<endpoint_id, crash> Crashes;
  std::set<request_fingerprint> Suspects; ///< of crashes before
};

} // namespace sesamepaddle

#endif
