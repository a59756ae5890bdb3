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

/** Exchanges state with the other VMs by gossip: sends this VM's state
    periodically, and applies the messages of the others.

    Uses datagrams, as each message is complete in itself: the next one makes up
    for a lost one, and there is no connection that could hang. */
class vm_gossip : public std::enable_shared_from_this<vm_gossip> {
public:
  vm_gossip(asio::io_context &Context, fleet_state &Fleet, request_path &Path);

  /** @returns ok, or net_failure::ListenFailed */
  absl::Status start();

  /** Asks up to @p Most VMs for a token of @p Workspace, near ones first. If
      @p Most is one, asks a VM of any region.
      @returns true when a token was obtained and spent */
  awaitable<bool> borrow(workspace_name Workspace, std::size_t Most);

  /** Sends a message at once to the near VMs, or to all. */
  void sendNow(bool ToAll);

  /** Closes the socket and ends both loops. */
  void stop();

private:
  awaitable<void> receiveLoop();
  awaitable<void> sendLoop();
  /** Sends one message to each near VM, or to each VM. */
  void send(time_point Now, bool ToAll);
  static std::vector<gossip_known_objects>
  groupByEndpoint(const std::vector<request_path::known_object> &Updates);
  void sendTo(const std::string &Address, const std::string &Datagram);
  void applyMessage(const gossip_message &Message, time_point Now);
  void handleTokenMessage(const token_message &Message, time_point Now);
  /** @returns gossip addresses of VMs to ask for tokens, in random order but
      with near ones first. */
  std::vector<std::string> chooseLenders(time_point Now,
                                         std::size_t Most) const;
  std::optional<quota_terms> termsOf(const workspace_name &Workspace) const;
  /** @returns a message with this VM's state; includes each crash only once. */
  gossip_message makeMessage(time_point Now);
  /** Replaces PublishedDemand by the current demand. */
  void publishDemand(time_point Now);
  /** @returns the demand in @p Message by workspace name. */
  workspace_demand demandOf(const gossip_message &Message);
  /** @returns the interval between messages to near VMs. */
  std::chrono::milliseconds interval() const;

  fleet_state &Fleet;
  request_path &Path;
  asio::ip::udp::socket Socket;
  asio::steady_timer Timer;
  std::vector<gossip_crash> Crashes;
  /** Known objects that have not been sent to far VMs yet. */
  std::vector<request_path::known_object> FarObjectUpdates;
  std::unordered_map<std::uint32_t, std::string> NameByHash; ///< of workspaces
  /** Version of the configuration from which NameByHash was made. */
  std::uint64_t NameByHashVersion = 0;
  /** As last sent to all VMs. @see gossip_message::Demand */
  std::map<std::uint32_t, std::uint32_t> PublishedDemand;
  std::uint64_t LastTokenRequestId = 0;
  int Round = 0;            ///< number of rounds of messages sent
  time_point NextFarSend{}; ///< when the next message to far VMs is due
  /** Timers of token requests without a reply; a reply cancels its timer. */
  std::map<std::uint64_t, asio::steady_timer *> PendingTokenRequests;
  std::array<char, 65'536> Datagram{};
  component_log Log{"gossip"};
  bool IsStopped = false;
};

} // namespace sesamepaddle

#endif
