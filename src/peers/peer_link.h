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

/** Counters that links and sessions share. */
struct peer_counters {
  std::atomic<std::uint64_t> BytesSent{0};
  std::atomic<std::uint64_t> BytesReceived{0};
  std::atomic<std::uint64_t> FramesDropped{0};
  std::atomic<std::uint64_t> Rejected{0};
};

/** What all links of one network have in common. */
struct peer_link_settings {
  peer_credentials Credentials;
  std::size_t MaxQueueBytes = 0;
  std::chrono::milliseconds ConnectTimeout{0};
  std::chrono::milliseconds AcknowledgementTimeout{0};
  peer_counters Counters;
};

/** Sends frames to one VM: opens a connection when there is something to send,
    and closes it when the other end acknowledges nothing for too long. */
class peer_link : public std::enable_shared_from_this<peer_link> {
public:
  peer_link(asio::io_context &Context, tcp::endpoint Address,
            std::shared_ptr<peer_link_settings> Settings);
  peer_link(const peer_link &) = delete;
  peer_link &operator=(const peer_link &) = delete;

  /** Takes an encoded frame; drops it when the queue is full. */
  void send(std::string Frame);

  /** Closes the connection; nothing is sent any more. */
  void stop();

private:
  struct connection;
  using connection_pointer = std::shared_ptr<connection>;

  static awaitable<void> run(std::shared_ptr<peer_link> Self);
  static awaitable<void> readAcknowledgements(std::shared_ptr<peer_link> Self,
                                              connection_pointer Connection);
  static awaitable<void>
  closeOnAcknowledgementTimeout(std::shared_ptr<peer_link> Self,
                                connection_pointer Connection);
  awaitable<connection_pointer> open();
  awaitable<void> drainQueue(connection_pointer Connection);
  awaitable<void> pause(std::chrono::milliseconds Time);
  void dropQueue();

  asio::io_context &Context;
  tcp::endpoint Address;
  std::shared_ptr<peer_link_settings> Settings;
  std::deque<std::string> Queue;
  std::size_t QueuedBytes = 0;
  bool Running = false;
  bool Stopped = false;
  connection_pointer Current;
};

} // namespace sesamepaddle

#endif
