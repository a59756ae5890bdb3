#ifndef SESAMEPADDLE_ENTRY_MEMBERSHIP_KEEPER_H
#define SESAMEPADDLE_ENTRY_MEMBERSHIP_KEEPER_H

#include "entry/vm_directory.h"
#include "sesamepaddle/documents/document_spread.h"
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

/** Runs the membership protocol over the peer network and feeds the directory
    of VMs. Everything but leave() runs on the network's context. */
class membership_driver {
public:
  membership_driver(asio::io_context &Context, peer_network &Network,
                    vm_directory &Vms, const member_address &Self,
                    incarnation Incarnation);

  /** Ticks until @p Stop is set. */
  awaitable<void> run(const std::atomic<bool> &Stop);

  /** Takes the platform's lagging list of VMs. */
  void setList(std::span<const listed_vm> Listed);

  /** Tells the other VMs that this one leaves. Safe from every thread. */
  void leave();

  /** @returns all VMs as they are known now, this one included. */
  const std::vector<member> &view() const { return Members; }

  /** @returns the VMs with which documents are exchanged. */
  spread_peers spreadPeers() const;

  /** @returns true when this VM is among the first of its failure domain, who
      poll the platform for all of it. Two VMs may disagree without harm. */
  bool isPoller() const;

  /** Called after each tick. */
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
  std::uint64_t SeenRevision = 0;
  time_point NextRefresh;
  std::map<vm_name, member_state> KnownStates;
  part_log Log{"membership"};
};

} // namespace sesamepaddle

#endif
