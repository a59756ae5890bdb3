#include "peers/peer_link.h"

#include <utility>

namespace sesamepaddle {

namespace {

using steady = std::chrono::steady_clock;

// Longest acknowledgement frame that is accepted; a valid one has at most 13
// bytes.
constexpr std::size_t MaxAcknowledgementBytes = 64;

// The length prefix of a frame, for the byte counters.
constexpr std::size_t LengthBytes = 4;

// Delays after failed attempts to connect; the delay doubles up to the maximum.
constexpr std::chrono::milliseconds MinBackoff{50};
constexpr std::chrono::milliseconds MaxBackoff{1'000};

} // namespace

/** One TCP connection with the state of its acknowledgements. */
struct peer_link::connection {
  explicit connection(asio::io_context &Context)
      : Stream(Context), Wake(Context) {}

  boost::beast::tcp_stream Stream;
  asio::steady_timer Wake; ///< cancelled when a frame is queued or on closing
  std::uint64_t Sent = 0;  ///< frames
  std::uint64_t Acknowledged = 0; ///< frames
  /** Time of the last acknowledgement, or of the last send before which all
      frames were acknowledged. */
  steady::time_point LastProgress = steady::now();
  bool IsOpen = true;

  void close() {
    IsOpen = false;
    Stream.close();
    Wake.cancel();
  }
};

peer_link::peer_link(asio::io_context &Context, tcp::endpoint Address,
                     std::shared_ptr<peer_link_settings> Settings)
    : Context(Context), Address(std::move(Address)),
      Settings(std::move(Settings)) {}

void peer_link::send(std::string Frame) {
  if (Stopped || QueuedBytes + Frame.size() > Settings->MaxQueueBytes) {
    Settings->Counters.FramesDropped.fetch_add(1);
    return;
  }
  QueuedBytes += Frame.size();
  Queue.push_back(std::move(Frame));
  if (Current)
    Current->Wake.cancel();
  if (Running)
    return;
  Running = true;
  asio::co_spawn(Context, run(shared_from_this()), asio::detached);
}

void peer_link::stop() {
  Stopped = true;
  dropQueue();
  if (Current)
    Current->close();
}

awaitable<void> peer_link::run(std::shared_ptr<peer_link> Self) {
  auto Backoff = MinBackoff;
  while (!Self->Stopped && !Self->Queue.empty()) {
    Self->Current = co_await Self->open();
    if (Self->Current) {
      Backoff = MinBackoff;
      co_await Self->drainQueue(Self->Current);
      Self->Current.reset();
      continue;
    }
    // Messages are best effort and soon outdated, so none are kept for a VM
    // that can't be reached.
    Self->dropQueue();
    co_await Self->pause(Backoff);
    Backoff = std::min(2 * Backoff, MaxBackoff);
  }
  Self->Running = false;
}

awaitable<peer_link::connection_pointer> peer_link::open() {
  auto Connection = std::make_shared<connection>(Context);
  Connection->Stream.expires_after(Settings->ConnectTimeout);
  boost::system::error_code Error;
  co_await Connection->Stream.async_connect(
      Address, asio::redirect_error(asio::use_awaitable, Error));
  if (Error)
    co_return nullptr;
  Connection->Stream.socket().set_option(tcp::no_delay(true), Error);
  const auto Peer =
      co_await openHandshake(Connection->Stream, Settings->Credentials);
  if (!Peer.ok() || Stopped)
    co_return nullptr;
  Connection->Stream.expires_never();
  asio::co_spawn(Context, readAcknowledgements(shared_from_this(), Connection),
                 asio::detached);
  asio::co_spawn(Context,
                 closeOnAcknowledgementTimeout(shared_from_this(), Connection),
                 asio::detached);
  co_return Connection;
}

awaitable<void> peer_link::drainQueue(connection_pointer Connection) {
  while (Connection->IsOpen) {
    if (Queue.empty()) {
      boost::system::error_code Cancelled;
      Connection->Wake.expires_at(steady::time_point::max());
      co_await Connection->Wake.async_wait(
          asio::redirect_error(asio::use_awaitable, Cancelled));
      continue;
    }
    const std::string Frame = std::move(Queue.front());
    Queue.pop_front();
    QueuedBytes -= Frame.size();
    if (Connection->Sent == Connection->Acknowledged)
      Connection->LastProgress = steady::now();
    ++Connection->Sent;
    const auto Status = co_await writeFrame(Connection->Stream, Frame);
    if (!Status.ok())
      Connection->close();
    Settings->Counters.BytesSent.fetch_add(Frame.size() + LengthBytes);
  }
}

awaitable<void> peer_link::readAcknowledgements(std::shared_ptr<peer_link> Self,
                                                connection_pointer Connection) {
  while (Connection->IsOpen) {
    const auto Bytes =
        co_await readFrame(Connection->Stream, MaxAcknowledgementBytes);
    if (!Bytes.ok())
      break;
    const auto Frame = decodeFrame(*Bytes);
    if (!Frame.ok() || Frame->Kind != AcknowledgementKind)
      break;
    const auto Count = decodeAcknowledgement(Frame->Payload);
    if (!Count.ok() || *Count > Connection->Sent)
      break;
    Self->Settings->Counters.BytesReceived.fetch_add(Bytes->size() +
                                                     LengthBytes);
    Connection->Acknowledged = *Count;
    Connection->LastProgress = steady::now();
  }
  Connection->close();
}

// When the network drops packets, or the other VM is frozen, writes still
// succeed for a while. Only missing acknowledgements show the failure.
awaitable<void>
peer_link::closeOnAcknowledgementTimeout(std::shared_ptr<peer_link> Self,
                                         connection_pointer Connection) {
  const auto Timeout = Self->Settings->AcknowledgementTimeout;
  while (Connection->IsOpen) {
    co_await Self->pause(Timeout / 4);
    const bool IsWaiting = Connection->Sent > Connection->Acknowledged;
    if (IsWaiting && steady::now() - Connection->LastProgress > Timeout)
      Connection->close();
  }
}

awaitable<void> peer_link::pause(std::chrono::milliseconds Time) {
  asio::steady_timer Timer(Context, Time);
  co_await Timer.async_wait(asio::use_awaitable);
}

void peer_link::dropQueue() {
  Settings->Counters.FramesDropped.fetch_add(Queue.size());
  Queue.clear();
  QueuedBytes = 0;
}

} // namespace sesamepaddle
