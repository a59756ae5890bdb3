#ifndef SESAMEPADDLE_RATE_LIMITING_OWNED_PART_H
#define SESAMEPADDLE_RATE_LIMITING_OWNED_PART_H

#include "sesamepaddle/rate_limiting/domain_ledger.h"

#include <array>
#include <map>
#include <optional>
#include <set>

namespace sesamepaddle {

/** The part of every limit that this process owns, and the VMs to which it is
    lent, slot by slot.

    Ownership does not expire: a running process keeps its part however long the
    platform is unavailable. A process that was paused for longer than
    share_timing::PauseLimit loses its part and registers again.
*/
class owned_part {
public:
  owned_part(vm_identity Self, share_timing Timing, share_rules Rules,
             time_point Start);

  /** Records that the process is running, for checkPause(). Call it at every
      heartbeat. */
  void markRunning(time_point Now);

  /** Gives up the part if the process was paused for longer than
      share_timing::PauseLimit.
      @returns true when it was given up. */
  bool checkPause(time_point Now);

  /** Adopts a ledger that was read from the platform. A revision older than
      the newest one seen is ignored. */
  void applyLedger(const domain_ledger &Ledger, std::uint64_t Revision);

  /** Computes the ledger that this process wants to commit: itself
      registered, the parts of VMs that are gone reclaimed, and its own part
      moved towards an even division.
      @param Listed  the VM list as last read
      @returns nothing when the ledger needs no change. */
  std::optional<domain_ledger> proposeLedger(const domain_ledger &Ledger,
                                             const std::set<vm_name> &Listed,
                                             time_point Now);

  /** Lends the part to @p Home in each slot of @p Wanted that is not lent to
      another process.
      @returns the slots that are now lent to @p Home. */
  slot_mask lend(slot_mask Wanted, const vm_identity &Home, time_point Now);

  /** @returns the time until every loan of the slots has ended. */
  duration timeUntilFree(slot_mask Slots, time_point Now) const;

  /** @returns the parts of a slot that this process may use itself, that is,
      those that are not lent. */
  share_parts usable(std::size_t Slot, time_point Now) const;

  /** @returns the parts that this process owns, lent or not. */
  share_parts owned() const { return Owned; }

private:
  struct slot_loan {
    vm_identity Home;
    share_parts Parts = 0;
    time_point Until{};
  };

  /** An entry of the ledger whose VM is missing from the VM list. */
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
  /** When the loans made before the start or a long pause have ended. */
  time_point UsableFrom;
  std::uint32_t Registration = 1;
  std::uint64_t SeenRevision = 0;
  share_parts Owned = 0;
  share_parts InLedger = 0;            ///< own parts in the newest ledger
  std::optional<share_parts> ShrinkTo; ///< set until the ledger shows it
  time_point ShrunkFrom{};             ///< when the shrinking began
  std::array<slot_loan, SlotCount> Loans;
  std::map<vm_name, missing_owner> Missing;
  time_point LastListed; ///< when the last VM list was read
};

} // namespace sesamepaddle

#endif
