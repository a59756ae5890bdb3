#include "sesamepaddle/net/http_server.h"

#include "sesamepaddle/core/clock.h"
#include "sesamepaddle/core/text.h"
#include "sesamepaddle/net/failures.h"

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"

#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <nlohmann/json.hpp>

#include <atomic>
#include <mutex>
#include <unordered_map>

namespace sesamepaddle {

namespace beast = boost::beast;
namespace http = boost::beast::http;

namespace {

// Bound on received bytes that are not yet part of a request, as of an endless
// line. The body is bounded separately.
constexpr std::size_t MaxUnparsedBytes = 64 * 1024;

// Limits for reading and discarding input after the last reply. Closing a
// socket with unread input resets the connection, which can lose the reply.
constexpr std::size_t LingerBytes = 256 * 1024;
constexpr std::chrono::milliseconds LingerTimeout{500};
// Limits the time for sending one reply.
constexpr std::chrono::milliseconds WriteTimeout{30'000};

/** The reply to a request that could not be read. */
struct error_reply {
  unsigned Status; ///< HTTP status; 0: send no reply
  net_failure Kind;
};

/** @returns the reply for a read error; its status is 0 when the caller closed
    or lost the connection. */
error_reply classifyReadError(const beast::error_code &Error) {
  if (Error == http::error::end_of_stream)
    return {0, net_failure::ReceiveFailed};
  if (Error == http::error::header_limit)
    return {431, net_failure::HeaderTooLarge};
  if (Error == http::error::body_limit)
    return {413, net_failure::BodyTooLarge};
  if (Error == beast::error::timeout)
    return {408, net_failure::Timeout};
  if (Error == http::error::partial_message)
    return {400, net_failure::MalformedMessage};
  if (Error.category() ==
      http::make_error_code(http::error::bad_method).category())
    return {400, net_failure::MalformedMessage};
  return {0, net_failure::ReceiveFailed};
}

http_reply makeErrorReply(const error_reply &Error) {
  const absl::Status Status =
      makeFailure(Error.Kind, "request could not be read");
  const nlohmann::json Body = {{"error", failureName(Status)},
                               {"outcome", "not-run"}};
  return makeJsonReply(Error.Status, Body.dump() + "\n");
}

/** Limits the time for reading a request while it exists.

    The stream's own timeout closes the socket, so that no error reply could be
    sent. This deadline shuts down only the receiving side: current and later
    reads fail, but a reply can still be written.
*/
class read_deadline {
public:
  read_deadline(beast::tcp_stream &Stream, std::chrono::milliseconds Time)
      : Timer(Stream.get_executor(), Time) {
    Timer.async_wait([&Stream, State = State](const beast::error_code &Error) {
      if (Error || State->IsOver)
        return;
      State->IsExpired = true;
      boost::system::error_code Ignored;
      Stream.socket().shutdown(tcp::socket::shutdown_receive, Ignored);
    });
  }
  // A timer handler that is already queued still runs; IsOver makes it return.
  ~read_deadline() { State->IsOver = true; }
  read_deadline(const read_deadline &) = delete;
  read_deadline &operator=(const read_deadline &) = delete;

  /** @returns @p Error, or beast::error::timeout if this deadline caused it. */
  beast::error_code explain(const beast::error_code &Error) const {
    return Error && State->IsExpired ? beast::error::timeout : Error;
  }

private:
  struct state {
    bool IsExpired = false;
    bool IsOver = false;
  };
  std::shared_ptr<state> State = std::make_shared<state>();
  asio::steady_timer Timer;
};

http::response<http::string_body> toBeast(http_reply Reply, unsigned Version,
                                          bool KeepAlive) {
  http::response<http::string_body> Message;
  Message.version(Version);
  Message.result(Reply.Status);
  for (auto &Header : Reply.Headers)
    Message.insert(Header.Name, Header.Value);
  Message.body() = std::move(Reply.Body);
  Message.keep_alive(KeepAlive);
  Message.prepare_payload();
  return Message;
}

http_request fromBeast(http::request<http::string_body> &&Message) {
  http_request Request;
  Request.Method = std::string(Message.method_string());
  Request.Target = std::string(Message.target());
  for (const auto &Field : Message)
    Request.Headers.push_back(
        {std::string(Field.name_string()), std::string(Field.value())});
  Request.Body = std::move(Message.body());
  return Request;
}

} // namespace

class http_server::implementation
    : public std::enable_shared_from_this<implementation> {
public:
  implementation(worker_pool &Pool, http_handler Handler,
                 http_server_limits Limits)
      : Pool(Pool), Handler(std::move(Handler)), Limits(Limits) {}

  absl::Status listen(const tcp::endpoint &Endpoint) {
    const auto Listener = std::make_shared<tcp::acceptor>(Pool.context(0));
    boost::system::error_code Error;
    Listener->open(Endpoint.protocol(), Error);
    if (!Error)
      Listener->set_option(asio::socket_base::reuse_address(true), Error);
    if (!Error)
      Listener->bind(Endpoint, Error);
    if (!Error)
      Listener->listen(asio::socket_base::max_listen_connections, Error);
    if (Error)
      return makeFailure(
          net_failure::ListenFailed,
          absl::StrCat(formatEndpoint(Endpoint), ": ", Error.message()));
    Local = Listener->local_endpoint();
    Acceptor = Listener;
    asio::co_spawn(Listener->get_executor(),
                   acceptLoop(shared_from_this(), Listener), asio::detached);
    return absl::OkStatus();
  }

  void stop() {
    Draining.store(true);
    if (const auto Listener = Acceptor.lock())
      asio::post(Listener->get_executor(), [Listener] {
        boost::system::error_code Ignored;
        Listener->close(Ignored);
      });
    const std::lock_guard Lock(ConnectionsMutex);
    for (const auto &[Address, Entry] : Connections)
      if (const auto Connection = Entry.lock())
        asio::post(Connection->Stream.get_executor(), [Connection] {
          if (!Connection->Busy)
            Connection->Stream.close();
        });
  }

  worker_pool &Pool;
  http_handler Handler;
  http_server_limits Limits;
  // Each socket is owned by the coroutine that uses it and destroyed with its
  // worker's context. If owned here, it would be destroyed with the last
  // context of the pool, after its own.
  std::weak_ptr<tcp::acceptor> Acceptor;
  tcp::endpoint Local;
  std::atomic<bool> Draining{false};
  std::atomic<std::size_t> InFlight{0};
  std::atomic<std::size_t> GivenUp{0};

  std::size_t countConnections() {
    const std::lock_guard Lock(ConnectionsMutex);
    return Connections.size();
  }

private:
  struct connection {
    explicit connection(tcp::socket Socket) : Stream(std::move(Socket)) {}
    beast::tcp_stream Stream;
    beast::flat_buffer Buffer{MaxUnparsedBytes};
    tcp::endpoint Caller;
    bool Busy = false;        // used only by the connection's worker
    bool IsAnswering = false; // the same
    std::atomic<duration::rep> AwaitedSince{
        boot_clock::now().time_since_epoch().count()};
    std::atomic<bool> IsGivenUp{false};
  };
  using connection_pointer = std::shared_ptr<connection>;

  static awaitable<void> acceptLoop(std::shared_ptr<implementation> Self,
                                    std::shared_ptr<tcp::acceptor> Listener) {
    while (Listener->is_open()) {
      boost::system::error_code Error;
      tcp::socket Socket = co_await Listener->async_accept(
          Self->Pool.nextContext(),
          asio::redirect_error(asio::use_awaitable, Error));
      if (Error == asio::error::operation_aborted)
        co_return;
      if (Error) {
        // Probably out of file descriptors: wait for some to be closed.
        asio::steady_timer Timer(Listener->get_executor(),
                                 std::chrono::milliseconds(20));
        co_await Timer.async_wait(asio::use_awaitable);
        continue;
      }
      Self->open(std::move(Socket));
    }
  }

  void open(tcp::socket Socket) {
    boost::system::error_code Ignored;
    Socket.set_option(tcp::no_delay(true), Ignored);
    const auto Executor = Socket.get_executor();
    auto Connection = std::make_shared<connection>(std::move(Socket));
    Connection->Caller = Connection->Stream.socket().remote_endpoint(Ignored);
    {
      const std::lock_guard Lock(ConnectionsMutex);
      if (Connections.size() >= Limits.Connections)
        giveUpOne();
      Connections.emplace(Connection.get(), Connection);
    }
    asio::co_spawn(
        Executor, serve(shared_from_this(), Connection),
        [Self = shared_from_this(), Connection](const std::exception_ptr &) {
          const std::lock_guard Lock(Self->ConnectionsMutex);
          Self->Connections.erase(Connection.get());
        });
  }

  // Closes a connection without a whole request, if there is one; otherwise the
  // number of connections exceeds its limit until some are answered.
  void giveUpOne() {
    std::shared_ptr<connection> Longest;
    for (const auto &[Address, Entry] : Connections) {
      auto Candidate = Entry.lock();
      if (Candidate && !Candidate->IsGivenUp &&
          (!Longest || Candidate->AwaitedSince < Longest->AwaitedSince))
        Longest = std::move(Candidate);
    }
    if (!Longest)
      return;
    Longest->IsGivenUp = true;
    GivenUp.fetch_add(1);
    asio::post(Longest->Stream.get_executor(), [Longest] {
      if (!Longest->IsAnswering)
        Longest->Stream.close();
    });
  }

  static awaitable<void> serve(std::shared_ptr<implementation> Self,
                               connection_pointer Connection) {
    // g++ 12 evaluates a co_await behind && in a loop's condition in any case.
    for (bool KeepAlive = true; KeepAlive;) {
      const bool HasRequest = co_await waitForRequest(*Self, *Connection);
      if (!HasRequest)
        break;
      Connection->Busy = true;
      KeepAlive = co_await serveOne(*Self, *Connection);
      Connection->Busy = false;
    }
    Connection->Busy = true;
    co_await finish(*Connection);
  }

  /** Waits for the first byte of the next request.
      @returns false when the connection ended or the idle timeout passed. */
  static awaitable<bool> waitForRequest(implementation &Self,
                                        connection &Connection) {
    if (Connection.Buffer.size() > 0)
      co_return true;
    beast::error_code Error;
    Connection.Stream.expires_after(Self.Limits.IdleTimeout);
    const std::size_t Bytes = co_await Connection.Stream.async_read_some(
        Connection.Buffer.prepare(4096),
        asio::redirect_error(asio::use_awaitable, Error));
    Connection.Buffer.commit(Bytes);
    co_return !Error;
  }

  /** Reads and answers one request.
      @returns false when the connection must be closed. */
  static awaitable<bool> serveOne(implementation &Self,
                                  connection &Connection) {
    http::request_parser<http::string_body> Parser;
    Parser.header_limit(static_cast<std::uint32_t>(Self.Limits.HeaderBytes));
    Parser.body_limit(Self.Limits.BodyBytes);
    const beast::error_code Error =
        co_await readRequest(Self, Connection, Parser);
    if (Error) {
      co_await refuse(Connection, classifyReadError(Error));
      co_return false;
    }
    const bool WantsKeepAlive = Parser.get().keep_alive();
    const unsigned Version = Parser.get().version();
    const http_request Request = fromBeast(Parser.release());
    Connection.Stream.expires_never();
    Self.InFlight.fetch_add(1);
    Connection.IsAnswering = true;
    http_reply Reply =
        co_await Self.Handler(http_exchange{Request, Connection.Caller});
    const bool KeepAlive =
        WantsKeepAlive && !Self.Draining.load() && !Connection.IsGivenUp.load();
    const bool Written = co_await write(
        Connection, toBeast(std::move(Reply), Version, KeepAlive));
    Self.InFlight.fetch_sub(1);
    Connection.IsAnswering = false;
    Connection.AwaitedSince = boot_clock::now().time_since_epoch().count();
    co_return Written &&KeepAlive;
  }

  static awaitable<beast::error_code>
  readRequest(implementation &Self, connection &Connection,
              http::request_parser<http::string_body> &Parser) {
    Connection.Stream.expires_never();
    beast::error_code Error = co_await readHeader(Self, Connection, Parser);
    if (!Error)
      Error = checkFraming(Parser);
    if (!Error &&
        beast::iequals(Parser.get()[http::field::expect], "100-continue")) {
      http::response<http::empty_body> Continue(http::status::continue_, 11);
      co_await http::async_write(
          Connection.Stream, Continue,
          asio::redirect_error(asio::use_awaitable, Error));
    }
    if (Error)
      co_return Error;
    const read_deadline Deadline(Connection.Stream, Self.Limits.BodyTimeout);
    co_await http::async_read(Connection.Stream, Connection.Buffer, Parser,
                              asio::redirect_error(asio::use_awaitable, Error));
    co_return Deadline.explain(Error);
  }

  static awaitable<beast::error_code>
  readHeader(implementation &Self, connection &Connection,
             http::request_parser<http::string_body> &Parser) {
    beast::error_code Error;
    const read_deadline Deadline(Connection.Stream, Self.Limits.HeaderTimeout);
    co_await http::async_read_header(
        Connection.Stream, Connection.Buffer, Parser,
        asio::redirect_error(asio::use_awaitable, Error));
    co_return Deadline.explain(Error);
  }

  // The parser treats a request with a transfer coding other than chunked as
  // one without a body, and would parse its body as the next request.
  static beast::error_code
  checkFraming(const http::request_parser<http::string_body> &Parser) {
    const bool IsCoded = Parser.get().count(http::field::transfer_encoding) > 0;
    return IsCoded && !Parser.chunked()
               ? http::make_error_code(http::error::bad_transfer_encoding)
               : beast::error_code();
  }

  static awaitable<bool> write(connection &Connection,
                               http::response<http::string_body> Message) {
    beast::error_code Error;
    Connection.Stream.expires_after(WriteTimeout);
    co_await http::async_write(
        Connection.Stream, Message,
        asio::redirect_error(asio::use_awaitable, Error));
    co_return !Error;
  }

  static awaitable<void> refuse(connection &Connection, error_reply Error) {
    if (Error.Status != 0)
      co_await write(Connection, toBeast(makeErrorReply(Error), 11, false));
  }

  /** Closes the sending side, then discards input for a limited time. */
  static awaitable<void> finish(connection &Connection) {
    boost::system::error_code Ignored;
    Connection.Stream.socket().shutdown(tcp::socket::shutdown_send, Ignored);
    Connection.Stream.expires_after(LingerTimeout);
    std::size_t Discarded = 0;
    beast::error_code ReadError;
    std::array<char, 4096> Scratch{};
    while (!ReadError && Discarded < LingerBytes)
      Discarded += co_await Connection.Stream.async_read_some(
          asio::buffer(Scratch),
          asio::redirect_error(asio::use_awaitable, ReadError));
  }

  std::mutex ConnectionsMutex; // protects Connections
  std::unordered_map<const connection *, std::weak_ptr<connection>> Connections;
};

absl::StatusOr<std::unique_ptr<http_server>>
http_server::start(worker_pool &Pool, std::string_view Address,
                   http_handler Handler, http_server_limits Limits) {
  const auto Endpoint = parseEndpoint(Address);
  if (!Endpoint.ok())
    return Endpoint.status();
  auto Implementation =
      std::make_shared<implementation>(Pool, std::move(Handler), Limits);
  if (const auto Status = Implementation->listen(*Endpoint); !Status.ok())
    return Status;
  return std::unique_ptr<http_server>(
      new http_server(std::move(Implementation)));
}

http_server::http_server(std::shared_ptr<implementation> Implementation)
    : Implementation(std::move(Implementation)) {}

http_server::~http_server() { Implementation->stop(); }

void http_server::beginDrain() { Implementation->Draining.store(true); }

void http_server::stopAccepting() { Implementation->stop(); }

tcp::endpoint http_server::localEndpoint() const {
  return Implementation->Local;
}

std::size_t http_server::requestsInFlight() const {
  return Implementation->InFlight.load();
}

std::size_t http_server::connectionsGivenUp() const {
  return Implementation->GivenUp.load();
}

std::size_t http_server::openConnections() const {
  return Implementation->countConnections();
}

absl::StatusOr<tcp::endpoint> parseEndpoint(std::string_view Text) {
  const auto Colon = Text.rfind(':');
  unsigned Port = 0;
  boost::system::error_code Error;
  // SimpleAtoi() passes over a sign and white space, make_address() over all
  // after a zero byte.
  const bool IsPlain =
      Colon != std::string_view::npos &&
      Text.find('\0') == std::string_view::npos &&
      Text.find_first_not_of("0123456789", Colon + 1) == std::string_view::npos;
  if (IsPlain) {
    const auto Address =
        asio::ip::make_address(std::string(Text.substr(0, Colon)), Error);
    if (!Error && absl::SimpleAtoi(toAbsl(Text.substr(Colon + 1)), &Port) &&
        Port <= 65'535)
      return tcp::endpoint(Address, static_cast<unsigned short>(Port));
  }
  return makeFailure(net_failure::InvalidAddress,
                     absl::StrCat("'", std::string(Text),
                                  "' is not an IP address and a port"));
}

std::string formatEndpoint(const tcp::endpoint &Endpoint) {
  return absl::StrCat(Endpoint.address().to_string(), ":", Endpoint.port());
}

} // namespace sesamepaddle
