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

/** The topic of a message between VMs; each kind has one receiver. The numbers
    are part of the protocol. */
enum class peer_message_kind : std::uint8_t {
  /** Heartbeats, new VMs, departures and summaries of failure domains. */
  Membership = 1,
  /** Documents, their numbers and a digest of these, and the time since the
      platform's last answer. */
  Documents = 2,
  /** Fleet-wide limits: requests for loans and tokens, the replies, and reports
      that all tokens of a reply are spent. */
  Shares = 3,
  /** Moves of traffic to a new service version: the share that the sender has
      moved, evidence about the version, crashes, and decisions to stop. */
  Moves = 4,
  /** Evidence about requests that crash endpoints. */
  Requests = 5,
};

/** The sender of a message, authenticated when its connection was opened. */
struct peer_sender {
  vm_identity Identity;
  failure_domain_name FailureDomain;
};

/** Called with each message of one kind, on the network's context. */
using peer_receiver =
    std::function<void(const peer_sender &Sender, std::string_view Payload)>;

/** Address, identity and limits of a peer_network. */
struct peer_network_options {
  std::string ListenAddress; ///< host and port for connections of other VMs
  vm_identity Self;
  failure_domain_name FailureDomain;
  std::string Secret; ///< shared by all VMs; each side proves that it knows it
  std::size_t MaxFrameBytes = 1024 * 1024; ///< longer ones close the connection
  /** Bound on the frames queued for one VM; further frames are dropped. */
  std::size_t MaxQueueBytes = 4 * 1024 * 1024;
  std::chrono::milliseconds ConnectTimeout{1'000}; ///< handshake included
  /** A connection is closed when frames were sent on it and none has been
      acknowledged for this long. The next message opens a new one. */
  std::chrono::milliseconds AcknowledgementTimeout{1'500};
};

/** Counters of a peer_network since its start, for status and metrics. */
struct peer_network_counts {
  std::uint64_t BytesSent = 0;
  std::uint64_t BytesReceived = 0;
  /** Frames not sent: the queue was full, the VM unreachable or its
      address invalid, or they were still queued on stop(). */
  std::uint64_t FramesDropped = 0;
  /** Failed handshakes of accepted connections, and undecodable frames. */
  std::uint64_t Rejected = 0;
};

/** Exchanges messages between VMs as framed msgpack over TCP.

    Delivery is best effort: messages can be lost and are not retransmitted.
    Their order is kept within one connection only. All work and all receivers
    run on the one context that is passed to start(), so that the state of
    receivers needs no lock.
*/
class peer_network {
public:
  /** Listens on the address in @p Options and accepts connections.
      @returns the network, or net_failure::ListenFailed or InvalidAddress. */
  static absl::StatusOr<std::unique_ptr<peer_network>>
  start(asio::io_context &Context, peer_network_options Options);

  ~peer_network();
  peer_network(const peer_network &) = delete;
  peer_network &operator=(const peer_network &) = delete;

  /** Sets the receiver for one kind of message; messages of kinds without a
      receiver are ignored. */
  void receive(peer_message_kind Kind, peer_receiver Receiver);

  /** Queues a message to the VM at @p Address and opens a connection if there
      is none. May be called from any thread. */
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
