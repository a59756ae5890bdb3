#ifndef SESAMEPADDLE_SHARES_SHARE_HOLDER_H
#define SESAMEPADDLE_SHARES_SHARE_HOLDER_H

#include "sesamepaddle/shares/owned_part.h"
#include "sesamepaddle/shares/share_messages.h"
#include "sesamepaddle/shares/share_pool.h"
#include "sesamepaddle/shares/token_cache.h"

#include <array>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <vector>

namespace sesamepaddle {

/** What a VM may do with a request that counts against a limit. */
enum class take_result {
  Taken,   ///< tokens are spent; the request may run
  AskHome, ///< askHome(), and try again when the answer is there
  Refused, ///< the limit is used up
};

/** Tokens that were set apart to be spent without further questions. */
struct token_batch {
  share_sequence Sequence = 0;
  double Tokens = 0;
  time_point Deadline{}; ///< checked when a token is spent
};

/** One VM's side of all fleet-wide limits.

    Each VM owns a part of every limit and lends its use to the home of the
    limit's slot, so that in quiet times each limit has one bucket. It knows no
    socket: messages go out through takeOutbox(), and the time is an argument.
    Calls must not overlap.
*/
class share_holder {
public:
  share_holder(vm_identity Self, time_point Start, share_timing Timing = {},
               share_rules Rules = {});

  /** Adds a limit or gives it another shape. */
  void setLimit(const limit_name &Limit, limit_shape Shape, time_point Now);

  /** Sets the other VMs that are reached; homes are chosen among them. */
  void setPeers(std::span<const vm_name> Reached, time_point Now);

  /** From now on this VM is no home while another is reached; it goes on
      lending what it owns. */
  void leave(time_point Now);

  /** Renews loans. Call it every share_timing::HeartbeatInterval, or earlier
      when nextHeartbeat() says so. */
  void heartbeat(time_point Now);

  /** @returns when heartbeat() is to be called next. */
  time_point nextHeartbeat() const { return NextHeartbeat; }

  /** Takes in a message from another VM. */
  void receive(const vm_identity &From, const share_message &Message,
               time_point Now);

  /** Spends tokens, all or none. */
  take_result tryTake(const limit_name &Limit, double Tokens, time_point Now);

  /** Sets apart up to @p Tokens of what this VM holds itself, in multiples of
      @p Unit. They count against the depth until endBatch() or the deadline.
      @returns an empty batch when there are none. */
  token_batch takeBatch(const limit_name &Limit, double Tokens, double Unit,
                        time_point Now);

  /** Says that nothing of a batch will be spent any more. */
  void endBatch(const limit_name &Limit, share_sequence Sequence,
                time_point Now);

  /** Asks the limit's home for up to @p Tokens, in multiples of @p Unit, which
      is what one request needs. */
  void askHome(const limit_name &Limit, double Tokens, double Unit,
               time_point Now);

  /** @see owned_part::applyLedger */
  void applyLedger(const domain_ledger &Ledger, std::uint64_t Revision,
                   time_point Now);

  /** @see owned_part::proposeLedger */
  std::optional<domain_ledger> proposeLedger(const domain_ledger &Ledger,
                                             const std::set<vm_name> &Listed,
                                             time_point Now);

  /** @returns the messages to send, and forgets them. */
  std::vector<outgoing_share_message> takeOutbox();

  /** @returns the home of a limit as this VM sees it. */
  const vm_name &homeOf(const limit_name &Limit) const;

  /** @returns the parts that this VM may use for a limit, its own and lent. */
  share_parts held(const limit_name &Limit, time_point Now) const;

  /** @returns the parts that this VM owns. */
  share_parts owned() const { return Owned.owned(); }

private:
  struct sent_loan_request {
    vm_name Owner;
    time_point SentAt;
  };

  /** The VM that last asked for loans of a slot, and when. */
  struct slot_claim {
    vm_name Claimant;
    time_point HeardAt{};
  };

  void checkPause(time_point Now);
  void syncOwn(std::size_t Slot, time_point Now);
  void syncAllOwn(time_point Now);
  void receiveLoanRequest(const vm_identity &Home, const loan_request &Request,
                          time_point Now);
  void receiveLoan(const loan_reply &Reply, time_point Now);
  void receiveTokenRequest(const vm_identity &Asker,
                           const token_request &Request, time_point Now);
  void sendSpent();
  void recordClaims(const vm_name &Claimant, slot_mask Slots, time_point Now);
  void chooseHomes(time_point Now);
  bool isClaimValid(const slot_claim &Claim, time_point Now) const;
  const vm_name &bestPeer(std::size_t Slot) const;
  void prefetchTokens(const limit_name &Limit, double Tokens, time_point Now);

  vm_identity Self;
  share_timing Timing;
  share_rules Rules;
  owned_part Owned;
  token_cache Cache;
  std::array<share_pool, SlotCount> Pools;
  std::array<vm_name, SlotCount> Homes;
  std::array<slot_claim, SlotCount> Claims;
  std::set<vm_name> Peers;
  bool IsLeaving = false;
  time_point FirstClaimAt; ///< until then it listens for the present homes
  share_sequence LastSequence = 0;
  std::map<share_sequence, sent_loan_request> OpenLoans;
  std::map<vm_name, share_sequence> NewestLoan;
  time_point NextHeartbeat;
  std::vector<outgoing_share_message> Outbox;
};

} // namespace sesamepaddle

#endif
