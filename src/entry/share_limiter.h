#ifndef SESAMEPADDLE_ENTRY_SHARE_KEEPER_H
#define SESAMEPADDLE_ENTRY_SHARE_KEEPER_H

#include "entry/atomic_token_batch.h"
#include "entry/vm_directory.h"
#include "sesamepaddle/core/rcu_cell.h"
#include "sesamepaddle/entry/service_directory.h"
#include "sesamepaddle/net/asio.h"
#include "sesamepaddle/peers/peer_network.h"
#include "sesamepaddle/platform/platform_client.h"
#include "sesamepaddle/shares/share_holder.h"
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
  /** The parts of all VMs of the failure domain. */
  share_parts DomainParts = 0;
  std::chrono::milliseconds LedgerInterval{1'000};
};

/** Admits requests by the fleet-wide limits of their workspaces.

    Workers spend from cells without a lock; a cell that is empty is filled on
    the control context, where the share_holder lives.
*/
class share_limiter {
public:
  share_limiter(asio::io_context &Control, share_limiter_options Options,
                platform_client Platform, peer_network &Peers,
                const service_directory &Services, const vm_directory &Vms);

  /** Begins to keep loans and the ledger until @p Stop is set. */
  void start(const std::atomic<bool> &Stop);

  /** Called by workers. @returns true when the request may run. */
  awaitable<bool> admit(const service_name &Service,
                        const workspace_name &Workspace);

  /** Hands this VM's homes over; safe from every thread. */
  void leave();

  /** Called by workers; takes no lock.
      @returns the VM where a workspace's rights are, or an empty name. */
  vm_name homeOf(const service_name &Service,
                 const workspace_name &Workspace) const;

  /** @returns the parts of every limit that this VM owns, as of late; safe from
      every thread. */
  share_parts ownedParts() const { return OwnedParts.load(); }

private:
  /** What the control context knows of a cell. */
  struct batch_record {
    std::shared_ptr<atomic_token_batch> Remaining;
    share_sequence Batch = 0;
    double NextBatch = 1;
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
  std::map<limit_name, limit_shape> Shapes;
  std::map<limit_name, std::vector<timer_pointer>> Waiting;
  std::map<vm_name, time_point> HeardAt;
  std::atomic<share_parts> OwnedParts{0};
  time_point AnnouncedAt{};
  std::uint64_t LastOperation = 0;
  part_log Log{"shares"};
};

} // namespace sesamepaddle

#endif
