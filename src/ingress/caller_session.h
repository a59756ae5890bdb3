#ifndef SESAMEPADDLE_SRC_INGRESS_CALLER_SESSION_H
#define SESAMEPADDLE_SRC_INGRESS_CALLER_SESSION_H

#include "ingress/request_path.h"
#include "sesamepaddle/net/asio.h"

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include <memory>

namespace sesamepaddle {

/** State that all sessions of a VM share. */
struct session_context {
  fleet_state &Fleet;
  request_path &Path;
  std::size_t Open = 0;          ///< sessions that exist
  std::size_t BodyBytesHeld = 0; ///< of requests that are being served
  bool IsClosingIdle = false; ///< the VM is draining: closes idle connections
};

/** One connection of a caller: serves its requests one after the other, and
    cancels the current one as soon as the caller disconnects. */
class caller_session : public std::enable_shared_from_this<caller_session> {
public:
  using parser =
      boost::beast::http::request_parser<boost::beast::http::string_body>;

  caller_session(tcp::socket Socket, std::shared_ptr<session_context> Context);
  ~caller_session();
  caller_session(const caller_session &) = delete;
  caller_session &operator=(const caller_session &) = delete;

  /** Serves the connection until it ends. */
  awaitable<void> run();

  /** Makes an idle session check session_context::IsClosingIdle. */
  void wake() { ReadEvent.cancel(); }

private:
  /** How reading a request ended. */
  enum class read_end : std::uint8_t {
    Whole,  ///< the request is complete
    Closed, ///< the caller disconnected
    Idle,   ///< no request came in time, or the VM is draining
    Slow,   ///< the header or the body took too long
    HeaderTooLarge,
    BodyTooLarge,
    Malformed,
    Overloaded, ///< bodies already hold too much memory
  };

  /** Fills the buffer until the connection ends. */
  awaitable<void> readLoop();
  /** Waits until data came, the connection ended or wake() was called.
      @returns false when none of these happened before @p Until */
  awaitable<bool> waitForData(time_point Until);
  /** Reads one request into @p Parser. */
  awaitable<read_end> readRequest(parser &Parser);
  /** @returns Whole when a request has begun, else Closed or Idle. */
  awaitable<read_end> waitForFirstByte();
  /** Answers one request. @returns true when the connection may be kept */
  awaitable<bool> serveOne(parser &Parser);
  /** @returns true when the whole reply was written in time. */
  awaitable<bool> write(const http_reply &Reply, bool KeepAlive, bool IsHead);
  /** Sends the error reply for @p End, if it has one. */
  awaitable<void> refuse(read_end End);
  /** Rejects ambiguous lengths, and bodies for which no memory is left. */
  read_end checkFraming(const parser &Parser) const;
  /** @returns the current configuration's limits, or the defaults. */
  caller_limits limits() const;

  tcp::socket Socket;
  std::shared_ptr<session_context> Context;
  // Timers that are cancelled to wake the coroutine that waits for them: when
  // data came or the connection ended, and when the buffer has space again.
  asio::steady_timer ReadEvent;
  asio::steady_timer BufferSpaceEvent;
  boost::beast::flat_buffer Buffer;
  std::shared_ptr<cancel_source> Cancel; ///< of the current request
  bool IsClosed = false;
  bool IsReaderDone = false;
};

} // namespace sesamepaddle

#endif
