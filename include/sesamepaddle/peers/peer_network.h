#ifndef SESAMEPADDLE_PEERS_PEER_NETWORK_H
#define SESAMEPADDLE_PEERS_PEER_NETWORK_H

#include "absl/status/statusor.h"
#include "sesamepaddle/core/clock.h"
#include "sesamepaddle/core/identifiers.h"
#include "sesamepaddle/net/asio.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace sesamepaddle {

/** What a message between VMs is about; each kind has one receiver. */
enum class peer_message_kind : std::uint8_t {
  Membership = 1, ///< heartbeats, joins and leaves
  Documents = 2,  ///< documents and their numbers
  Shares = 3,     ///< loans, asks and grants of rights
  Moves = 4,      ///< evidence on versions, stops
  Requests = 5,   ///< evidence on poison requests
};

/** Who sent a message, as proved when its connection was opened. */
struct peer_sender {
  vm_identity Identity;
  failure_domain_name FailureDomain;
};

/** Receives the messages of one kind, on the network's context. */
using peer_receiver =
    std::function<void(const peer_sender &Sender, std::string_view Payload)>;

struct peer_network_options {
  std::string ListenAddress;
  vm_identity Self;
  failure_domain_name FailureDomain;
  std::string Secret; ///< shared by all VMs; each side proves that it has it
  std::size_t MaxFrameBytes = 1024 * 1024;     ///< longest frame that is taken
  std::size_t MaxQueueBytes = 4 * 1024 * 1024; ///< per peer; beyond it, dropped
  std::chrono::milliseconds ConnectTimeout{1'000};
  /** A connection on which the other end acknowledges nothing for so long is
      closed and opened anew. */
  std::chrono::milliseconds AcknowledgementTimeout{1'500};
};

/** Counters of the network, for status and metrics. */
struct peer_network_counts {
  std::uint64_t BytesSent = 0;
  std::uint64_t BytesReceived = 0;
  std::uint64_t FramesDropped = 0;
  std::uint64_t Rejected = 0; ///< strangers, other versions, garbage
};

/** Messages between VMs as framed msgpack over TCP.

    Delivery is best effort: a message can be lost, and none is repeated; order
    holds within a connection only. All calls and receivers run on the one
    context that was given, so that decisions behind it need no lock.
*/
class peer_network {
public:
  /** @returns the network, or net_failure::ListenFailed or InvalidAddress. */
  static absl::StatusOr<std::unique_ptr<peer_network>>
  start(asio::io_context &Context, peer_network_options Options);

  ~peer_network();
  peer_network(const peer_network &) = delete;
  peer_network &operator=(const peer_network &) = delete;

  /** Sets the receiver of one kind. */
  void receive(peer_message_kind Kind, peer_receiver Receiver);

  /** Sends to the VM at @p Address, over a connection that is opened when
      needed. Safe to call from every thread. */
  void send(const std::string &Address, peer_message_kind Kind,
            std::string Payload);

  /** Closes all connections and the listener. */
  void stop();

  peer_network_counts counts() const;

private:
  class implementation;
  explicit peer_network(std::shared_ptr<implementation> Implementation);
  std::shared_ptr<implementation> Implementation;
};

} // namespace sesamepaddle

#endif
