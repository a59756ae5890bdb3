#include "ingress/upstream_pool.h"

#include "sesamepaddle/core/text.h"
#include "sesamepaddle/net/http_server.h"
#include "sesamepaddle/steering/rendezvous.h"

#include "absl/strings/match.h"
#include "absl/strings/numbers.h"

#include <boost/asio/write.hpp>
#include <boost/beast/http.hpp>

#include <algorithm>
#include <array>
#include <poll.h>

namespace sesamepaddle {

namespace http = boost::beast::http;

namespace {

// Idle time after which a connection is not reused, if its endpoint announced
// no keep-alive timeout.
constexpr std::chrono::milliseconds DefaultIdleTime{6'000};
// A connection is retired this long before the keep-alive timeout of its
// endpoint, so that the endpoint does not close it while a request is in
// transit.
constexpr std::chrono::milliseconds IdleMargin{1'500};
// Bound on the idle connections that are kept after an exchange.
constexpr std::size_t MaxIdlePerEndpoint = 16;
// Bound on the ids that a connection remembers; the oldest is forgotten first.
constexpr std::size_t MaxRememberedIds = 64;
// Answers to other requests that are dropped before the connection is
// abandoned.
constexpr int MaxForeignAnswers = 3;
// Bound on received bytes that are not yet part of an answer. An endpoint in
// trouble may send an endless line; the body is bounded separately.
constexpr std::size_t MaxUnparsedBytes = 64 * 1024;
// Sizes of a read, until the header is complete and after it. Most answers fit
// the first one. The buffer is not counted with the bodies.
constexpr std::size_t HeadReadBytes = 4 * 1024;
constexpr std::size_t BodyReadBytes = 16 * 1024;

using answer_parser = http::response_parser<http::string_body>;

/** @returns the timeout in a Keep-Alive field in seconds, or 0. */
int keepAliveSeconds(std::string_view Field) {
  constexpr std::string_view Name = "timeout=";
  const auto Start = Field.find(Name);
  if (Start == std::string_view::npos)
    return 0;
  const auto Value = Field.substr(Start + Name.size());
  int Seconds = 0;
  const auto Digits = Value.substr(0, Value.find_first_not_of("0123456789"));
  return absl::SimpleAtoi(toAbsl(Digits), &Seconds) ? Seconds : 0;
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

/** @returns why @p Message, of which @p Head has been made, can't be the head
   of one answer, or an empty view. */
std::string_view findHeadFault(const http::response<http::string_body> &Message,
                               const http_reply &Head,
                               const std::string &RequestIdField) {
  if (!isHttpStatus(Head.Status))
    return "a status that HTTP does not define";
  if (Message.count(RequestIdField) > 1)
    return "several request ids";
  const auto Reason = Message.reason();
  if (containsStatusLine({Reason.data(), Reason.size()}) ||
      containsStatusLine(Head.Headers))
    return "a status line within the head";
  return {};
}

} // namespace

struct upstream_pool::connection {
  explicit connection(const asio::any_io_executor &Executor)
      : Socket(Executor), Buffer(MaxUnparsedBytes) {}

  /** @returns true while the peer has neither closed nor sent anything. */
  bool isQuiet() {
    char Byte = 0;
    const auto Count =
        ::recv(Socket.native_handle(), &Byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return Count < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
  }

  /** @returns true when the endpoint has ended its side in order, after the
      end of the stream was read. A reset that meets a write is reported by that
      write alone; the read then ends as after an orderly close. */
  bool hasEndedInOrder() {
    if (HasWriteFailed || !IsWriting)
      return !HasWriteFailed;
    // The write may not have reported it yet. Unlike one that has been ended by
    // the endpoint, a connection that was reset is closed both ways.
    pollfd State{Socket.native_handle(), 0, 0};
    return ::poll(&State, 1, 0) == 0;
  }

  void close() {
    boost::system::error_code Ignored;
    Socket.close(Ignored);
  }

  bool hasCarried(std::string_view RequestId) const {
    return std::find(RequestIds.begin(), RequestIds.end(),
                     stableHash(RequestId)) != RequestIds.end();
  }

  void remember(std::string_view RequestId) {
    if (RequestIds.size() >= MaxRememberedIds)
      RequestIds.erase(RequestIds.begin());
    RequestIds.push_back(stableHash(RequestId));
  }

  tcp::socket Socket;
  boost::beast::flat_buffer Buffer;
  std::vector<std::uint64_t> RequestIds; ///< hashes, oldest first
  time_point UsableUntil{};
  bool IsWriting = false;      ///< a request is still being written
  bool HasWriteFailed = false; ///< the connection ended in it
  bool IsReusable = false;     ///< the last answer left it in a clean state
};

upstream_pool::upstream_pool(std::string Field, deadline_queue &Deadlines,
                             std::shared_ptr<body_memory> Shared)
    : RequestIdField(std::move(Field)), Deadlines(Deadlines),
      Answers(std::move(Shared)) {}

upstream_pool::connection_pointer
upstream_pool::take(const std::string &Endpoint, std::string_view RequestId,
                    time_point Now) {
  const auto Found = Idle.find(Endpoint);
  if (Found == Idle.end())
    return nullptr;
  auto &Connections = Found->second;
  for (std::size_t Index = Connections.size(); Index-- > 0;) {
    if (Connections[Index]->hasCarried(RequestId))
      continue;
    auto Connection = std::move(Connections[Index]);
    Connections.erase(Connections.begin() + static_cast<std::ptrdiff_t>(Index));
    if (Now < Connection->UsableUntil && Connection->isQuiet())
      return Connection;
  }
  return nullptr;
}

awaitable<upstream_pool::connection_pointer>
upstream_pool::open(const std::string &Address,
                    std::chrono::milliseconds Timeout,
                    std::shared_ptr<cancel_source> Cancel) {
  const auto Endpoint = parseEndpoint(Address);
  if (!Endpoint.ok())
    co_return nullptr;
  const auto Executor = co_await asio::this_coro::executor;
  auto Connection = std::make_shared<connection>(Executor);
  Cancel->OnCancel = [Connection] { Connection->close(); };
  boost::system::error_code Error;
  {
    const auto Timer = Deadlines.add(boot_clock::now() + Timeout,
                                     [Connection] { Connection->close(); });
    co_await Connection->Socket.async_connect(
        *Endpoint, asio::redirect_error(asio::use_awaitable, Error));
  }
  Cancel->OnCancel = nullptr;
  // The deadline may have passed in the same event loop iteration in which the
  // connection was established.
  if (Error || !Connection->Socket.is_open())
    co_return nullptr;
  Connection->Socket.set_option(tcp::no_delay(true), Error);
  Connection->Socket.non_blocking(true, Error);
  ++Opened;
  co_return Connection;
}

awaitable<exchange_result>
upstream_pool::exchange(const std::string &Endpoint, const std::string &Address,
                        std::shared_ptr<const upstream_request> Request,
                        exchange_limits Limits,
                        std::shared_ptr<cancel_source> Cancel) {
  exchange_result Result;
  const auto Now = boot_clock::now();
  auto Connection = take(Endpoint, Request->RequestId, Now);
  Result.IsReused = Connection != nullptr;
  if (!Connection) {
    const auto Left = std::chrono::duration_cast<std::chrono::milliseconds>(
        Limits.Deadline - Now);
    Connection = co_await open(Address, std::min(Limits.Connect, Left), Cancel);
  }
  if (Cancel->isCancelled()) {
    Result.End = exchange_end::Cancelled;
    co_return Result;
  }
  if (!Connection)
    co_return Result;
  if (!Result.IsReused && Limits.IsStillWanted && !Limits.IsStillWanted()) {
    Connection->UsableUntil = boot_clock::now() + DefaultIdleTime;
    Idle[Endpoint].push_back(std::move(Connection));
    Result.End = exchange_end::Withdrawn;
    co_return Result;
  }

  bool IsTimedOut = false;
  const auto Timer = Deadlines.add(Limits.Deadline, [Connection, &IsTimedOut] {
    IsTimedOut = true;
    Connection->close();
  });
  Cancel->OnCancel = [Connection] { Connection->close(); };
  Connection->remember(Request->RequestId);
  write(Connection, Request);
  const bool IsReused = Result.IsReused;
  Result = co_await readAnswer(Connection, Request, IsReused, Limits.BodyBytes);
  Cancel->OnCancel = nullptr;
  if (Cancel->isCancelled() && Result.End != exchange_end::Answered)
    Result.End = exchange_end::Cancelled;
  else if ((IsTimedOut || Cancel->isExpired()) &&
           Result.End != exchange_end::Answered)
    Result.End = exchange_end::TimedOut;

  const bool IsKept = Result.End == exchange_end::Answered &&
                      Connection->IsReusable && !Connection->IsWriting &&
                      !Connection->HasWriteFailed &&
                      Connection->Socket.is_open();
  auto &Connections = Idle[Endpoint];
  if (IsKept && Connections.size() < MaxIdlePerEndpoint) {
    // An answer may have grown it to tens of kilobytes.
    Connection->Buffer.shrink_to_fit();
    Connections.push_back(std::move(Connection));
  } else {
    Connection->close();
  }
  co_return Result;
}

void upstream_pool::write(const connection_pointer &Connection,
                          std::shared_ptr<const upstream_request> Request) {
  std::array<asio::const_buffer, 2> Buffers = {
      asio::buffer(Request->Head),
      asio::buffer(Request->Body.data(), Request->Body.size())};
  // Most requests fit the socket's buffer.
  boost::system::error_code Error;
  std::size_t Written = Connection->Socket.write_some(Buffers, Error);
  Connection->HasWriteFailed = Error && Error != asio::error::would_block;
  if (Written == asio::buffer_size(Buffers) || Connection->HasWriteFailed)
    return;
  for (auto &Buffer : Buffers) {
    const auto Part = std::min(Written, Buffer.size());
    Buffer += Part;
    Written -= Part;
  }
  // The handler keeps the request alive, as an early answer may end the
  // exchange while the body is still being written.
  Connection->IsWriting = true;
  asio::async_write(
      Connection->Socket, Buffers,
      [Connection, Request](const boost::system::error_code &End, std::size_t) {
        Connection->IsWriting = false;
        Connection->HasWriteFailed = End.failed();
      });
}

namespace {

/** Parses the bytes in @p Buffer.
    @param Error  set when the message is invalid or there is no memory for it
    @returns true when bytes were parsed */
bool parse(answer_parser &Parser, boost::beast::flat_buffer &Buffer,
           body_memory::holding &Memory, boost::system::error_code &Error) {
  auto &Body = Parser.get().body();
  // The parser itself reserves memory for a body of known length.
  const bool MayGrow = Parser.is_header_done() && !Parser.content_length();
  if (MayGrow && !Memory.reserve(Body, Buffer.size())) {
    Error = asio::error::no_memory;
    return false;
  }
  const std::size_t Used = Parser.put(Buffer.data(), Error);
  Buffer.consume(Used);
  if (Error == http::error::need_more)
    Error = {};
  if (Parser.is_header_done() && Parser.content_length())
    Memory.setLengthKnown();
  if (!Error && !Memory.resize(Body.size()))
    Error = asio::error::no_memory;
  // An endless line, as of a chunk's extension.
  if (!Error && Used == 0 && Buffer.size() >= MaxUnparsedBytes)
    Error = http::error::buffer_overflow;
  return Used > 0;
}

enum class message_part : std::uint8_t { Head, Whole };

/** Reads one message up to the end of @p Part. Further bytes stay in @p Buffer.
 */
awaitable<boost::system::error_code>
read(tcp::socket &Socket, boost::beast::flat_buffer &Buffer,
     answer_parser &Parser, body_memory::holding &Memory, message_part Part) {
  boost::system::error_code Error;
  Parser.eager(Part == message_part::Whole);
  for (;;) {
    if (Buffer.size() > 0)
      parse(Parser, Buffer, Memory, Error);
    const bool IsRead =
        Part == message_part::Head ? Parser.is_header_done() : Parser.is_done();
    if (Error || IsRead)
      co_return Error;
    const auto Wanted = Parser.is_header_done() ? BodyReadBytes : HeadReadBytes;
    const std::size_t Bytes = co_await Socket.async_read_some(
        Buffer.prepare(std::min(Wanted, MaxUnparsedBytes - Buffer.size())),
        asio::redirect_error(asio::use_awaitable, Error));
    Buffer.commit(Bytes);
    if (Error == asio::error::eof && Parser.got_some()) {
      Parser.put_eof(Error);
      co_return Error;
    }
    if (Error == asio::error::eof)
      co_return http::error::end_of_stream;
    if (Error)
      co_return Error;
  }
}

/** @returns how an exchange ended whose answer could not be read. */
exchange_end failedRead(const boost::system::error_code &Error,
                        const body_memory::holding &Memory) {
  if (Error == asio::error::no_memory)
    return Memory.isCrowdedOut() ? exchange_end::CrowdedOut
                                 : exchange_end::TooLong;
  const bool IsInvalidHttp =
      Error.category() ==
          http::make_error_code(http::error::bad_version).category() &&
      Error != http::error::end_of_stream &&
      Error != http::error::partial_message;
  return IsInvalidHttp ? exchange_end::Malformed : exchange_end::Lost;
}

} // namespace

awaitable<exchange_result>
upstream_pool::readAnswer(connection_pointer Connection,
                          std::shared_ptr<const upstream_request> Request,
                          bool IsReused, std::size_t BodyBytes) {
  exchange_result Result;
  Result.IsReused = IsReused;
  bool WasForeign = false;
  for (int Answer = 0; Answer <= MaxForeignAnswers; ++Answer) {
    answer_parser Parser;
    Parser.body_limit(BodyBytes);
    Parser.skip(Request->IsHead);
    const auto Memory =
        std::make_shared<body_memory::holding>(Answers, [Connection, &Parser] {
          Connection->close();
          std::string().swap(Parser.get().body());
        });
    auto Error = co_await read(Connection->Socket, Connection->Buffer, Parser,
                               *Memory, message_part::Head);
    const auto &Message = Parser.get();
    // Later fields, in a trailer, say nothing of the request.
    auto Reply = headOf(Message);
    // The head of a cut answer may continue with another answer.
    auto Fault = findHeadFault(Message, Reply, RequestIdField);
    if (!Error && Fault.empty() && !Parser.is_done()) {
      Error = co_await read(Connection->Socket, Connection->Buffer, Parser,
                            *Memory, message_part::Whole);
      // Only the end of the connection shows that such an answer is whole.
      if (!Error && Parser.need_eof() && !Connection->hasEndedInOrder())
        Error = asio::error::connection_reset;
      // Of the trailer.
      if (Parser.chunked())
        Fault = findHeadFault(Message, headOf(Message), RequestIdField);
    }
    if (Memory->isGivenUp())
      Error = asio::error::no_memory;
    if (Error) {
      Result.End = failedRead(Error, *Memory);
      Result.Detail = Error.message();
      co_return Result;
    }
    if (!Fault.empty()) {
      Result.End = exchange_end::Malformed;
      Result.Detail = Fault;
      co_return Result;
    }
    Memory->setWhole();
    const auto Field = Message.find(RequestIdField);
    const bool HasId = Field != Message.end();
    const bool IsInterim = Message.result_int() < 200;
    const bool IsForeign =
        HasId &&
        Field->value() != boost::beast::string_view(Request->RequestId.data(),
                                                    Request->RequestId.size());
    if (IsForeign || IsInterim) {
      WasForeign = WasForeign || IsForeign;
      if (!Parser.keep_alive())
        break;
      continue;
    }
    if (IsReused && !HasId) {
      Result.End = exchange_end::Malformed;
      Result.Detail = "answer without a request id";
      co_return Result;
    }
    const bool HasLength = Request->IsHead || Parser.chunked() ||
                           Parser.content_length().has_value();
    Connection->IsReusable = Parser.keep_alive() && HasLength && HasId &&
                             !WasForeign && Connection->Buffer.size() == 0;
    if (Connection->IsReusable) {
      const auto KeepAlive = Message[http::field::keep_alive];
      const int Seconds =
          keepAliveSeconds({KeepAlive.data(), KeepAlive.size()});
      const auto IdleTime =
          Seconds > 0 ? std::chrono::milliseconds(Seconds * 1000) - IdleMargin
                      : DefaultIdleTime;
      Connection->UsableUntil = boot_clock::now() + IdleTime;
    }
    Result.End = exchange_end::Answered;
    Result.HasRequestId = HasId;
    Result.Reply = std::move(Reply);
    Result.Reply.Body = std::move(Parser.get().body());
    Result.Memory = Memory;
    co_return Result;
  }
  Result.End = exchange_end::Malformed;
  Result.Detail = "answers to other requests only";
  co_return Result;
}

awaitable<bool> upstream_pool::connect(std::string Endpoint,
                                       std::string Address,
                                       std::chrono::milliseconds Timeout) {
  auto Connection =
      co_await open(Address, Timeout, std::make_shared<cancel_source>());
  if (!Connection)
    co_return false;
  Connection->UsableUntil = boot_clock::now() + DefaultIdleTime;
  Idle[Endpoint].push_back(std::move(Connection));
  co_return true;
}

void upstream_pool::sweep(time_point Now) {
  for (auto Entry = Idle.begin(); Entry != Idle.end();) {
    std::erase_if(Entry->second, [Now](const connection_pointer &Connection) {
      return Now >= Connection->UsableUntil;
    });
    Entry = Entry->second.empty() ? Idle.erase(Entry) : std::next(Entry);
  }
}

void upstream_pool::discard(const std::string &Endpoint) {
  Idle.erase(Endpoint);
}

std::size_t upstream_pool::idleConnections() const {
  std::size_t Count = 0;
  for (const auto &[Endpoint, Connections] : Idle)
    Count += Connections.size();
  return Count;
}

} // namespace sesamepaddle
