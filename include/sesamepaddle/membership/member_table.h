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

/** One incarnation of a VM with its newest known state. */
struct member_record {
  member_address Address;
  member_entry Entry;
  time_point LastProgress; ///< when its heartbeat last rose here
  time_point LastChange;   ///< when its state last changed here
};

/** The incarnations that a VM knows.

    Entries are merged by a rule that gives the same result in every order and
    however often each comes: leaving is final, a higher heartbeat wins, and at
    the same heartbeat a suspicion wins.
*/
class member_table {
public:
  /** Adds an incarnation, as suspected until an entry says more. */
  void describe(const member_description &Description, time_point Now);

  /** Merges an entry. @returns true when the state changed to Leaving. */
  bool merge(const member_entry &Entry, time_point Now);

  /** Suspects the live VMs of @p Domain whose heartbeat has not risen since
      @p Limit, but for @p Self. */
  void suspectSilent(const failure_domain_name &Domain, incarnation Self,
                     time_point Limit, time_point Now);

  /** Forgets what has been suspected or leaving since before @p Limit, if
      @p MayForget says so. Leaving incarnations stay barred. */
  template <typename Predicate>
  void forget(time_point Limit, Predicate MayForget) {
    Revision += std::erase_if(Records, [&](const auto &Item) {
      const member_record &Record = Item.second;
      return Record.Entry.State != member_state::Live &&
             Record.LastChange < Limit && MayForget(Record);
    });
  }

  /** Moves all times of silence on by @p Pause: this process was away. */
  void shiftProgressTimes(duration Pause);

  bool knows(incarnation Incarnation) const;

  /** @returns the record, or null. */
  const member_record *find(incarnation Incarnation) const;

  /** @returns a digest of the live incarnations of @p Domain; its order of
      summing does not matter. */
  std::uint64_t liveDigest(const failure_domain_name &Domain) const;

  /** @returns all entries of @p Domain. */
  std::vector<member_entry> entriesOf(const failure_domain_name &Domain) const;

  const std::map<incarnation, member_record> &all() const { return Records; }

  /** @returns a number that rises with every change of a state. */
  std::uint64_t revision() const { return Revision; }

private:
  void markDeparted(incarnation Incarnation);

  std::map<incarnation, member_record> Records;
  std::uint64_t Revision = 0;
  // Incarnations that have left, so that no late message brings one back.
  std::set<incarnation> Departed;
  std::deque<incarnation> DepartedInOrder;
};

} // namespace sesamepaddle

#endif
