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

  /** Sends @p Ask, and further ones when no token comes of it.
      @param Search  of the request that needs the token
      @returns true when a token was obtained and spent */
  awaitable<bool> obtainToken(workspace_name Workspace, quota_ask Ask,
                              quota_search Search);

  /** Sends a message at once to the near VMs, or to all. */
  void sendNow(bool ToAll);

  /** To be called by the VM's periodic task, every 100 ms. */
  void noteTick(time_point Now);

  /** @returns the number of messages that were not forwarded because this VM
      was held up. */
  std::uint64_t notForwarded() const { return NotForwarded; }

  /** Closes the socket and ends both loops. */
  void stop();

private:
  awaitable<void> receiveLoop();
  awaitable<void> sendLoop();
  /** Sends a message to each near VM, or to each VM.
      @param UseForwarders  false: directly to each of them */
  void send(time_point Now, bool ToAll, bool UseForwarders);
  static std::vector<gossip_known_objects>
  groupByEndpoint(const std::vector<request_path::known_object> &Updates);
  void sendTo(const std::string &Address, const std::string &Datagram,
              traffic_kind Kind, traffic_distance Distance);
  void applyMessage(const gossip_message &Message, time_point Now);
  void applyIncrements(const gossip_message &Message, time_point Now);
  void applyState(const gossip_message &Message, time_point Now);
  void reply(const gossip_message &Message, time_point Now);
  /** Passes @p Message on to the VMs of this VM's failure domain. */
  void forward(gossip_message Message, time_point Now);
  void answerAsk(const token_message &Message, time_point Now);
  void receiveGrant(const token_message &Message, time_point Now);
  /** Sends @p Ask and waits for the answer, or until it is overdue.
      @returns true when it came from a home without tokens */
  awaitable<bool> sendAsk(workspace_name Workspace, quota_ask Ask);
  std::optional<quota_terms> termsOf(const workspace_name &Workspace) const;
  /** @returns a message with this VM's state; includes each crash only once. */
  gossip_message makeMessage(time_point Now);
  /** @returns the interval between messages to near VMs. */
  std::chrono::milliseconds interval() const;

  fleet_state &Fleet;
  request_path &Path;
  asio::ip::udp::socket Socket;
  asio::steady_timer Timer;
  std::vector<gossip_crash> Crashes;
  /** Known objects that have not been sent to far VMs yet. */
  std::vector<request_path::known_object> FarObjectUpdates;
  std::uint64_t LastAskId = 0;
  std::uint64_t LastSequence = 0;
  std::uint64_t NotForwarded = 0;
  time_point LastTick = boot_clock::now();
  time_point BacklogUntil{}; ///< messages that arrive until then may be old
  std::uint64_t Round = 0;   ///< number of rounds of messages sent
  time_point NextFarSend{};  ///< when the next message to far VMs is due
  /** An ask for tokens without an answer. */
  struct open_ask {
    std::string Home;
    std::string Workspace;
    time_point SentAt;
    /** Cancelled by the answer; null once it is overdue. */
    asio::steady_timer *Overdue = nullptr;
    bool *IsHomeEmpty = nullptr; ///< set by the answer, as long as Overdue is
  };
  std::map<std::uint64_t, open_ask> OpenAsks; ///< by AskId
  std::array<char, 65'536> Datagram{};
  component_log Log{"gossip"};
  bool IsStopped = false;
};

} // namespace sesamepaddle

#endif
