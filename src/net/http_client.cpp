#include "sesamepaddle/net/http_client.h"

#include "sesamepaddle/net/body_memory.h"
#include "sesamepaddle/net/failures.h"
#include "sesamepaddle/net/http_server.h"

#include "absl/strings/str_cat.h"

#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <algorithm>
#include <map>
#include <vector>

namespace sesamepaddle {

namespace beast = boost::beast;
namespace http = boost::beast::http;

namespace {

// Connections beyond this number are closed after their call.
constexpr std::size_t MaxIdlePerServer = 64;
// A connection that was idle for longer is closed rather than used again. Less
// than the default http_server_limits::IdleTimeout, after which our servers
// close it.
constexpr std::chrono::seconds MaxIdleTime{20};
// Bound on received bytes that are not yet part of a reply: a server in trouble
// may send an endless line. The body is bounded separately.
constexpr std::size_t MaxUnparsedBytes = 64 * 1024;

using steady = std::chrono::steady_clock;

struct pooled_connection {
  beast::tcp_stream Stream;
  steady::time_point LastUse;
};

/** @returns true when the server has neither closed the connection nor sent
    unrequested bytes. In both cases it can't carry another request. */
bool isReusable(beast::tcp_stream &Stream) {
  char Byte = 0;
  const auto Count = ::recv(Stream.socket().native_handle(), &Byte, 1,
                            MSG_PEEK | MSG_DONTWAIT);
  return Count < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

absl::Status failure(net_failure Kind, const tcp::endpoint &Server,
                     const beast::error_code &Error) {
  return makeFailure(
      Kind, absl::StrCat(formatEndpoint(Server), ": ", Error.message()));
}

net_failure classifyReplyError(const beast::error_code &Error) {
  if (Error == beast::error::timeout)
    return net_failure::Timeout;
  if (Error == http::error::body_limit)
    return net_failure::BodyTooLarge;
  if (Error == http::error::header_limit)
    return net_failure::HeaderTooLarge;
  const bool IsCutShort = Error == http::error::end_of_stream ||
                          Error == http::error::partial_message;
  const bool IsParserError =
      Error.category() ==
      http::make_error_code(http::error::bad_version).category();
  return IsParserError && !IsCutShort ? net_failure::MalformedMessage
                                      : net_failure::ReceiveFailed;
}

/** @returns how much of the reply has arrived, for the description of a
    failure. */
std::string
describeProgress(const http::response_parser<http::string_body> &Parser) {
  if (!Parser.is_header_done())
    return "no reply header";
  const auto Length = Parser.content_length();
  return absl::StrCat(Parser.get().body().size(), " of ",
                      Length ? absl::StrCat(*Length) : "unknown", " bytes");
}

/** @returns true when the connection may have failed rather than the server. */
bool isConnectionFailure(const absl::Status &Status) {
  return isFailure(Status, net_failure::SendFailed) ||
         isFailure(Status, net_failure::ReceiveFailed) ||
         isFailure(Status, net_failure::Timeout);
}

http::request<http::string_body> toBeast(const tcp::endpoint &Server,
                                         const http_request &Request) {
  http::request<http::string_body> Message;
  Message.version(11);
  Message.method_string(Request.Method);
  Message.target(Request.Target);
  for (const auto &Header : Request.Headers)
    Message.insert(Header.Name, Header.Value);
  Message.set(http::field::host, formatEndpoint(Server));
  Message.body() = Request.Body;
  Message.prepare_payload();
  return Message;
}

/** @returns true when the end of the reply follows from the message itself, not
    from the end of the connection. */
bool hasKnownLength(const http::response_parser<http::string_body> &Parser,
                    std::string_view Method) {
  const unsigned Status = Parser.get().result_int();
  const bool HasNoBody = Method == "HEAD" || Status == 204 || Status == 304;
  return HasNoBody || Parser.chunked() || Parser.content_length().has_value();
}

/** @returns the status and the fields of @p Message. */
http_reply headOf(const http::response<http::string_body> &Message) {
  http_reply Reply;
  Reply.Status = Message.result_int();
  for (const auto &Field : Message)
    Reply.Headers.push_back(
        {std::string(Field.name_string()), std::string(Field.value())});
  return Reply;
}

} // namespace

/** Idle connections and recent reply times, by server, and the memory of the
    replies that are arriving. */
class http_client::connection_pool {
public:
  explicit connection_pool(std::size_t MaxArrivingBytes)
      : Arriving(std::make_shared<body_memory>(MaxArrivingBytes)) {}

  const std::shared_ptr<body_memory> Arriving;

  /** Removes an idle connection that appears to be usable from the pool.
      @returns the connection, or nullptr. */
  std::unique_ptr<pooled_connection> take(const tcp::endpoint &Server) {
    auto &Idle = IdleByServer[Server];
    while (!Idle.empty()) {
      auto Connection = std::move(Idle.back());
      Idle.pop_back();
      if (steady::now() - Connection->LastUse < MaxIdleTime &&
          isReusable(Connection->Stream))
        return Connection;
    }
    return nullptr;
  }

  /** Returns @p Connection, unless null, to the pool after a call that took
      @p Elapsed. */
  void finish(const tcp::endpoint &Server,
              std::unique_ptr<pooled_connection> Connection,
              steady::duration Elapsed) {
    if (!Connection)
      return;
    // Decays by a tenth with each call, so that one slow reply raises the
    // reuse timeout only for a while.
    auto &Longest = LongestReplyByServer[Server];
    Longest = std::max(Elapsed, Longest * 9 / 10);
    auto &Idle = IdleByServer[Server];
    if (Idle.size() >= MaxIdlePerServer)
      return;
    Connection->LastUse = steady::now();
    Idle.push_back(std::move(Connection));
  }

  // A server that is merely slow must not receive every request twice, so the
  // timeout is at least twice its longest recent reply time. At most half of
  // the call's timeout is used, to leave time for a new connection.
  steady::duration reuseTimeout(const tcp::endpoint &Server,
                                const http_call_options &Options) const {
    steady::duration Wait = Options.ReuseTimeout;
    const auto Found = LongestReplyByServer.find(Server);
    if (Found != LongestReplyByServer.end())
      Wait = std::max(Wait, Found->second * 2);
    return std::min<steady::duration>(Wait, Options.Timeout / 2);
  }

  /** Closes the idle connections to @p Server after one of them failed: the
      others have probably failed for the same reason. */
  void discard(const tcp::endpoint &Server) {
    IdleByServer.erase(Server);
    ++Unresponsive;
  }

  std::size_t unresponsive() const { return Unresponsive; }

  std::size_t size() const {
    std::size_t Count = 0;
    for (const auto &[Server, Idle] : IdleByServer)
      Count += Idle.size();
    return Count;
  }

private:
  std::map<tcp::endpoint, std::vector<std::unique_ptr<pooled_connection>>>
      IdleByServer;
  std::map<tcp::endpoint, steady::duration> LongestReplyByServer;
  std::size_t Unresponsive = 0;
};

/** One attempt to send a request over one connection. */
struct http_client::attempt {
  tcp::endpoint Server;
  const http_request &Request;
  steady::time_point FirstByteDeadline; ///< for sending and the reply header
  steady::time_point Deadline;
  const http_call_options &Options;
  std::shared_ptr<body_memory> Arriving;

  /** Opens a new connection. */
  awaitable<absl::StatusOr<std::unique_ptr<pooled_connection>>>
  connect(std::chrono::milliseconds Timeout) const;

  /** Sends the request over @p Connection and reads the reply. @p Connection is
      null afterwards unless it can be used again. */
  awaitable<absl::StatusOr<http_reply>>
  exchange(std::unique_ptr<pooled_connection> &Connection) const;

  using reply_parser = http::response_parser<http::string_body>;
  /** Reads what follows the header of a reply. */
  awaitable<beast::error_code> readBody(beast::tcp_stream &Stream,
                                        beast::flat_buffer &Buffer,
                                        reply_parser &Parser,
                                        body_memory::holding &Memory) const;
};

http_client::http_client(std::size_t MaxArrivingBytes)
    : Pool(std::make_shared<connection_pool>(MaxArrivingBytes)) {}

http_client::~http_client() = default;

std::size_t http_client::idleConnections() const { return Pool->size(); }

std::size_t http_client::unresponsiveConnections() const {
  return Pool->unresponsive();
}

awaitable<absl::StatusOr<std::unique_ptr<pooled_connection>>>
http_client::attempt::connect(std::chrono::milliseconds Timeout) const {
  beast::error_code Error;
  // g++ 12 destroys a braced temporary twice if it contains a co_await.
  const auto Executor = co_await asio::this_coro::executor;
  auto Connection = std::make_unique<pooled_connection>(
      pooled_connection{beast::tcp_stream(Executor), {}});
  Connection->Stream.expires_at(std::min(Deadline, steady::now() + Timeout));
  co_await Connection->Stream.async_connect(
      Server, asio::redirect_error(asio::use_awaitable, Error));
  if (Error)
    co_return failure(net_failure::ConnectFailed, Server, Error);
  Connection->Stream.socket().set_option(tcp::no_delay(true), Error);
  co_return Connection;
}

awaitable<beast::error_code>
http_client::attempt::readBody(beast::tcp_stream &Stream,
                               beast::flat_buffer &Buffer, reply_parser &Parser,
                               body_memory::holding &Memory) const {
  auto &Body = Parser.get().body();
  const bool IsLengthKnown = Parser.content_length().has_value();
  if (IsLengthKnown)
    Memory.setLengthKnown();
  const auto End = steady::now() + Options.MaxBodyTime;
  beast::error_code Error;
  while (!Error && !Parser.is_done()) {
    // The parser itself reserves memory for a body of known length.
    if (!IsLengthKnown && !Memory.reserve(Body, MaxUnparsedBytes))
      co_return http::error::body_limit;
    Stream.expires_at(
        Options.StallTimeout.count() == 0
            ? Deadline
            : std::min(End, steady::now() + Options.StallTimeout));
    co_await http::async_read_some(
        Stream, Buffer, Parser,
        asio::redirect_error(asio::use_awaitable, Error));
    if (Memory.isGivenUp() || !Memory.resize(Body.size()))
      co_return http::error::body_limit;
  }
  co_return Error;
}

awaitable<absl::StatusOr<http_reply>> http_client::attempt::exchange(
    std::unique_ptr<pooled_connection> &Connection) const {
  auto Used = std::move(Connection);
  beast::error_code Error;
  auto &Stream = Used->Stream;
  Stream.expires_at(FirstByteDeadline);
  auto Message = toBeast(Server, Request);
  co_await http::async_write(Stream, Message,
                             asio::redirect_error(asio::use_awaitable, Error));
  if (Error)
    co_return failure(Error == beast::error::timeout ? net_failure::Timeout
                                                     : net_failure::SendFailed,
                      Server, Error);

  beast::flat_buffer Buffer(MaxUnparsedBytes);
  reply_parser Parser;
  Parser.body_limit(Options.BodyBytes);
  Parser.skip(Request.Method == "HEAD");
  body_memory::holding Memory(Arriving, [&Stream, &Parser] {
    Stream.close();
    std::string().swap(Parser.get().body());
  });
  Stream.expires_at(FirstByteDeadline);
  co_await http::async_read_header(
      Stream, Buffer, Parser, asio::redirect_error(asio::use_awaitable, Error));
  if (!Error && Options.OnHeader)
    Options.OnHeader();
  // Without a length, a complete reply can't be distinguished from a truncated
  // one.
  if (!Error && !hasKnownLength(Parser, Request.Method))
    co_return makeFailure(net_failure::MalformedMessage,
                          formatEndpoint(Server) + ": reply without a length");
  // Without the fields of a trailer.
  auto Reply = headOf(Parser.get());
  if (!Error && !isHttpStatus(Reply.Status))
    co_return makeFailure(
        net_failure::MalformedMessage,
        absl::StrCat(formatEndpoint(Server), ": status ", Reply.Status));
  const auto Reason = Parser.get().reason();
  if (!Error && (containsStatusLine({Reason.data(), Reason.size()}) ||
                 containsStatusLine(Reply.Headers)))
    co_return makeFailure(net_failure::MalformedMessage,
                          formatEndpoint(Server) +
                              ": a status line within the head");
  if (!Error)
    Error = co_await readBody(Stream, Buffer, Parser, Memory);
  if (Error)
    co_return makeFailure(classifyReplyError(Error),
                          absl::StrCat(formatEndpoint(Server), ": ",
                                       Error.message(), ", ",
                                       describeProgress(Parser)));
  Memory.setWhole();
  const bool IsReusable = Parser.get().keep_alive() && Buffer.size() == 0;
  if (IsReusable) {
    Stream.expires_never();
    Connection = std::move(Used);
  }
  Reply.Body = std::move(Parser.get().body());
  co_return Reply;
}

awaitable<absl::StatusOr<http_reply>>
http_client::call(tcp::endpoint Server, const http_request &Request,
                  http_call_options Options) {
  // The client may be destroyed while the call is suspended.
  const auto KeptPool = Pool;
  const auto Start = steady::now();
  attempt Attempt{Server,
                  Request,
                  Start + Options.Timeout,
                  Start + Options.Timeout,
                  Options,
                  KeptPool->Arriving};
  std::unique_ptr<pooled_connection> Reused;
  if (Options.Connection != connection_choice::Fresh)
    Reused = KeptPool->take(Server);
  const bool WasReused = Reused != nullptr;
  if (WasReused) {
    if (Options.Connection == connection_choice::PooledThenFresh)
      Attempt.FirstByteDeadline =
          Start + KeptPool->reuseTimeout(Server, Options);
    auto Reply = co_await Attempt.exchange(Reused);
    const bool IsLast =
        Options.Connection != connection_choice::PooledThenFresh ||
        steady::now() >= Attempt.Deadline;
    if (Reply.ok() || IsLast || !isConnectionFailure(Reply.status())) {
      KeptPool->finish(Server, std::move(Reused), steady::now() - Start);
      co_return Reply;
    }
    Attempt.FirstByteDeadline = Attempt.Deadline;
  }

  const auto FreshStart = steady::now();
  auto Connection = co_await Attempt.connect(Options.ConnectTimeout);
  if (!Connection.ok() && WasReused)
    co_return makeFailure(
        net_failure::ReceiveFailed,
        "no reply on a pooled connection, and a new connection failed");
  if (!Connection.ok())
    co_return Connection.status();
  auto Reply = co_await Attempt.exchange(*Connection);
  if (Reply.ok() && WasReused)
    KeptPool->discard(Server);
  KeptPool->finish(Server, std::move(*Connection), steady::now() - FreshStart);
  co_return Reply;
}

} // namespace sesamepaddle
