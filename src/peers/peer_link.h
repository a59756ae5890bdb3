#ifndef SESAMEPADDLE_PEERS_PEER_LINK_H
#define SESAMEPADDLE_PEERS_PEER_LINK_H

#include "peers/peer_handshake.h"

#include <atomic>
#include <chrono>
#include <cstdint>
#include <deque>
#include <memory>
#include <string>

namespace sesamepaddle {

/** Counters of a peer_network, raised by its links and accepted connections.
    @see peer_network_counts */
struct peer_counters {
  std::atomic<std::uint64_t> BytesSent{0};
  std::atomic<std::uint64_t> BytesReceived{0};
  std::atomic<std::uint64_t> FramesDropped{0};
  std::atomic<std::uint64_t> Rejected{0};
};

/** Settings and counters that all links of one peer_network share.
    @see peer_network_options */
struct peer_link_settings {
  peer_credentials Credentials;
  std::size_t MaxQueueBytes = 0;
  std::chrono::milliseconds ConnectTimeout{0};
  std::chrono::milliseconds AcknowledgementTimeout{0};
  peer_counters Counters;
};

/** Sends frames to one VM. It opens a connection when there is a frame to send,
    and closes it when sent frames are not acknowledged in time. All calls run
    on the context that is passed to the constructor. */
class peer_link : public std::enable_shared_from_this<peer_link> {
public:
  peer_link(asio::io_context &Context, tcp::endpoint Address,
            std::shared_ptr<peer_link_settings> Settings);
  peer_link(const peer_link &) = delete;
  peer_link &operator=(const peer_link &) = delete;

  /** Queues an encoded frame; drops it when the queue is full. */
  void send(std::string Frame);

  /** Closes the connection and drops all queued and later frames. */
  void stop();

private:
  struct connection;
  using connection_pointer = std::shared_ptr<connection>;

  /** Opens connections and sends the queue; ends when the queue is empty and no
      connection is open. */
  static awaitable<void> run(std::shared_ptr<peer_link> Self);
  /** Reads acknowledgements until the connection closes or one is invalid, and
      then closes it. */
  static awaitable<void> readAcknowledgements(std::shared_ptr<peer_link> Self,
                                              connection_pointer Connection);
  static awaitable<void>
  closeOnAcknowledgementTimeout(std::shared_ptr<peer_link> Self,
                                connection_pointer Connection);
  /** Connects and authenticates. @returns the connection, or null. */
  awaitable<connection_pointer> open();
  /** Sends queued frames, and waits for new ones, until the connection
      closes. */
  awaitable<void> drainQueue(connection_pointer Connection);
  awaitable<void> pause(std::chrono::milliseconds Time);
  void dropQueue();

  asio::io_context &Context;
  tcp::endpoint Address;
  std::shared_ptr<peer_link_settings> Settings;
  std::deque<std::string> Queue;
  std::size_t QueuedBytes = 0; ///< sum of the sizes in Queue
  bool Running = false;        ///< run() is active
  bool Stopped = false;
  connection_pointer Current; ///< null while none is open
};

} // namespace sesamepaddle

#endif
