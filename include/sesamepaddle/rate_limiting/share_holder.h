#ifndef SESAMEPADDLE_RATE_LIMITING_SHARE_HOLDER_H
#define SESAMEPADDLE_RATE_LIMITING_SHARE_HOLDER_H

#include "sesamepaddle/rate_limiting/owned_part.h"
#include "sesamepaddle/rate_limiting/share_messages.h"
#include "sesamepaddle/rate_limiting/share_pool.h"
#include "sesamepaddle/rate_limiting/token_cache.h"

#include <array>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <vector>

namespace sesamepaddle {

/** The result of spending tokens for a request that counts against a limit. */
enum class take_result {
  Taken,   ///< the tokens are spent; the request may run
  AskHome, ///< call askHome() and retry after its reply has arrived
  Refused, ///< the limit is used up
};

/** Tokens reserved by takeBatch(), to be spent without further calls. */
struct token_batch {
  share_sequence Sequence = 0;
  double Tokens = 0;
  time_point Deadline{}; ///< the caller checks it each time it spends a token
};

/** Enforces all fleet-wide limits on one VM.

    Each VM owns a part of every limit. For each slot of limits one VM is the
    home: the others lend it their parts and request tokens from it, so that
    without faults each limit has a single bucket. The class does no I/O:
    messages go out through takeOutbox(), and the time is an argument. Not
    thread-safe.
*/
class share_holder {
public:
  share_holder(vm_identity Self, time_point Start, share_timing Timing = {},
               share_rules Rules = {});

  /** Adds a limit or changes its shape. */
  void setLimit(const limit_name &Limit, limit_shape Shape, time_point Now);

  /** Sets the other VMs that are reachable. Homes are chosen among them and
      this VM. */
  void setPeers(std::span<const vm_name> Reached, time_point Now);

  /** Stops this VM from being a home while another VM is reachable. It still
      lends what it owns. */
  void leave(time_point Now);

  /** Requests and renews the loans for the slots whose home this VM is. Call
      it at the time that nextHeartbeat() returns, at the latest every
      share_timing::HeartbeatInterval. */
  void heartbeat(time_point Now);

  /** @returns the time at which to call heartbeat() next. */
  time_point nextHeartbeat() const { return NextHeartbeat; }

  /** Handles a message from another VM. */
  void receive(const vm_identity &From, const share_message &Message,
               time_point Now);

  /** Spends @p Tokens, all or none. */
  take_result tryTake(const limit_name &Limit, double Tokens, time_point Now);

  /** Reserves up to @p Tokens of this VM's own buckets, in multiples of
      @p Unit. They reduce the bucket's depth until endBatch() or the deadline.
      @returns a batch without tokens when none are available. */
  token_batch takeBatch(const limit_name &Limit, double Tokens, double Unit,
                        time_point Now);

  /** Ends a batch of which nothing more will be spent. */
  void endBatch(const limit_name &Limit, share_sequence Sequence,
                time_point Now);

  /** Requests up to @p Tokens from the limit's home; does nothing when this
      VM is the home.
      @param Unit  the tokens that one request needs; the reply holds a
      multiple of it */
  void askHome(const limit_name &Limit, double Tokens, double Unit,
               time_point Now);

  /** @see owned_part::applyLedger */
  void applyLedger(const domain_ledger &Ledger, std::uint64_t Revision,
                   time_point Now);

  /** @see owned_part::proposeLedger */
  std::optional<domain_ledger> proposeLedger(const domain_ledger &Ledger,
                                             const std::set<vm_name> &Listed,
                                             time_point Now);

  /** @returns the messages to send, and removes them from the outbox. */
  std::vector<outgoing_share_message> takeOutbox();

  /** @returns the home of a limit as this VM sees it. */
  const vm_name &homeOf(const limit_name &Limit) const;

  /** @returns the parts that this VM may use for a limit: its own and those
      lent to it. */
  share_parts held(const limit_name &Limit, time_point Now) const;

  /** @returns the parts that this VM owns. */
  share_parts owned() const { return Owned.owned(); }

private:
  struct sent_loan_request {
    vm_name Owner;
    time_point SentAt;
  };

  /** The VM that last requested loans of a slot, as its home, and when. */
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
  time_point FirstClaimAt; ///< until then it only learns the current homes
  share_sequence LastSequence = 0;
  std::map<share_sequence, sent_loan_request> OpenLoans;
  std::map<vm_name, share_sequence> NewestLoan;
  time_point NextHeartbeat;
  std::vector<outgoing_share_message> Outbox;
};

} // namespace sesamepaddle

#endif
