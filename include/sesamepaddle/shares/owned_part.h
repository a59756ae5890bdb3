#ifndef SESAMEPADDLE_SHARES_OWNED_PART_H
#define SESAMEPADDLE_SHARES_OWNED_PART_H

#include "sesamepaddle/shares/domain_ledger.h"

#include <array>
#include <map>
#include <optional>
#include <set>

namespace sesamepaddle {

/** The part of every limit that this process owns, and to whom it is lent.

    Ownership has no expiry: a process that goes on running keeps its part
    however long the platform is away. One that was paused for longer than
    share_timing::PauseLimit has lost it and registers anew.
*/
class owned_part {
public:
  owned_part(vm_identity Self, share_timing Timing, share_rules Rules,
             time_point Start);

  /** Says that the process runs. Call it at every heartbeat. */
  void markRunning(time_point Now);

  /** Gives up the part when the process was paused too long.
      @returns true when it was given up. */
  bool checkPause(time_point Now);

  /** Takes in the ledger as read; reads older than the newest are ignored. */
  void applyLedger(const domain_ledger &Ledger, std::uint64_t Revision);

  /** Works out the ledger that this process wants: itself registered, parts of
      VMs that are gone taken back, and all parts spread evenly.
      @param Listed  the VM list as last read
      @returns nothing when the ledger can stay as it is. */
  std::optional<domain_ledger> proposeLedger(const domain_ledger &Ledger,
                                             const std::set<vm_name> &Listed,
                                             time_point Now);

  /** Lends the part in those of the slots @p Wanted that are not lent to
      another VM. @returns the slots that are lent. */
  slot_mask lend(slot_mask Wanted, const vm_identity &Home, time_point Now);

  /** @returns how long until no loan of the slots runs any more. */
  duration timeUntilFree(slot_mask Slots, time_point Now) const;

  /** @returns the parts that this process may itself use in a slot. */
  share_parts usable(std::size_t Slot, time_point Now) const;

  /** @returns the parts that it owns, lent or not. */
  share_parts owned() const { return Owned; }

private:
  struct slot_loan {
    vm_identity Home;
    share_parts Parts = 0;
    time_point Until{};
  };

  struct missing_owner {
    ledger_entry Entry;
    time_point Since;
  };

  void noteMissing(const vm_name &Name, const ledger_entry &Entry,
                   time_point Now);
  void reclaimMissing(domain_ledger &Ledger, const std::set<vm_name> &Listed,
                      time_point Now);
  void registerSelf(domain_ledger &Ledger) const;
  void rebalanceParts(domain_ledger &Ledger, time_point Now);

  vm_identity Self;
  share_timing Timing;
  share_rules Rules;
  time_point LastRun;
  time_point UsableFrom; ///< loans of an earlier process have ended by then
  std::uint32_t Registration = 1;
  std::uint64_t SeenRevision = 0;
  share_parts Owned = 0;
  share_parts InLedger = 0;
  std::optional<share_parts> ShrinkTo;
  time_point ShrunkFrom{};
  std::array<slot_loan, SlotCount> Loans;
  std::map<vm_name, missing_owner> Missing;
  time_point LastListed;
};

} // namespace sesamepaddle

#endif
