#include "ingress/caller_session.h"

#include "absl/strings/str_cat.h"

#include <boost/asio/write.hpp>
#include <boost/beast/core/string.hpp>
#include <boost/beast/http/error.hpp>

#include <algorithm>
#include <array>

namespace sesamepaddle {

namespace beast = boost::beast;
namespace http = boost::beast::http;

namespace {

// Size of one read from the socket.
constexpr std::size_t ReadBytes = 8 * 1024;
// Bytes that are read ahead while a request is in progress.
constexpr std::size_t MaxBuffered = 64 * 1024;
// Time to receive a whole body: 64 MB over a link of 20 Mbit/s.
constexpr std::chrono::milliseconds BodyTimeout{30'000};
// A caller that does not take its whole answer within this time counts as
// disconnected.
constexpr std::chrono::milliseconds WriteTimeout{10'000};
// Fraction of a VM's memory that all request bodies together may use.
constexpr double BodyMemoryFraction = 0.4;
// After an error reply the session keeps reading for this long: closing a
// socket with unread bytes resets the connection, and the caller could lose the
// reply.
constexpr std::chrono::milliseconds LingerTimeout{300};

std::string_view reasonPhrase(unsigned Status) {
  const auto Reason = http::obsolete_reason(static_cast<http::status>(Status));
  return {Reason.data(), Reason.size()};
}

} // namespace

caller_session::caller_session(tcp::socket Accepted,
                               std::shared_ptr<session_context> Shared)
    : Socket(std::move(Accepted)), Context(std::move(Shared)),
      ReadEvent(Socket.get_executor()),
      BufferSpaceEvent(Socket.get_executor()) {
  ++Context->Open;
}

caller_session::~caller_session() { --Context->Open; }

caller_limits caller_session::limits() const {
  const auto Configuration = Context->Fleet.configuration();
  return Configuration ? Configuration->limits() : caller_limits();
}

awaitable<void> caller_session::run() {
  const auto Self = shared_from_this();
  asio::co_spawn(
      Socket.get_executor(), readLoop(),
      [Self](const std::exception_ptr &) { Self->IsReaderDone = true; });
  for (bool KeepAlive = true; KeepAlive;) {
    parser Parser;
    const auto End = co_await readRequest(Parser);
    if (End != read_end::Whole) {
      co_await refuse(End);
      break;
    }
    const std::size_t Held = Parser.get().body().size();
    Context->BodyBytesHeld += Held;
    KeepAlive = co_await serveOne(Parser);
    Context->BodyBytesHeld -= Held;
  }
  boost::system::error_code Ignored;
  Socket.shutdown(tcp::socket::shutdown_both, Ignored);
  Socket.close(Ignored);
  BufferSpaceEvent.cancel();
}

// Also reads while a request is in progress, as only a read shows that the
// caller has disconnected.
awaitable<void> caller_session::readLoop() {
  const auto Self = shared_from_this();
  while (!IsClosed) {
    boost::system::error_code Error;
    if (Buffer.size() >= MaxBuffered) {
      BufferSpaceEvent.expires_at(asio::steady_timer::time_point::max());
      co_await BufferSpaceEvent.async_wait(
          asio::redirect_error(asio::use_awaitable, Error));
      if (!Socket.is_open())
        break;
      continue;
    }
    // Waits for data before it allocates buffer space, so that an idle
    // connection takes none.
    co_await Socket.async_wait(
        tcp::socket::wait_read,
        asio::redirect_error(asio::use_awaitable, Error));
    std::size_t Bytes = 0;
    if (!Error)
      Bytes = Socket.read_some(Buffer.prepare(ReadBytes), Error);
    if (Error == asio::error::would_block || Error == asio::error::try_again)
      continue;
    Buffer.commit(Bytes);
    if (Error) {
      IsClosed = true;
      if (Cancel)
        Cancel->cancel();
    }
    ReadEvent.cancel();
  }
}

awaitable<bool> caller_session::waitForData(time_point Until) {
  const auto Left = Until - boot_clock::now();
  if (Left <= duration::zero())
    co_return false;
  boost::system::error_code Error;
  ReadEvent.expires_after(Left);
  co_await ReadEvent.async_wait(
      asio::redirect_error(asio::use_awaitable, Error));
  co_return Error == asio::error::operation_aborted;
}

awaitable<caller_session::read_end> caller_session::waitForFirstByte() {
  const auto Until = boot_clock::now() + limits().IdleTimeout;
  while (Buffer.size() == 0) {
    if (IsClosed)
      co_return read_end::Closed;
    if (Context->IsClosingIdle)
      co_return read_end::Idle;
    if (!co_await waitForData(Until))
      co_return read_end::Idle;
  }
  co_return read_end::Whole;
}

caller_session::read_end
caller_session::checkFraming(const parser &Parser) const {
  const auto &Message = Parser.get();
  // The parser assumes no body for a transfer coding other than chunked, and
  // would parse the body as the next request (request smuggling).
  const bool IsCoded = Message.count(http::field::transfer_encoding) > 0;
  if (IsCoded && (!Parser.chunked() || Message.version() < 11 ||
                  Message.count(http::field::content_length) > 0))
    return read_end::Malformed;
  if (Message.count(http::field::host) != 1)
    return read_end::Malformed;
  const auto Length = Parser.content_length();
  const auto Most =
      static_cast<double>(Context->Fleet.options().Bounds.MemoryBytes) *
      BodyMemoryFraction;
  if (Length && static_cast<double>(Context->BodyBytesHeld + *Length) > Most)
    return read_end::Overloaded;
  return read_end::Whole;
}

awaitable<caller_session::read_end>
caller_session::readRequest(parser &Parser) {
  const auto Idle = co_await waitForFirstByte();
  if (Idle != read_end::Whole)
    co_return Idle;
  const auto Limits = limits();
  Parser.header_limit(static_cast<std::uint32_t>(Limits.HeaderBytes));
  Parser.body_limit(Limits.BodyBytes);
  Parser.eager(true);
  auto Until = boot_clock::now() + Limits.HeaderTimeout;
  bool IsHeaderChecked = false;
  while (!Parser.is_done()) {
    if (Buffer.size() > 0) {
      beast::error_code Error;
      const std::size_t Used = Parser.put(Buffer.data(), Error);
      Buffer.consume(Used);
      BufferSpaceEvent.cancel();
      if (Error == http::error::header_limit)
        co_return read_end::HeaderTooLarge;
      if (Error == http::error::body_limit)
        co_return read_end::BodyTooLarge;
      if (Error && Error != http::error::need_more)
        co_return read_end::Malformed;
      if (Parser.is_header_done() && !IsHeaderChecked) {
        IsHeaderChecked = true;
        Until = boot_clock::now() + BodyTimeout;
        if (const auto End = checkFraming(Parser); End != read_end::Whole)
          co_return End;
        if (beast::iequals(Parser.get()[http::field::expect], "100-continue") &&
            !Parser.is_done()) {
          static constexpr std::string_view Continue =
              "HTTP/1.1 100 Continue\r\n\r\n";
          co_await asio::async_write(
              Socket, asio::buffer(Continue),
              asio::redirect_error(asio::use_awaitable, Error));
        }
      }
      if (Used > 0 || Parser.is_done())
        continue;
    }
    if (IsClosed)
      co_return read_end::Closed;
    if (!co_await waitForData(Until) && boot_clock::now() >= Until)
      co_return read_end::Slow;
  }
  co_return read_end::Whole;
}

awaitable<bool> caller_session::serveOne(parser &Parser) {
  auto &Message = Parser.get();
  ingress_request Request;
  Request.Arrival = boot_clock::now();
  Request.Message.Method = std::string(Message.method_string());
  Request.Message.Target = std::string(Message.target());
  for (const auto &Field : Message)
    Request.Message.Headers.push_back(
        {std::string(Field.name_string()), std::string(Field.value())});
  Request.Message.Body = std::move(Message.body());
  Cancel = std::make_shared<cancel_source>();
  if (IsClosed)
    Cancel->cancel();
  Request.Cancel = Cancel;
  const bool IsHead = Request.Message.Method == "HEAD";
  const bool WantsKeepAlive = Message.keep_alive();
  const http_reply Reply = co_await Context->Path.run(std::move(Request));
  const bool IsGone = Cancel->isCancelled();
  Cancel = nullptr;
  if (IsGone)
    co_return false;
  const bool KeepAlive = WantsKeepAlive && !Context->Fleet.IsDraining;
  const bool IsWritten = co_await write(Reply, KeepAlive, IsHead);
  co_return IsWritten &&KeepAlive;
}

awaitable<bool> caller_session::write(const http_reply &Reply, bool KeepAlive,
                                      bool IsHead) {
  http_headers Headers = Reply.Headers;
  removeHopByHopHeaders(Headers);
  std::string Head =
      absl::StrCat("HTTP/1.1 ", Reply.Status, " ",
                   std::string(reasonPhrase(Reply.Status)), "\r\n");
  for (const auto &Header : Headers)
    absl::StrAppend(&Head, Header.Name, ": ", Header.Value, "\r\n");
  const bool HasBody = Reply.Status != 204 && Reply.Status != 304;
  if (HasBody && !IsHead)
    absl::StrAppend(&Head, "Content-Length: ", Reply.Body.size(), "\r\n");
  if (!KeepAlive)
    Head += "Connection: close\r\n";
  Head += "\r\n";
  std::array<asio::const_buffer, 2> Buffers = {asio::buffer(Head),
                                               asio::buffer(Reply.Body)};
  if (!HasBody || IsHead)
    Buffers[1] = {};
  const auto Self = shared_from_this();
  asio::steady_timer Timer(Socket.get_executor(), WriteTimeout);
  Timer.async_wait([Self](const boost::system::error_code &Error) {
    boost::system::error_code Ignored;
    if (!Error)
      Self->Socket.close(Ignored);
  });
  boost::system::error_code Error;
  co_await asio::async_write(Socket, Buffers,
                             asio::redirect_error(asio::use_awaitable, Error));
  co_return !Error;
}

awaitable<void> caller_session::refuse(read_end End) {
  http_reply Reply;
  switch (End) {
  case read_end::Whole:
  case read_end::Closed:
  case read_end::Idle:
    co_return;
  case read_end::Slow:
    Reply = makeJsonReply(408, "{\"error\":\"slow-request\"}\n");
    break;
  case read_end::HeaderTooLarge:
    Reply = makeJsonReply(431, "{\"error\":\"header-too-large\"}\n");
    break;
  case read_end::BodyTooLarge:
    Reply = makeJsonReply(413, "{\"error\":\"body-too-large\"}\n");
    break;
  case read_end::Malformed:
    Reply = makeJsonReply(400, "{\"error\":\"malformed-request\"}\n");
    break;
  case read_end::Overloaded:
    Reply = makeJsonReply(503, "{\"error\":\"no-memory-for-body\"}\n");
    break;
  }
  if (!co_await write(Reply, false, false))
    co_return;
  boost::system::error_code Ignored;
  Socket.shutdown(tcp::socket::shutdown_send, Ignored);
  const auto Until = boot_clock::now() + LingerTimeout;
  while (!IsClosed && co_await waitForData(Until)) {
    Buffer.consume(Buffer.size());
    BufferSpaceEvent.cancel();
  }
}

} // namespace sesamepaddle
