#ifndef SESAMEPADDLE_MOVES_VERSION_MOVE_H
#define SESAMEPADDLE_MOVES_VERSION_MOVE_H

#include "sesamepaddle/moves/move_record.h"
#include "sesamepaddle/moves/route_evidence.h"
#include "sesamepaddle/moves/traffic_ramp.h"

#include <map>
#include <optional>
#include <span>
#include <string_view>
#include <vector>

namespace sesamepaddle {

/** The state of a move on one VM. */
enum class move_state : std::uint8_t {
  Moving,
  Held,       ///< at a reduced share, because faults seem more frequent
  Stopped,    ///< rolled back on this VM; not recorded yet
  Finished,   ///< all traffic has moved; not recorded yet
  Done,       ///< recorded as done; this VM's share may still grow
  RolledBack, ///< rolled back; recorded
};

/** @returns the name of the state for people. */
std::string_view stateName(move_state State);

/** What a VM reports to its peers about a move. */
struct move_update {
  double Share = 0;                ///< of the sender's traffic that has moved
  std::optional<move_record> Stop; ///< set once the sender has stopped
  std::vector<evidence_batch> Batches;
  std::vector<crash_report> Crashes;
};

/** Settings of a move. */
struct move_options {
  /** Largest probability, per move, that a good version is rolled back. */
  double FalseAlarmRate = 1e-3;
};

/** One VM's part in a move of a service's traffic to a new version.

    Decides from its own evidence and that of its peers, and continues when
    either is missing. Once the outcome is recorded, the record decides.
*/
class version_move {
public:
  version_move(const move_plan &Plan, std::span<const route_name> Routes,
               move_options Options = {});

  /** Adds the result of one request of this VM as evidence. */
  void observe(const route_name &Route, const version_sample &Sample,
               time_point Now);

  /** Applies an update from a peer in @p Domain. */
  void applyUpdate(const failure_domain_name &Domain, const move_update &Update,
                   time_point Now);

  /** Applies the recorded outcome. The first record applied is final. */
  void applyRecord(const move_record &Record);

  /** Brings the move up to @p Now. To be called several times a second. */
  void advance(time_point Now);

  /** @returns the share of requests that go to the new version. */
  double share() const;

  move_state state() const { return State; }

  /** @returns the record that this VM proposes to write, if any. */
  std::optional<move_record> proposedRecord() const;

  /** @returns the fault for which the version was rolled back, if any. */
  const std::optional<move_fault> &fault() const { return Fault; }

  /** @returns the update to send to peers now, or nothing when none is due. */
  std::optional<move_update> takeUpdate(time_point Now);

private:
  void addToAllRoutes(const ratios_by_kind &Ratios);
  void judge(time_point Now);
  bool judgeAllRoutes();
  void hold(time_point Now);
  void stop(const std::optional<move_fault> &Found);
  void settleCrashes(time_point Now);
  bool isWithinJoinDelay(time_point Now);
  void grow(time_point Now);

  move_plan Plan;
  traffic_ramp Ramp;
  move_state State = move_state::Moving;
  std::map<route_name, route_evidence> Evidence;
  std::vector<version_comparison> AllRoutes; ///< by fault kind
  /** Route of the latest evidence; reported with a fault found in AllRoutes. */
  route_name LatestRoute;
  crash_deduplicator Crashes;
  std::vector<crash_report> PendingCrashes; ///< not sent to peers yet
  std::optional<move_fault> Fault;
  duration RestartInterval;
  time_point HoldUntil;
  time_point LastRestart;
  time_point LastUpdate;
  time_point LastPeerBelowFull; ///< when a peer last reported old traffic
  std::optional<time_point> FirstAdvance;
  std::optional<time_point> FullSince; ///< when this VM's share reached 1
  bool WasUrgent = false;              ///< the last update was urgent
  bool IsStopUnsent = false;           ///< the stop was not sent to peers yet
};

} // namespace sesamepaddle

#endif
