#ifndef SESAMEPADDLE_LAB_SIM_SHARE_CLUSTER_H
#define SESAMEPADDLE_LAB_SIM_SHARE_CLUSTER_H

#include "sesamepaddle/rate_limiting/rate_limiting.h"
#include "sim/event_queue.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <vector>

namespace sesamepaddle {

/** Where the token of a request came from. */
enum class token_source {
  Local,        ///< the VM that got the request, without asking another
  InRegion,     ///< the limit's home VM, in the same region
  AcrossRegions ///< the limit's home VM, in another region
};

/** Assigns VMs to failure domains round-robin, and domains to regions. */
struct cluster_layout {
  std::size_t Vms = 8;
  std::size_t Domains = 6;
  std::size_t DomainsPerRegion = 2;

  std::size_t domainOf(std::size_t Vm) const { return Vm % Domains; }
  std::size_t regionOf(std::size_t Vm) const {
    return domainOf(Vm) / DomainsPerRegion;
  }
};

/** Numbers of messages sent between VMs and of platform calls. */
struct cluster_counts {
  std::uint64_t Messages = 0;
  std::uint64_t PlatformWrites = 0;
  std::uint64_t PlatformReads = 0;
};

/** Simulates VMs that share limits, each with a share_holder, in virtual time.

    Simulated are the platform's ledgers, network delays, crashes of VMs and
    network partitions of failure domains. VMs are given by their number.
*/
class share_cluster {
public:
  /** Gets the result of a request. */
  using answer = std::function<void(bool IsAdmitted, token_source Source)>;

  /** Starts all VMs. */
  share_cluster(event_queue &Queue, cluster_layout Layout, share_timing Timing);
  ~share_cluster();
  share_cluster(const share_cluster &) = delete;
  share_cluster &operator=(const share_cluster &) = delete;

  /** Sets a limit on all VMs, also on those that start later. */
  void addLimit(const limit_name &Limit, limit_shape Shape);

  /** Stops a VM without notice; its pending requests get no answer. */
  void kill(std::size_t Vm);

  /** Starts a VM that was killed, as a new incarnation without state. */
  void start(std::size_t Vm);

  /** Cuts a failure domain off from the platform and from all other domains, or
      ends that. */
  void setPartitioned(std::size_t Domain, bool IsPartitioned);

  /** Asks a running VM for one token. @p Answer is called once, either before
      this returns or in a later event; never if the VM is killed first. */
  void request(std::size_t Vm, const limit_name &Limit, answer Answer);

  bool isAlive(std::size_t Vm) const;

  /** @returns true when no partition lies between two VMs. */
  bool isReachable(std::size_t From, std::size_t To) const;

  /** @returns the limit's home, the VM that hands out its tokens, as @p Vm sees
      it. */
  std::size_t homeOf(const limit_name &Limit, std::size_t Vm) const;

  const cluster_counts &counts() const { return Counts; }

private:
  struct vm;
  struct pending_request;

  /** The platform's row of one failure domain. */
  struct ledger_row {
    std::uint64_t Revision = 1;
    domain_ledger Ledger;
  };

  void checkHeartbeat(vm &Vm, std::uint64_t Process);
  void poll(vm &Vm, std::uint64_t Process);
  void updatePeers(vm &Vm);
  void flush(vm &Vm);
  void deliver(vm &From, vm &To, const share_message &Message);
  void requestTokens(vm &Vm, const limit_name &Limit);
  void servePending(vm &Vm, const token_reply &Reply);
  void refuseTimedOut(vm &Vm, const limit_name &Limit);
  duration delay(const vm &From, const vm &To) const;

  event_queue &Queue;
  cluster_layout Layout;
  share_timing Timing;
  std::vector<std::unique_ptr<vm>> Vms;
  std::vector<ledger_row> Rows; ///< by failure domain
  std::vector<bool> IsDomainPartitioned;
  std::map<limit_name, limit_shape> Limits;
  std::uint64_t LastProcess = 0;
  cluster_counts Counts;
};

} // namespace sesamepaddle

#endif
