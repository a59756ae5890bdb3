#ifndef SESAMEPADDLE_SRC_INGRESS_VM_GOSSIP_H
#define SESAMEPADDLE_SRC_INGRESS_VM_GOSSIP_H

#include "absl/status/status.h"
#include "ingress/gossip_message.h"
#include "ingress/request_path.h"
#include "sesamepaddle/ingress/fleet_state.h"
#include "sesamepaddle/net/asio.h"
#include "sesamepaddle/telemetry/log.h"

#include <boost/asio/ip/udp.hpp>

#include <array>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace sesamepaddle {

/** Tells all VMs what this one sees, at an interval, and takes in what they
    tell. Datagrams, as each message stands for itself: a lost one is made good
    by the next, and no connection can go silent. */
class vm_gossip : public std::enable_shared_from_this<vm_gossip> {
public:
  vm_gossip(asio::io_context &Context, fleet_state &Fleet, request_path &Path);

  /** @returns ok, or net_failure::ListenFailed */
  absl::Status start();

  /** Asks up to @p Most VMs for a token of @p Workspace, those nearby first;
      where one alone is asked, any of them.
      @returns true when the bucket has one now */
  awaitable<bool> borrow(workspace_name Workspace, std::size_t Most);

  /** Tells the VMs that are near at once, or all of them. */
  void sendNow(bool ToAll);

  void stop();

private:
  awaitable<void> receiveLoop();
  awaitable<void> sendLoop();
  void send(time_point Now, bool ToAll);
  static std::vector<gossip_known_objects>
  groupByEndpoint(const std::vector<request_path::known_object> &News);
  void sendTo(const std::string &Address, const std::string &Datagram);
  void applyMessage(const gossip_message &Message, time_point Now);
  void handleTokenMessage(const token_message &Message, time_point Now);
  std::vector<std::string> chooseLenders(time_point Now,
                                         std::size_t Most) const;
  std::optional<quota_terms> termsOf(const workspace_name &Workspace) const;
  gossip_message makeMessage(time_point Now);
  void publishDemand(time_point Now);
  workspace_demand demandOf(const gossip_message &Message);
  std::chrono::milliseconds interval() const;

  fleet_state &Fleet;
  request_path &Path;
  asio::ip::udp::socket Socket;
  asio::steady_timer Timer;
  std::vector<gossip_crash> Crashes;
  /** What VMs of other regions have not been told of yet. */
  std::vector<request_path::known_object> FarObjectUpdates;
  std::unordered_map<std::uint32_t, std::string> NameByHash; ///< of workspaces
  std::uint64_t NamedVersion = 0; ///< the configuration that these are of
  std::map<std::uint32_t, std::uint32_t> PublishedDemand; ///< as last told
  std::uint64_t LastTokenRequestId = 0;
  int Round = 0; ///< counts the rounds of messages
  time_point NextFar{};
  std::map<std::uint64_t, asio::steady_timer *> PendingTokenRequests;
  std::array<char, 65'536> Datagram{};
  part_log Log{"gossip"};
  bool IsStopped = false;
};

} // namespace sesamepaddle

#endif
