#ifndef SESAMEPADDLE_MOVES_FLEET_ROLLOUT_H
#define SESAMEPADDLE_MOVES_FLEET_ROLLOUT_H

#include "sesamepaddle/core/clock.h"
#include "sesamepaddle/core/identifiers.h"
#include "sesamepaddle/moves/usual_latency.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace sesamepaddle {

/** An order to move a service's traffic to the endpoints of a version. */
struct rollout_order {
  service_name Service;
  version_name To;
  std::chrono::milliseconds Duration{0}; ///< in which all traffic has to move

  friend bool operator==(const rollout_order &,
                         const rollout_order &) = default;
};

/** How an order ended, as recorded in the store. */
enum class rollout_outcome : std::uint8_t { Completed, RolledBack };

/** Numbers of answers of both versions on one route since the order. */
struct rollout_counts {
  std::uint32_t NewGood = 0;
  std::uint32_t NewBad = 0;
  std::uint32_t OldGood = 0;
  std::uint32_t OldBad = 0;
  // Bad ones that the endpoint itself reported as errors.
  std::uint32_t NewErrors = 0;
  std::uint32_t OldErrors = 0;
};

/** What is known of the requests that the new version got while it had the
   whole load. */
struct trial_counts {
  std::uint32_t Good = 0;
  std::uint32_t Bad = 0;
  std::uint32_t Overdue = 0; ///< without an answer for longer than usual
};

/** What a VM reports to the others about an order. */
struct rollout_report {
  std::map<std::string, rollout_counts> CountsByRoute; ///< since the order
  trial_counts Trial;
  bool IsFaulty = false; ///< the sender judged the new version bad
  std::optional<rollout_outcome> Recorded; ///< if known to the sender
};

/** How far one VM is with an order. */
enum class rollout_stage : std::uint8_t {
  Early,     ///< a small share of the requests goes to the new version
  Trial,     ///< all traffic moves, as far as the limits allow
  Proven,    ///< all traffic moves, as the new version has borne it
  Faulty,    ///< the new version was found to be bad
  Completed, ///< recorded
  RolledBack ///< recorded
};

/** @returns the name of @p Stage for logs. */
std::string_view nameOf(rollout_stage Stage);

/** Largest number of requests that a bad version may get, over all VMs: a share
    of the requests plus a fixed number. */
struct rollout_limits {
  double Share = 0.1; ///< of the service's requests since the order
  double Slack = 50;  ///< requests beyond the share
};

/** When an order was learned, and what its requests are like. */
struct rollout_terms {
  time_point Start{};       ///< of the order
  duration LearnedAfter{0}; ///< time from the start until this VM knew it
  /** In which answers of the service are expected. */
  std::chrono::milliseconds AnswerTime{1'000};
};

/** The version that was drawn for a request. */
struct rollout_draw {
  bool IsNew = false;
  /** Number of the request if its answer shows whether the new version bears
     the whole load; 0: it does not. To be passed to endTrial(). */
  std::uint64_t Trial = 0;
};

/** One VM's part in moving a service to a new version.

    The new version gets a small share of the requests until some time before
   the end of the order, however good the evidence is, because a fault may begin
    late. Then it gets all of them, on trial: as many as the limits allow for a
    bad version. The order is recorded as completed only once answers show that
    the new version has borne the whole load, and after a time in which the
    requests at the old endpoints finish. A version of which that is not known
   at the end of the order is rolled back. Evidence is the sum of all VMs'
   counts.

    Unlike version_move this class neither judges by an e-process nor grows the
    share step by step: its bounds on exposure leave no room for steps, and only
    tens of samples to judge by.
*/
class fleet_rollout {
public:
  fleet_rollout(rollout_order Order, rollout_limits Limits,
                rollout_terms Terms);

  const rollout_order &order() const { return Order; }

  /** Decides whether one request goes to the new version, and counts it.
      @param Draw  uniform random number in [0, 1)
      @param Vms  number of VMs that share the slack */
  rollout_draw drawVersion(double Draw, std::size_t Vms);

  /** Ends the trial of a request. Does nothing when it has ended before.
      @param Trial  as drawn
      @param IsBad  whether its answer was bad; unset: it shows nothing, as the
                    request was not run or its caller has left */
  void endTrial(std::uint64_t Trial, std::optional<bool> IsBad);

  /** Counts an answer. @p IsBad when it failed or came too late. */
  void observe(const route_name &Route, bool IsNew, bool IsBad);

  /** Counts a bad answer that is an error of the endpoint. Unlike late ones,
      errors do not become more when both versions have too much load. */
  void observeError(const route_name &Route, bool IsNew);

  /** Counts an answer that did not fail: as a bad one when it took several
      times as long as answers of the old version do and not all traffic is
      moving yet.
      @param IsKnownObject  the endpoint had handled the object before */
  void observeLatency(const route_name &Route, bool IsNew, bool IsKnownObject,
                      duration Took);

  /** Replaces the latest report of the peer @p Vm. */
  void applyPeer(const std::string &Vm, rollout_report Report);

  /** Judges the evidence at @p Now and updates the proposal.
      @param IsStoreFresh  whether this VM's view of the store is current. If it
                           is not, this VM does not shift all traffic, because
                           the order may have been recorded as rolled back. */
  void advance(time_point Now, bool IsStoreFresh);

  /** @returns the outcome that should be recorded now, if any. */
  std::optional<rollout_outcome> proposal() const { return Proposal; }

  /** Applies the recorded outcome, which is final. */
  void record(rollout_outcome Outcome);

  std::optional<rollout_outcome> recorded() const { return Recorded; }

  rollout_stage stage() const;

  /** @returns the counts of all routes and VMs that are known here. */
  rollout_counts total() const;

  /** @returns the report to send to the other VMs. */
  rollout_report report() const;

  /** @returns true while report() should reach the other VMs quickly. */
  bool isUrgent() const { return !Recorded && (IsShifting || IsFaulty); }

  /** @returns what is known of the trial, over all VMs. */
  trial_counts trial() const;

  /** @returns the time after which an answer of the new version is overdue. */
  duration lateTime() const;

private:
  using counts_by_route = std::map<std::string, rollout_counts>;
  struct snapshot {
    time_point At;
    counts_by_route Counts;
  };

  counts_by_route sum() const;
  bool isFaultFound(time_point Now);
  /** @returns the answers to requests of the whole load that are needed. */
  double trialAnswersWanted(time_point Now) const;
  /** @returns true when the new version has borne the whole load. */
  bool isShownGood(time_point Now) const;
  /** @returns the time before the end of the order at which the shift begins.
   */
  duration shiftTime(time_point Now) const;
  /** @returns the answers of both versions per second, over all VMs. */
  double answerRate(time_point Now) const;
  trial_counts ownTrial() const;
  rollout_draw drawInShift(double Draw, double MostToNew);

  rollout_order Order;
  rollout_limits Limits;
  rollout_terms Terms;
  std::uint64_t Requests = 0; ///< that this VM drew a version for
  std::uint64_t SentToNew = 0;
  /** Spreads the rounding of the VMs' parts of the limits over the VMs. */
  double Rounding = 0;
  std::map<std::uint64_t, time_point> OpenTrials; ///< by number, since when
  std::uint64_t LatestTrial = 0;
  trial_counts EndedTrials; ///< Overdue is unused
  counts_by_route Own;
  std::map<std::string, usual_latency> UsualByRoute;
  std::map<std::string, rollout_report> Peers;
  std::deque<snapshot> Snapshots; ///< of sum(), to judge the latest answers
  time_point ShiftStart{};
  time_point ProvenShiftStart{}; ///< of the shift without limits
  time_point LatestOld{};        ///< draw of the old version
  time_point LatestAdvance{};
  bool IsFaulty = false;
  bool IsShifting = false;
  bool IsProven = false;
  std::optional<rollout_outcome> Proposal;
  std::optional<rollout_outcome> Recorded;
};

} // namespace sesamepaddle

#endif
