#ifndef SESAMEPADDLE_MEMBERSHIP_MEMBER_TABLE_H
#define SESAMEPADDLE_MEMBERSHIP_MEMBER_TABLE_H

#include "sesamepaddle/core/clock.h"
#include "sesamepaddle/membership/membership_message.h"

#include <cstddef>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace sesamepaddle {

/** One incarnation of a VM and the latest state known of it. */
struct member_record {
  member_address Address;
  member_entry Entry;
  time_point LastProgress; ///< when its heartbeat last rose in this table
  time_point LastChange;   ///< when its state last changed in this table
};

/** The incarnations that this VM knows, with their states.

    Merging entries is commutative and idempotent, so that messages may arrive
    in any order and more than once: Leaving is final, otherwise the higher
    heartbeat wins, and at equal heartbeats Suspected wins over Live.
*/
class member_table {
public:
  /** Adds an incarnation unless it is present. Its state is Leaving if it has
      already left, and otherwise Suspected at heartbeat 0 until an entry
      supersedes that. */
  void describe(const member_description &Description, time_point Now);

  /** Merges an entry. If the incarnation has not been described, the entry is
      ignored, except that a departure is remembered.
      @returns true when the state of a described incarnation became Leaving. */
  bool merge(const member_entry &Entry, time_point Now);

  /** Marks the live incarnations of @p Domain, except @p Self, as Suspected if
      their heartbeat has not risen since @p Limit. */
  void suspectSilent(const failure_domain_name &Domain, incarnation Self,
                     time_point Limit, time_point Now);

  /** Removes the incarnations that have been Suspected or Leaving since before
      @p Limit and for which @p MayForget returns true. An incarnation that has
      left is still remembered as departed. */
  template <typename Predicate>
  void forget(time_point Limit, Predicate MayForget) {
    Revision += std::erase_if(Records, [&](const auto &Item) {
      const member_record &Record = Item.second;
      return Record.Entry.State != member_state::Live &&
             Record.LastChange < Limit && MayForget(Record);
    });
  }

  /** Adds @p Pause to each LastProgress. Called after this process was paused,
      so that its own pause does not count as silence of other VMs. */
  void shiftProgressTimes(duration Pause);

  /** @returns true when @p Incarnation is in the table or has departed. */
  bool knows(incarnation Incarnation) const;

  /** @returns the record, or null. */
  const member_record *find(incarnation Incarnation) const;

  /** @returns a digest of the set of live incarnations of @p Domain. Two VMs
      with different digests know different sets. */
  std::uint64_t liveDigest(const failure_domain_name &Domain) const;

  /** @returns the entries of @p Domain in every state. */
  std::vector<member_entry> entriesOf(const failure_domain_name &Domain) const;

  const std::map<incarnation, member_record> &all() const { return Records; }

  /** @returns a number that rises whenever an incarnation is added or removed
      or its state changes. */
  std::uint64_t revision() const { return Revision; }

private:
  /** Remembers that an incarnation has left; forgets the oldest one beyond the
      limit. */
  void markDeparted(incarnation Incarnation);

  std::map<incarnation, member_record> Records;
  std::uint64_t Revision = 0;
  // Incarnations that have left. They are kept after their records are removed,
  // so that a late message can't make one live again.
  std::set<incarnation> Departed;
  std::deque<incarnation> DepartedInOrder; // oldest first, for eviction
};

} // namespace sesamepaddle

#endif
