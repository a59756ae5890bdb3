#include "sesamepaddle/rate_limiting/share_holder.h"

#include <algorithm>
#include <utility>

namespace sesamepaddle {

namespace {

// A VM requests more tokens before those that a home granted run out: when they
// no longer cover another request, it asks for this many times what one needs.
constexpr double PrefetchFactor = 2;

// Rendezvous hashing: a VM that joins or leaves moves only its own slots.
// FNV-1a over the name, then part of the MurmurHash3 finalizer.
std::uint64_t rendezvousWeight(const vm_name &Vm, std::size_t Slot) {
  std::uint64_t Hash = 14695981039346656037ULL ^ Slot;
  for (const char Byte : Vm.view())
    Hash = (Hash ^ static_cast<unsigned char>(Byte)) * 1099511628211ULL;
  Hash ^= Hash >> 33U;
  Hash *= 0xff51afd7ed558ccdULL;
  return Hash ^ (Hash >> 33U);
}

} // namespace

share_holder::share_holder(vm_identity Self, time_point Start,
                           share_timing Timing, share_rules Rules)
    : Self(Self), Timing(Timing), Rules(Rules),
      Owned(Self, Timing, Rules, Start), Cache(Self.Incarnation, Timing, Rules),
      FirstClaimAt(Start + Timing.LoanTime), NextHeartbeat(Start) {
  Pools.fill(share_pool(Timing, Rules));
  Homes.fill(Self.Name);
}

void share_holder::setLimit(const limit_name &Limit, limit_shape Shape,
                            time_point Now) {
  Pools[slotOf(Limit)].setLimit(Limit, Shape, Now);
}

void share_holder::setPeers(std::span<const vm_name> Reached, time_point Now) {
  Peers = std::set<vm_name>(Reached.begin(), Reached.end());
  Peers.erase(Self.Name);
  const auto Before = Homes;
  chooseHomes(Now);
  // Claims a slot whose home is gone without waiting for the next heartbeat.
  for (std::size_t Slot = 0; Slot < SlotCount; ++Slot)
    if (Homes[Slot] == Self.Name && Before[Slot] != Self.Name)
      NextHeartbeat = Now;
}

void share_holder::leave(time_point Now) {
  IsLeaving = true;
  chooseHomes(Now);
}

void share_holder::heartbeat(time_point Now) {
  checkPause(Now);
  Owned.markRunning(Now);
  Cache.expire(Now);
  syncAllOwn(Now);
  chooseHomes(Now);
  slot_mask Slots = 0;
  for (std::size_t Slot = 0; Slot < SlotCount; ++Slot) {
    Pools[Slot].expire(Now);
    if (Homes[Slot] == Self.Name)
      Slots |= maskOf(Slot);
  }
  std::erase_if(OpenLoans, [&](const auto &Request) {
    return Request.second.SentAt + Timing.LoanTime <= Now;
  });
  NextHeartbeat = Now + Timing.HeartbeatInterval;
  if (Slots == 0 || Now < FirstClaimAt)
    return;
  recordClaims(Self.Name, Slots, Now);
  for (const auto &Peer : Peers) {
    const share_sequence Sequence = ++LastSequence;
    OpenLoans[Sequence] = {Peer, Now};
    Outbox.push_back({Peer, loan_request{Sequence, Slots}});
  }
}

void share_holder::receive(const vm_identity &From,
                           const share_message &Message, time_point Now) {
  checkPause(Now);
  if (const auto *Request = std::get_if<loan_request>(&Message))
    receiveLoanRequest(From, *Request, Now);
  else if (const auto *Loan = std::get_if<loan_reply>(&Message))
    receiveLoan(*Loan, Now);
  else if (const auto *Ask = std::get_if<token_request>(&Message))
    receiveTokenRequest(From, *Ask, Now);
  else if (const auto *Tokens = std::get_if<token_reply>(&Message))
    Cache.receive(*Tokens, Now);
  else if (const auto *Spent = std::get_if<tokens_spent>(&Message))
    Pools[slotOf(Spent->Limit)].endGrant(From, *Spent, Now);
}

take_result share_holder::tryTake(const limit_name &Limit, double Tokens,
                                  time_point Now) {
  const std::size_t Slot = slotOf(Limit);
  if (Rules.ChecksDeadlineAtSpend) {
    checkPause(Now);
    syncOwn(Slot, Now);
  }
  if (Pools[Slot].tryTake(Limit, Tokens, Now))
    return take_result::Taken;
  if (Cache.tryTake(Limit, Tokens, Now)) {
    sendSpent();
    prefetchTokens(Limit, Tokens, Now);
    return take_result::Taken;
  }
  return Homes[Slot] == Self.Name ? take_result::Refused : take_result::AskHome;
}

token_batch share_holder::takeBatch(const limit_name &Limit, double Tokens,
                                    double Unit, time_point Now) {
  checkPause(Now);
  const std::size_t Slot = slotOf(Limit);
  syncOwn(Slot, Now);
  const share_sequence Sequence = ++LastSequence;
  const double Taken =
      Pools[Slot].grant(Self, {Sequence, Limit, Tokens, Unit}, Now);
  return {Sequence, Taken, Now + Timing.GrantTime};
}

void share_holder::endBatch(const limit_name &Limit, share_sequence Sequence,
                            time_point Now) {
  Pools[slotOf(Limit)].endGrant(Self, {Sequence, Limit}, Now);
}

void share_holder::askHome(const limit_name &Limit, double Tokens, double Unit,
                           time_point Now) {
  const vm_name &Home = homeOf(Limit);
  if (Home != Self.Name)
    Outbox.push_back({Home, Cache.ask(Limit, Tokens, Unit, Now)});
}

void share_holder::applyLedger(const domain_ledger &Ledger,
                               std::uint64_t Revision, time_point Now) {
  checkPause(Now);
  Owned.applyLedger(Ledger, Revision);
  syncAllOwn(Now);
}

std::optional<domain_ledger>
share_holder::proposeLedger(const domain_ledger &Ledger,
                            const std::set<vm_name> &Listed, time_point Now) {
  checkPause(Now);
  auto Wanted = Owned.proposeLedger(Ledger, Listed, Now);
  syncAllOwn(Now);
  return Wanted;
}

std::vector<outgoing_share_message> share_holder::takeOutbox() {
  return std::exchange(Outbox, {});
}

const vm_name &share_holder::homeOf(const limit_name &Limit) const {
  return Homes[slotOf(Limit)];
}

share_parts share_holder::held(const limit_name &Limit, time_point Now) const {
  return Pools[slotOf(Limit)].held(Now);
}

void share_holder::checkPause(time_point Now) {
  if (Owned.checkPause(Now))
    syncAllOwn(Now);
}

void share_holder::syncOwn(std::size_t Slot, time_point Now) {
  Pools[Slot].setOwn(Owned.usable(Slot, Now), Now);
}

void share_holder::syncAllOwn(time_point Now) {
  for (std::size_t Slot = 0; Slot < SlotCount; ++Slot)
    syncOwn(Slot, Now);
}

// Lends only to the VM that this VM also regards as the slot's home. Tokens
// granted from the own part must expire before another VM may use that part.
void share_holder::receiveLoanRequest(const vm_identity &Home,
                                      const loan_request &Request,
                                      time_point Now) {
  recordClaims(Home.Name, Request.Slots, Now);
  slot_mask Wanted = 0;
  for (std::size_t Slot = 0; Slot < SlotCount; ++Slot)
    if ((Request.Slots & maskOf(Slot)) != 0 && Homes[Slot] == Home.Name &&
        !Pools[Slot].hasGrants(Now))
      Wanted |= maskOf(Slot);
  const slot_mask Lent = Owned.lend(Wanted, Home, Now);
  syncAllOwn(Now);
  const slot_mask Denied = Request.Slots & ~Lent;
  const duration FreeIn = Owned.timeUntilFree(Denied, Now);
  if (Lent != 0 || FreeIn > duration(0))
    Outbox.push_back({Home.Name, loan_reply{Request.Sequence, Home.Incarnation,
                                            Lent, Owned.owned(), FreeIn}});
}

void share_holder::receiveLoan(const loan_reply &Reply, time_point Now) {
  if (Rules.ChecksIncarnation && Reply.Home != Self.Incarnation)
    return;
  const auto Request = OpenLoans.find(Reply.Sequence);
  if (Request == OpenLoans.end())
    return;
  const auto [Owner, SentAt] = Request->second;
  OpenLoans.erase(Request);
  if (Reply.FreeIn > duration(0))
    NextHeartbeat =
        std::min(NextHeartbeat, Now + Timing.withClockDrift(Reply.FreeIn));
  if (NewestLoan[Owner] > Reply.Sequence)
    return;
  NewestLoan[Owner] = Reply.Sequence;
  for (std::size_t Slot = 0; Slot < SlotCount; ++Slot)
    if ((Reply.Slots & maskOf(Slot)) != 0)
      Pools[Slot].setLoan(Owner, Reply.Parts, SentAt + Timing.LoanTime, Now);
}

void share_holder::receiveTokenRequest(const vm_identity &Asker,
                                       const token_request &Request,
                                       time_point Now) {
  const std::size_t Slot = slotOf(Request.Limit);
  syncOwn(Slot, Now);
  double Tokens = 0;
  if (Homes[Slot] == Self.Name)
    Tokens = Pools[Slot].grant(Asker, Request, Now);
  Outbox.push_back({Asker.Name, token_reply{Request.Sequence, Asker.Incarnation,
                                            Request.Limit, Tokens}});
}

void share_holder::sendSpent() {
  for (auto &Spent : Cache.takeSpent())
    Outbox.push_back({homeOf(Spent.Limit), std::move(Spent)});
}

// When two VMs claim a slot, all VMs prefer the one with the higher weight.
void share_holder::recordClaims(const vm_name &Claimant, slot_mask Slots,
                                time_point Now) {
  // A VM that is leaving may claim slots until it learns that it is leaving.
  if (Claimant != Self.Name && !Peers.contains(Claimant))
    return;
  for (std::size_t Slot = 0; Slot < SlotCount; ++Slot) {
    if ((Slots & maskOf(Slot)) == 0)
      continue;
    const slot_claim &Claim = Claims[Slot];
    if (Claim.Claimant != Claimant && isClaimValid(Claim, Now) &&
        rendezvousWeight(Claim.Claimant, Slot) >
            rendezvousWeight(Claimant, Slot))
      continue;
    Claims[Slot] = {Claimant, Now};
    Homes[Slot] = Claimant;
  }
}

// A home stays while it is reachable, because each move loses the tokens in the
// bucket and blocks the lent parts until their loans end.
void share_holder::chooseHomes(time_point Now) {
  for (std::size_t Slot = 0; Slot < SlotCount; ++Slot)
    Homes[Slot] = isClaimValid(Claims[Slot], Now) ? Claims[Slot].Claimant
                                                  : bestPeer(Slot);
}

bool share_holder::isClaimValid(const slot_claim &Claim, time_point Now) const {
  return Now - Claim.HeardAt < Timing.LoanTime &&
         (Claim.Claimant == Self.Name ? !IsLeaving
                                      : Peers.contains(Claim.Claimant));
}

const vm_name &share_holder::bestPeer(std::size_t Slot) const {
  const vm_name *Best = &Self.Name;
  for (const auto &Peer : Peers) {
    const bool IsOnlyChoice = IsLeaving && Best == &Self.Name;
    if (IsOnlyChoice ||
        rendezvousWeight(Peer, Slot) > rendezvousWeight(*Best, Slot))
      Best = &Peer;
  }
  return *Best;
}

void share_holder::prefetchTokens(const limit_name &Limit, double Tokens,
                                  time_point Now) {
  if (!Cache.hasOpenRequest(Limit) && Cache.available(Limit, Now) < Tokens)
    askHome(Limit, Tokens * PrefetchFactor, Tokens, Now);
}

} // namespace sesamepaddle
