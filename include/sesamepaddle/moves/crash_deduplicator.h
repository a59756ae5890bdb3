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

/** A request whose connection to an endpoint was lost or could not be made. */
struct crash_report {
  endpoint_id Endpoint{};
  request_fingerprint Fingerprint{};
  bool WasRunning = true; ///< false when no connection could be made
};

/** A crash that counts as one fault of a version. */
struct counted_crash {
  route_name Route;
  bool IsNew = false;  ///< the request went to the new version
  double NewShare = 0; ///< probability with which it went there
};

/** Counts each crash of an endpoint as one fault, however many connections it
    cuts and however many VMs report it.

    A crash does not count when one of its requests was also involved in an
    earlier crash: that request causes the crashes, not the version. A crash is
    settled after a delay in which the reports of peers arrive. The VM whose
    report has the smallest fingerprint then counts it.
*/
class crash_deduplicator {
public:
  /** Adds a loss that this VM observed. */
  void report(const crash_report &Report, const counted_crash &Sample,
              time_point Now);

  /** Adds a loss that a peer observed. */
  void reportFromPeer(const crash_report &Report, time_point Now);

  /** Settles the crashes whose delay is over.
      @returns those that this VM has to count, each of them once */
  std::vector<counted_crash> settle(time_point Now);

private:
  struct crash {
    time_point FirstSeen;
    time_point LastSeen;
    std::set<request_fingerprint> Fingerprints;
    bool IsOwn = false; ///< this VM reported the smallest fingerprint
    counted_crash Sample;
    bool IsSettled = false;
  };

  crash &findOrAdd(const crash_report &Report, time_point Now);

  std::map<endpoint_id, crash> Crashes;
  std::set<request_fingerprint> Suspects; ///< requests of settled crashes
};

} // namespace sesamepaddle

#endif
