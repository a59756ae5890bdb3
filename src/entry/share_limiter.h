#ifndef SESAMEPADDLE_ENTRY_SHARE_LIMITER_H
#define SESAMEPADDLE_ENTRY_SHARE_LIMITER_H

#include "entry/atomic_token_batch.h"
#include "entry/vm_directory.h"
#include "sesamepaddle/core/rcu_cell.h"
#include "sesamepaddle/entry/service_directory.h"
#include "sesamepaddle/net/asio.h"
#include "sesamepaddle/peers/peer_network.h"
#include "sesamepaddle/platform/platform_client.h"
#include "sesamepaddle/rate_limiting/share_holder.h"
#include "sesamepaddle/telemetry/log.h"

#include <atomic>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace sesamepaddle {

struct share_limiter_options {
  vm_identity Self;
  failure_domain_name FailureDomain;
  /** The fraction of each limit, in millionths, that the VMs of the failure
      domain own together. */
  share_parts DomainParts = 0;
  /** Pause between updates of the platform's table row that records which VM of
      the failure domain owns which parts. */
  std::chrono::milliseconds LedgerInterval{1'000};
};

/** Admits requests by the fleet-wide limits of their workspaces.

    Each VM owns parts of every limit and lends them to the limit's home, which
    is the VM whose token bucket serves that limit. Workers spend the tokens of
    local batches without a lock. When a batch is used up, the control context
    takes the next one or asks the home for a token. Only the control context,
    the io_context given to the constructor, uses share_holder.
*/
class share_limiter {
public:
  share_limiter(asio::io_context &Control, share_limiter_options Options,
                platform_client Platform, peer_network &Peers,
                const service_directory &Services, const vm_directory &Vms);

  /** Starts the coroutines that renew loans and update the ledger, until
      @p Stop is set. */
  void start(const std::atomic<bool> &Stop);

  /** Charges the workspace's limit for one request. Called by workers.
      @returns true if the request may run */
  awaitable<bool> admit(const service_name &Service,
                        const workspace_name &Workspace);

  /** Hands the limits whose home is this VM over to other VMs. Callable from
      every thread. */
  void leave();

  /** Called by workers; takes no lock.
      @returns the home of the workspace's limit, or an empty name if unknown
   */
  vm_name homeOf(const service_name &Service,
                 const workspace_name &Workspace) const;

  /** @returns the fraction of every limit that this VM owns, in millionths,
      updated about every 50 ms. Callable from every thread. */
  share_parts ownedParts() const { return OwnedParts.load(); }

private:
  /** A limit's current batch, as the control context tracks it. */
  struct batch_record {
    std::shared_ptr<atomic_token_batch> Remaining;
    share_sequence Batch = 0; ///< the batch's number in share_holder
    double NextBatch = 1;     ///< tokens to take for the next batch
    time_point FilledAt{};
  };
  using batch_map = std::map<limit_name, std::shared_ptr<atomic_token_batch>>;
  using home_map = std::map<limit_name, vm_name>;
  using timer_pointer = std::shared_ptr<asio::steady_timer>;

  awaitable<void> keepLoans(const std::atomic<bool> &Stop);
  awaitable<void> keepLedger(const std::atomic<bool> &Stop);
  awaitable<void> updateLedger();
  awaitable<bool> admitOnControl(limit_name Limit);
  awaitable<bool> askHome(limit_name Limit);
  bool refillBatch(const limit_name &Limit);
  void syncLimits();
  void updatePeers();
  void publishHomes();
  void receive(const peer_sender &Sender, std::string_view Payload);
  void wakeWaiting(const limit_name &Limit);
  void announceToPeers();
  void send(const vm_name &To, const share_message &Message);
  void flush();

  asio::io_context &Control;
  share_limiter_options Options;
  platform_client Platform;
  peer_network &Peers;
  const service_directory &Services;
  const vm_directory &Vms;
  share_holder Holder;
  rcu_cell<batch_map> BatchesByLimit;
  rcu_cell<home_map> Homes;
  std::map<limit_name, batch_record> Records;
  std::map<limit_name, limit_shape> Shapes; ///< as last passed to Holder
  // Timers of the requests that wait for a reply of the limit's home.
  std::map<limit_name, std::vector<timer_pointer>> Waiting;
  std::map<vm_name, time_point> HeardAt; ///< last message of each VM
  std::atomic<share_parts> OwnedParts{0};
  time_point AnnouncedAt{};        ///< last call of announceToPeers()
  std::uint64_t LastOperation = 0; ///< makes operation ids unique
  component_log Log{"shares"};
};

} // namespace sesamepaddle

#endif
