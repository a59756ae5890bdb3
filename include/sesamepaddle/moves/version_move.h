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

/** Where a move stands on one VM. */
enum class move_state : std::uint8_t {
  Moving,
  Held,       ///< at a small share, until the evidence is clear
  Stopped,    ///< taken back here; the record is not written yet
  Finished,   ///< all traffic moved; the record is not written yet
  Done,       ///< recorded
  RolledBack, ///< recorded
};

std::string_view stateName(move_state State);

/** What a VM tells its peers about a move. */
struct move_update {
  double Share = 0; ///< of the sender's traffic
  std::optional<move_record> Stop;
  std::vector<evidence_batch> Batches;
  std::vector<crash_report> Crashes;
};

/** How careful a move is. */
struct move_options {
  double FalseAlarmRate = 1e-3; ///< a good version is taken back, per move
};

/** One VM's part in a move of a service's traffic to a new version.

    Decides from its own evidence and its peers', needs neither to go on, and
    follows the record once that is written.
*/
class version_move {
public:
  version_move(const move_plan &Plan, std::span<const route_name> Routes,
               move_options Options = {});

  /** Takes the end of one request of this VM. */
  void observe(const route_name &Route, const version_sample &Sample,
               time_point Now);

  /** Takes the news of a peer in @p Domain. */
  void applyUpdate(const failure_domain_name &Domain, const move_update &News,
                   time_point Now);

  /** Follows the record; the first one that is seen stands. */
  void applyRecord(const move_record &Record);

  /** Moves on to @p Now. To be called several times a second. */
  void advance(time_point Now);

  /** @returns the share of requests that go to the new version. */
  double share() const;

  move_state state() const { return State; }

  /** @returns the record that this VM wants to be written, if any. */
  std::optional<move_record> proposedRecord() const;

  /** @returns why the version was taken back here, if a fault was found. */
  const std::optional<move_fault> &fault() const { return Fault; }

  /** @returns what peers should hear now, or nothing. */
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
  route_name LatestRoute;
  crash_deduplicator Crashes;
  std::vector<crash_report> PendingCrashes;
  std::optional<move_fault> Fault;
  duration RestartInterval;
  time_point HoldUntil;
  time_point LastRestart;
  time_point LastUpdate;
  time_point LastPeerBelowFull; ///< when a peer still had traffic to move
  std::optional<time_point> FirstAdvance;
  std::optional<time_point> FullSince;
  bool WasUrgent = false;
  bool IsStopUnsent = false; ///< peers have not heard of the stop yet
};

} // namespace sesamepaddle

#endif
