#include "sesamepaddle/net/http_client.h"

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

constexpr std::size_t MaxIdlePerServer = 64;
constexpr std::chrono::seconds MaxIdleTime{20};

using steady = std::chrono::steady_clock;

struct pooled_connection {
  beast::tcp_stream Stream;
  steady::time_point LastUse;
};

/** @returns true when the other end neither closed nor sent anything unasked:
    both make the connection useless for a new request. */
bool isQuiet(beast::tcp_stream &Stream) {
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

net_failure classifyAnswerError(const beast::error_code &Error) {
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

/** @returns true when the connection may be to blame rather than the server. */
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

/** @returns true when the message itself says where the answer ends. */
bool hasKnownLength(const http::response_parser<http::string_body> &Parser,
                    std::string_view Method) {
  const unsigned Status = Parser.get().result_int();
  const bool HasNoBody = Method == "HEAD" || Status == 204 || Status == 304;
  return HasNoBody || Parser.chunked() || Parser.content_length().has_value();
}

http_reply fromBeast(http::response<http::string_body> &&Message) {
  http_reply Reply;
  Reply.Status = Message.result_int();
  for (const auto &Field : Message)
    Reply.Headers.push_back(
        {std::string(Field.name_string()), std::string(Field.value())});
  Reply.Body = std::move(Message.body());
  return Reply;
}

} // namespace

class http_client::connection_pool {
public:
  /** @returns an idle connection that still looks alive, or nothing. */
  std::unique_ptr<pooled_connection> take(const tcp::endpoint &Server) {
    auto &Idle = IdleByServer[Server];
    while (!Idle.empty()) {
      auto Connection = std::move(Idle.back());
      Idle.pop_back();
      if (steady::now() - Connection->LastUse < MaxIdleTime &&
          isQuiet(Connection->Stream))
        return Connection;
    }
    return nullptr;
  }

  /** Ends a call that took @p Elapsed; keeps @p Connection if there is one. */
  void finish(const tcp::endpoint &Server,
              std::unique_ptr<pooled_connection> Connection,
              steady::duration Elapsed) {
    if (!Connection)
      return;
    auto &Longest = LongestAnswerByServer[Server];
    Longest = std::max(Elapsed, Longest * 9 / 10);
    auto &Idle = IdleByServer[Server];
    if (Idle.size() >= MaxIdlePerServer)
      return;
    Connection->LastUse = steady::now();
    Idle.push_back(std::move(Connection));
  }

  // A server that is merely slow must not get every request twice: what it
  // took of late raises the wait, and half the time is left for a fresh try.
  steady::duration reuseTimeout(const tcp::endpoint &Server,
                                const http_call_options &Options) const {
    steady::duration Wait = Options.ReuseTimeout;
    const auto Found = LongestAnswerByServer.find(Server);
    if (Found != LongestAnswerByServer.end())
      Wait = std::max(Wait, Found->second * 2);
    return std::min<steady::duration>(Wait, Options.Timeout / 2);
  }

  /** Closes the idle connections to @p Server: whatever silenced one of them
      is likely to have silenced the others. */
  void discard(const tcp::endpoint &Server) {
    IdleByServer.erase(Server);
    ++Silent;
  }

  std::size_t silent() const { return Silent; }

  std::size_t size() const {
    std::size_t Count = 0;
    for (const auto &[Server, Idle] : IdleByServer)
      Count += Idle.size();
    return Count;
  }

private:
  std::map<tcp::endpoint, std::vector<std::unique_ptr<pooled_connection>>>
      IdleByServer;
  std::map<tcp::endpoint, steady::duration> LongestAnswerByServer;
  std::size_t Silent = 0;
};

/** One sending of a request over one connection. */
struct http_client::attempt {
  tcp::endpoint Server;
  const http_request &Request;
  steady::time_point FirstByteDeadline;
  steady::time_point Deadline;
  std::size_t BodyBytes;

  awaitable<absl::StatusOr<std::unique_ptr<pooled_connection>>>
  connect(std::chrono::milliseconds Timeout) const;

  /** Sends over @p Connection and leaves it there only when it is reusable. */
  awaitable<absl::StatusOr<http_reply>>
  exchange(std::unique_ptr<pooled_connection> &Connection) const;
};

http_client::http_client() : Pool(std::make_shared<connection_pool>()) {}

http_client::~http_client() = default;

std::size_t http_client::idleConnections() const { return Pool->size(); }

std::size_t http_client::unresponsiveConnections() const {
  return Pool->silent();
}

awaitable<absl::StatusOr<std::unique_ptr<pooled_connection>>>
http_client::attempt::connect(std::chrono::milliseconds Timeout) const {
  beast::error_code Error;
  // g++ 12 destroys a braced temporary twice when co_await stands within it.
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

  beast::flat_buffer Buffer;
  http::response_parser<http::string_body> Parser;
  Parser.body_limit(BodyBytes);
  Parser.skip(Request.Method == "HEAD");
  Stream.expires_at(FirstByteDeadline);
  co_await http::async_read_header(
      Stream, Buffer, Parser, asio::redirect_error(asio::use_awaitable, Error));
  Stream.expires_at(Deadline);
  if (!Error)
    co_await http::async_read(Stream, Buffer, Parser,
                              asio::redirect_error(asio::use_awaitable, Error));
  if (Error)
    co_return failure(classifyAnswerError(Error), Server, Error);
  // An answer that ends with its connection can't be told from one cut short.
  if (!hasKnownLength(Parser, Request.Method))
    co_return makeFailure(net_failure::MalformedMessage,
                          formatEndpoint(Server) + ": answer without a length");
  const bool IsReusable = Parser.get().keep_alive() && Buffer.size() == 0;
  if (IsReusable) {
    Stream.expires_never();
    Connection = std::move(Used);
  }
  co_return fromBeast(Parser.release());
}

awaitable<absl::StatusOr<http_reply>>
http_client::call(tcp::endpoint Server, const http_request &Request,
                  http_call_options Options) {
  const auto KeptPool = Pool;
  const auto Start = steady::now();
  attempt Attempt{Server, Request, Start + Options.Timeout,
                  Start + Options.Timeout, Options.BodyBytes};
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
    co_return makeFailure(net_failure::ReceiveFailed,
                          "no answer on a used connection, then no new one");
  if (!Connection.ok())
    co_return Connection.status();
  auto Reply = co_await Attempt.exchange(*Connection);
  if (Reply.ok() && WasReused)
    KeptPool->discard(Server);
  KeptPool->finish(Server, std::move(*Connection), steady::now() - FreshStart);
  co_return Reply;
}

} // namespace sesamepaddle
