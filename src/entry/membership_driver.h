#ifndef SESAMEPADDLE_ENTRY_MEMBERSHIP_DRIVER_H
#define SESAMEPADDLE_ENTRY_MEMBERSHIP_DRIVER_H

#include "entry/vm_directory.h"
#include "sesamepaddle/documents/document_replicator.h"
#include "sesamepaddle/membership/membership.h"
#include "sesamepaddle/peers/peer_network.h"
#include "sesamepaddle/platform/platform_client.h"
#include "sesamepaddle/telemetry/log.h"

#include <atomic>
#include <cstdint>
#include <functional>
#include <map>
#include <span>
#include <vector>

namespace sesamepaddle {

/** Runs the membership protocol over the peer network and keeps vm_directory up
    to date with its view. All methods except leave() must be called on the
    io_context of the peer network. */
class membership_driver {
public:
  membership_driver(asio::io_context &Context, peer_network &Network,
                    vm_directory &Vms, const member_address &Self,
                    incarnation Incarnation);

  /** Runs the protocol's timers until @p Stop is set. */
  awaitable<void> run(const std::atomic<bool> &Stop);

  /** Passes the platform's list of VMs, which may lag, to the protocol. */
  void setList(std::span<const listed_vm> Listed);

  /** Announces to the other VMs that this one is leaving. Callable from every
      thread. */
  void leave();

  /** @returns all known VMs with their states, including this one. */
  const std::vector<member> &view() const { return Members; }

  /** @returns the live VMs with which documents are exchanged. */
  replication_peers spreadPeers() const;

  /** @returns true if this VM is one of the pollers of its failure domain: the
      first live VMs by name, which poll the platform on behalf of the others.
      VMs may disagree about this without harm. */
  bool isPoller() const;

  /** Called after each tick of the protocol, every 100 ms. */
  std::function<void()> OnTick;

private:
  void refresh();
  void updateDirectory();
  void logChanges();

  asio::io_context &Context;
  peer_network &Network;
  vm_directory &Vms;
  member_address Self;
  membership_protocol Protocol;
  std::vector<member> Members;
  std::uint64_t SeenRevision = 0; // the protocol's revision of Members
  time_point NextRefresh;
  std::map<vm_name, member_state> KnownStates; // as last logged
  component_log Log{"membership"};
};

} // namespace sesamepaddle

#endif
