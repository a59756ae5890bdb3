#ifndef SESAMEPADDLE_MOVES_FLEET_ROLLOUT_H
#define SESAMEPADDLE_MOVES_FLEET_ROLLOUT_H

#include "sesamepaddle/core/clock.h"
#include "sesamepaddle/core/identifiers.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>

namespace sesamepaddle {

/** An order to move a service's traffic to the endpoints of a version. */
struct rollout_order {
  service_name Service;
  version_name To;
  std::chrono::milliseconds Duration{0};

  friend bool operator==(const rollout_order &,
                         const rollout_order &) = default;
};

/** How an order ended, as it is recorded. */
enum class rollout_outcome : std::uint8_t { Completed, RolledBack };

/** Answers of both versions on one route since the order. */
struct rollout_counts {
  std::uint32_t NewGood = 0;
  std::uint32_t NewBad = 0;
  std::uint32_t OldGood = 0;
  std::uint32_t OldBad = 0;
};

/** What a VM tells the others about an order. */
struct rollout_report {
  std::map<std::string, rollout_counts> CountsByRoute; ///< since the order
  bool IsFaulty = false; ///< the sender found the new version bad
  std::optional<rollout_outcome> Recorded;
};

/** Bounds on what a version that turns out bad may get, over all VMs. */
struct rollout_limits {
  double Share = 0.1; ///< of the service's requests since the order
  double Slack = 50;  ///< requests beyond the share
};

/** One VM's part in moving a service to a new version.

    The new version gets a small part of the requests until shortly before the
    time that the order sets, whatever the evidence, as a fault may begin late.
    Then all traffic moves, and the order is recorded as completed once nothing
    is left at the old endpoints. Evidence is the sum of all VMs' counts.

    version_move judges by an e-process and grows the share step by step; under
    these bounds on exposure neither is of use: there is no room for steps, and
    the bound leaves tens of samples.
*/
class fleet_rollout {
public:
  fleet_rollout(rollout_order Order, rollout_limits Limits, time_point Start);

  const rollout_order &order() const { return Order; }

  /** Decides for one request whether it goes to the new version, and counts it.
      @param Draw  in [0, 1)
      @param Vms  how many VMs share the slack */
  bool drawNew(double Draw, std::size_t Vms);

  /** Counts an answer. @p IsBad when it failed or came too late. */
  void observe(const route_name &Route, bool IsNew, bool IsBad);

  void applyPeer(const std::string &Vm, rollout_report Report);

  /** Moves on to @p Now.
      @param IsStoreFresh  without the store all traffic must not move, as the
                           order may have been recorded as taken back */
  void advance(time_point Now, bool IsStoreFresh);

  /** @returns the outcome that is to be recorded now, if any. */
  std::optional<rollout_outcome> proposal() const { return Proposal; }

  /** Follows the record. */
  void record(rollout_outcome Outcome);

  std::optional<rollout_outcome> recorded() const { return Recorded; }

  /** @returns what to tell the other VMs. */
  rollout_report report() const;

  /** @returns true while evidence should reach the others fast. */
  bool isUrgent() const { return !Recorded && (IsShifting || IsFaulty); }

private:
  using counts_by_route = std::map<std::string, rollout_counts>;
  struct snapshot {
    time_point At;
    counts_by_route Counts;
  };

  counts_by_route sum() const;
  bool isFaultFound(time_point Now);
  std::size_t newSamples() const;

  rollout_order Order;
  rollout_limits Limits;
  time_point Start;
  std::uint64_t Requests = 0;
  std::uint64_t SentToNew = 0;
  counts_by_route Own;
  std::map<std::string, rollout_report> Peers;
  std::deque<snapshot> Snapshots; ///< of the sums, for judging the latest
  time_point ShiftStart{};
  time_point LatestAdvance{};
  bool IsFaulty = false;
  bool IsShifting = false;
  std::optional<rollout_outcome> Proposal;
  std::optional<rollout_outcome> Recorded;
};

} // namespace sesamepaddle

#endif
