#ifndef SESAMEPADDLE_LAB_SIM_SHARE_CLUSTER_H
#define SESAMEPADDLE_LAB_SIM_SHARE_CLUSTER_H

#include "sesamepaddle/shares/shares.h"
#include "sim/event_queue.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <vector>

namespace sesamepaddle {

/** How far a request had to go for its tokens. */
enum class token_source { Local, InRegion, AcrossRegions };

/** Where the VMs of a cluster stand; VMs are dealt out to domains in turn. */
struct cluster_layout {
  std::size_t Vms = 8;
  std::size_t Domains = 6;
  std::size_t DomainsPerRegion = 2;

  std::size_t domainOf(std::size_t Vm) const { return Vm % Domains; }
  std::size_t regionOf(std::size_t Vm) const {
    return domainOf(Vm) / DomainsPerRegion;
  }
};

/** What a cluster sent and wrote. */
struct cluster_counts {
  std::uint64_t Messages = 0;
  std::uint64_t PlatformWrites = 0;
  std::uint64_t PlatformReads = 0;
};

/** Several share_holder in virtual time, with a platform and a network that has
    delays, deaths and cuts. */
class share_cluster {
public:
  using answer = std::function<void(bool IsAdmitted, token_source Way)>;

  share_cluster(event_queue &Queue, cluster_layout Layout, share_timing Timing);
  ~share_cluster();
  share_cluster(const share_cluster &) = delete;
  share_cluster &operator=(const share_cluster &) = delete;

  void addLimit(const limit_name &Limit, limit_shape Shape);
  void kill(std::size_t Vm);
  void start(std::size_t Vm);
  void setPartitioned(std::size_t Domain, bool IsCut);

  /** Asks VM number @p Vm for one token. */
  void request(std::size_t Vm, const limit_name &Limit, answer Answer);

  bool isAlive(std::size_t Vm) const;
  bool isReachable(std::size_t From, std::size_t To) const;

  /** @returns the home of a limit, as VM number @p Vm sees it. */
  std::size_t homeOf(const limit_name &Limit, std::size_t Vm) const;

  const cluster_counts &counts() const { return Counts; }

private:
  struct vm;
  struct pending_request;
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
  std::vector<ledger_row> Rows;
  std::vector<bool> IsDomainPartitioned;
  std::map<limit_name, limit_shape> Limits;
  std::uint64_t LastProcess = 0;
  cluster_counts Counts;
};

} // namespace sesamepaddle

#endif
