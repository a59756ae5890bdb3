#include "sesamepaddle/rate_limiting/owned_part.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace sesamepaddle {

owned_part::owned_part(vm_identity Self, share_timing Timing, share_rules Rules,
                       time_point Start)
    : Self(std::move(Self)), Timing(Timing), Rules(Rules), LastRun(Start),
      UsableFrom(Start), LastListed(Start) {
  // A predecessor of the same name may have lent its part just before it died.
  if (Rules.WaitsOutLoans)
    UsableFrom += Timing.withClockDrift(Timing.withClockDrift(Timing.LoanTime));
}

void owned_part::markRunning(time_point Now) {
  LastRun = std::max(LastRun, Now);
}

bool owned_part::checkPause(time_point Now) {
  if (Now - LastRun <= Timing.PauseLimit)
    return false;
  // Another VM may have reclaimed the part in the meantime, or a commit that
  // does so may still be in flight. Only a ledger write with a new registration
  // settles who owns it.
  ++Registration;
  Owned = 0;
  InLedger = 0;
  ShrinkTo.reset();
  LastRun = Now;
  UsableFrom = std::max(
      UsableFrom,
      Now + Timing.withClockDrift(Timing.withClockDrift(Timing.LoanTime)));
  return true;
}

void owned_part::applyLedger(const domain_ledger &Ledger,
                             std::uint64_t Revision) {
  if (Revision < SeenRevision)
    return;
  SeenRevision = Revision;
  const auto Entry = Ledger.Entries.find(Self.Name);
  const bool IsMine = Entry != Ledger.Entries.end() &&
                      Entry->second.Owner == Self.Incarnation &&
                      Entry->second.Registration == Registration;
  InLedger = IsMine ? Entry->second.Parts : 0;
  if (ShrinkTo && InLedger <= *ShrinkTo)
    ShrinkTo.reset();
  Owned = ShrinkTo ? std::min(InLedger, *ShrinkTo) : InLedger;
}

std::optional<domain_ledger>
owned_part::proposeLedger(const domain_ledger &Ledger,
                          const std::set<vm_name> &Listed, time_point Now) {
  domain_ledger Wanted = Ledger;
  registerSelf(Wanted);
  reclaimMissing(Wanted, Listed, Now);
  rebalanceParts(Wanted, Now);
  if (Wanted == Ledger)
    return std::nullopt;
  return Wanted;
}

slot_mask owned_part::lend(slot_mask Wanted, const vm_identity &Home,
                           time_point Now) {
  if (Owned == 0 || Now < UsableFrom)
    return 0;
  slot_mask Lent = 0;
  for (std::size_t Slot = 0; Slot < SlotCount; ++Slot) {
    if ((Wanted & maskOf(Slot)) == 0)
      continue;
    slot_loan &Loan = Loans[Slot];
    const bool IsRunning = Now < Loan.Until;
    if (IsRunning && Loan.Home != Home)
      continue;
    // The home may still use an earlier loan of more parts.
    Loan.Parts = IsRunning ? std::max(Loan.Parts, Owned) : Owned;
    Loan.Home = Home;
    Loan.Until = Now + Timing.withClockDrift(Timing.LoanTime);
    Lent |= maskOf(Slot);
  }
  return Lent;
}

duration owned_part::timeUntilFree(slot_mask Slots, time_point Now) const {
  duration Longest = std::max(duration(0), UsableFrom - Now);
  for (std::size_t Slot = 0; Slot < SlotCount; ++Slot)
    if ((Slots & maskOf(Slot)) != 0)
      Longest = std::max(Longest, Loans[Slot].Until - Now);
  return Longest;
}

share_parts owned_part::usable(std::size_t Slot, time_point Now) const {
  if (Now < UsableFrom)
    return 0;
  const slot_loan &Loan = Loans[Slot];
  const share_parts Lent = Now < Loan.Until ? Loan.Parts : 0;
  return Owned > Lent ? Owned - Lent : 0;
}

void owned_part::registerSelf(domain_ledger &Ledger) const {
  ledger_entry &Entry = Ledger.Entries[Self.Name];
  Entry.Owner = Self.Incarnation;
  Entry.Registration = Registration;
}

// The wait before a part is reclaimed applies to one registration. The VM list
// lags, so it may not show a successor yet; the successor must not inherit the
// time for which its predecessor was missing.
void owned_part::noteMissing(const vm_name &Name, const ledger_entry &Entry,
                             time_point Now) {
  const auto [Note, IsNew] =
      Missing.try_emplace(Name, missing_owner{Entry, Now});
  const bool IsSame = Note->second.Entry.Owner == Entry.Owner &&
                      Note->second.Entry.Registration == Entry.Registration;
  if (Rules.ChecksIncarnation && !IsSame)
    Note->second = {Entry, Now};
}

// All waits start again when more than PauseLimit has passed since the previous
// VM list was read.
void owned_part::reclaimMissing(domain_ledger &Ledger,
                                const std::set<vm_name> &Listed,
                                time_point Now) {
  if (Now - LastListed > Timing.PauseLimit)
    Missing.clear();
  LastListed = Now;
  std::vector<vm_name> Gone;
  for (const auto &[Name, Entry] : Ledger.Entries) {
    if (Name == Self.Name || Listed.contains(Name)) {
      Missing.erase(Name);
      continue;
    }
    noteMissing(Name, Entry, Now);
    if (Now - Missing.at(Name).Since >=
        Timing.withClockDrift(Timing.ReclaimWait))
      Gone.push_back(Name);
  }
  for (const auto &Name : Gone)
    Ledger.release(Name);
}

// A part that is too small grows from the free parts at once. One that is too
// large shrinks in two steps: this process first stops using the excess, and
// returns it to the ledger only after the loans of it have ended.
void owned_part::rebalanceParts(domain_ledger &Ledger, time_point Now) {
  ledger_entry &Mine = Ledger.Entries[Self.Name];
  const share_parts Fair = Ledger.fairPart();
  if (Mine.Parts < Fair) {
    const share_parts Taken = std::min(Ledger.Free, Fair - Mine.Parts);
    Ledger.Free -= Taken;
    Mine.Parts += Taken;
    return;
  }
  const share_parts Rest =
      Ledger.total() - Fair * static_cast<share_parts>(Ledger.Entries.size());
  if (Mine.Parts <= Fair + Rest || InLedger != Mine.Parts)
    return;
  if (!ShrinkTo) {
    ShrinkTo = Fair;
    ShrunkFrom = Now;
    if (Rules.ShrinksBeforeGrow)
      Owned = std::min(Owned, Fair);
  }
  const duration Wait =
      Timing.withClockDrift(Timing.withClockDrift(Timing.LoanTime));
  if (Rules.ShrinksBeforeGrow && Now - ShrunkFrom < Wait)
    return;
  Ledger.Free += Mine.Parts - *ShrinkTo;
  Mine.Parts = *ShrinkTo;
}

} // namespace sesamepaddle
