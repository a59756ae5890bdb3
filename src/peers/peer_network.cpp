#include "sesamepaddle/peers/peer_network.h"

#include "peers/peer_handshake.h"
#include "peers/peer_link.h"
#include "sesamepaddle/net/failures.h"
#include "sesamepaddle/net/http_server.h"

#include "absl/strings/str_cat.h"

#include <array>
#include <set>
#include <unordered_map>
#include <utility>

namespace sesamepaddle {

namespace {

// Number of frame kinds: those of peer_message_kind and AcknowledgementKind.
constexpr std::size_t KindCount = 6;

// The length prefix of a frame, for the byte counters.
constexpr std::size_t LengthBytes = 4;

// Delay after an accept that failed, so that repeated failures don't make the
// accept loop spin.
constexpr std::chrono::milliseconds AcceptRetryDelay{20};

} // namespace

/** Accepts connections, on which it only receives messages and acknowledges
    them, and keeps a peer_link for each address to which it sends. */
class peer_network::implementation
    : public std::enable_shared_from_this<implementation> {
public:
  implementation(asio::io_context &Context, peer_network_options Options)
      : Context(Context), Options(std::move(Options)), Acceptor(Context),
        LinkSettings(std::make_shared<peer_link_settings>()) {
    LinkSettings->Credentials = {
        this->Options.Self, this->Options.FailureDomain, this->Options.Secret};
    LinkSettings->MaxQueueBytes = this->Options.MaxQueueBytes;
    LinkSettings->ConnectTimeout = this->Options.ConnectTimeout;
    LinkSettings->AcknowledgementTimeout = this->Options.AcknowledgementTimeout;
  }

  absl::Status listen() {
    const auto Endpoint = parseEndpoint(Options.ListenAddress);
    if (!Endpoint.ok())
      return Endpoint.status();
    boost::system::error_code Error;
    Acceptor.open(Endpoint->protocol(), Error);
    if (!Error)
      Acceptor.set_option(asio::socket_base::reuse_address(true), Error);
    if (!Error)
      Acceptor.bind(*Endpoint, Error);
    if (!Error)
      Acceptor.listen(asio::socket_base::max_listen_connections, Error);
    if (Error)
      return makeFailure(
          net_failure::ListenFailed,
          absl::StrCat(Options.ListenAddress, ": ", Error.message()));
    asio::co_spawn(Context, acceptLoop(shared_from_this()), asio::detached);
    return absl::OkStatus();
  }

  void receive(peer_message_kind Kind, peer_receiver Receiver) {
    asio::post(Context, [Self = shared_from_this(), Kind,
                         Receiver = std::move(Receiver)]() mutable {
      Self->Receivers[static_cast<std::size_t>(Kind)] = std::move(Receiver);
    });
  }

  void send(const std::string &Address, peer_message_kind Kind,
            std::string Payload) {
    std::string Frame =
        encode(peer_frame{static_cast<std::uint8_t>(Kind), std::move(Payload)});
    asio::post(Context, [Self = shared_from_this(), Address,
                         Frame = std::move(Frame)]() mutable {
      Self->sendFrame(Address, std::move(Frame));
    });
  }

  void stop() {
    asio::post(Context, [Self = shared_from_this()] { Self->closeAll(); });
  }

  const peer_counters &counters() const { return LinkSettings->Counters; }

private:
  using stream_pointer = std::shared_ptr<boost::beast::tcp_stream>;

  void sendFrame(const std::string &Address, std::string Frame) {
    if (IsStopped)
      return;
    auto &Link = Links[Address];
    if (!Link) {
      const auto Endpoint = parseEndpoint(Address);
      if (!Endpoint.ok()) {
        Links.erase(Address);
        LinkSettings->Counters.FramesDropped.fetch_add(1);
        return;
      }
      Link = std::make_shared<peer_link>(Context, *Endpoint, LinkSettings);
    }
    Link->send(std::move(Frame));
  }

  void closeAll() {
    IsStopped = true;
    boost::system::error_code Ignored;
    Acceptor.close(Ignored);
    for (auto &[Address, Link] : Links)
      Link->stop();
    Links.clear();
    for (const auto &Stream : Sessions)
      Stream->close();
    Receivers = {};
  }

  static awaitable<void> acceptLoop(std::shared_ptr<implementation> Self) {
    while (!Self->IsStopped) {
      boost::system::error_code Error;
      tcp::socket Socket = co_await Self->Acceptor.async_accept(
          asio::redirect_error(asio::use_awaitable, Error));
      if (Error == asio::error::operation_aborted)
        co_return;
      if (Error) {
        asio::steady_timer Timer(Self->Context, AcceptRetryDelay);
        co_await Timer.async_wait(asio::use_awaitable);
        continue;
      }
      asio::co_spawn(Self->Context, serve(Self, std::move(Socket)),
                     asio::detached);
    }
  }

  /** Authenticates an accepted connection and receives its frames. */
  static awaitable<void> serve(std::shared_ptr<implementation> Self,
                               tcp::socket Socket) {
    boost::system::error_code Ignored;
    Socket.set_option(tcp::no_delay(true), Ignored);
    const auto Stream =
        std::make_shared<boost::beast::tcp_stream>(std::move(Socket));
    Self->Sessions.insert(Stream);
    Stream->expires_after(Self->Options.ConnectTimeout);
    const auto Sender =
        co_await acceptHandshake(*Stream, Self->LinkSettings->Credentials);
    Stream->expires_never();
    if (Sender.ok())
      co_await receiveFrames(*Self, *Stream, *Sender);
    else
      Self->LinkSettings->Counters.Rejected.fetch_add(1);
    Stream->close();
    Self->Sessions.erase(Stream);
  }

  /** Receives and acknowledges frames until the connection fails or a frame is
      malformed. */
  static awaitable<void> receiveFrames(implementation &Self,
                                       boost::beast::tcp_stream &Stream,
                                       const peer_sender &Sender) {
    std::uint64_t Count = 0;
    while (!Self.IsStopped) {
      const auto Bytes = co_await readFrame(Stream, Self.Options.MaxFrameBytes);
      if (!Bytes.ok())
        co_return;
      const auto Frame = decodeFrame(*Bytes);
      if (!Frame.ok()) {
        Self.LinkSettings->Counters.Rejected.fetch_add(1);
        co_return;
      }
      Self.LinkSettings->Counters.BytesReceived.fetch_add(Bytes->size() +
                                                          LengthBytes);
      Self.dispatch(Sender, *Frame);
      const std::string Acknowledgement = encodeAcknowledgement(++Count);
      const auto Status = co_await writeFrame(Stream, Acknowledgement);
      if (!Status.ok())
        co_return;
      Self.LinkSettings->Counters.BytesSent.fetch_add(Acknowledgement.size() +
                                                      LengthBytes);
    }
  }

  void dispatch(const peer_sender &Sender, const peer_frame &Frame) {
    if (Frame.Kind >= KindCount || !Receivers[Frame.Kind])
      return;
    Receivers[Frame.Kind](Sender, Frame.Payload);
  }

  asio::io_context &Context;
  peer_network_options Options;
  tcp::acceptor Acceptor;
  std::shared_ptr<peer_link_settings> LinkSettings;
  std::array<peer_receiver, KindCount> Receivers; ///< by kind
  /** Connections for sending, by peer address. */
  std::unordered_map<std::string, std::shared_ptr<peer_link>> Links;
  std::set<stream_pointer> Sessions; ///< accepted connections
  bool IsStopped = false;
};

absl::StatusOr<std::unique_ptr<peer_network>>
peer_network::start(asio::io_context &Context, peer_network_options Options) {
  auto Implementation =
      std::make_shared<implementation>(Context, std::move(Options));
  if (const auto Status = Implementation->listen(); !Status.ok())
    return Status;
  return std::unique_ptr<peer_network>(
      new peer_network(std::move(Implementation)));
}

peer_network::peer_network(std::shared_ptr<implementation> Implementation)
    : Implementation(std::move(Implementation)) {}

peer_network::~peer_network() { stop(); }

void peer_network::receive(peer_message_kind Kind, peer_receiver Receiver) {
  Implementation->receive(Kind, std::move(Receiver));
}

void peer_network::send(const std::string &Address, peer_message_kind Kind,
                        std::string Payload) {
  Implementation->send(Address, Kind, std::move(Payload));
}

void peer_network::stop() { Implementation->stop(); }

peer_network_counts peer_network::counts() const {
  const auto &Counters = Implementation->counters();
  return {Counters.BytesSent.load(), Counters.BytesReceived.load(),
          Counters.FramesDropped.load(), Counters.Rejected.load()};
}

} // namespace sesamepaddle
