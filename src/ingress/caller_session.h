#ifndef SESAMEPADDLE_SRC_INGRESS_CALLER_SESSION_H
#define SESAMEPADDLE_SRC_INGRESS_CALLER_SESSION_H

#include "ingress/request_path.h"
#include "sesamepaddle/net/asio.h"

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include <memory>

namespace sesamepaddle {

/** What all sessions of a VM share. */
struct session_context {
  fleet_state &Fleet;
  request_path &Path;
  std::size_t Open = 0;
  std::size_t BodyBytesHeld = 0;
  bool IsClosingIdle = false; ///< the VM leaves: idle connections are closed
};

/** One connection of a caller: reads its requests one after the other and
    notices at once when it leaves. */
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

  /** Lets an idle session see that the VM leaves. */
  void wake() { ReadEvent.cancel(); }

private:
  enum class read_end : std::uint8_t {
    Whole,
    Closed,
    Idle,
    Slow,
    HeaderTooLarge,
    BodyTooLarge,
    Malformed,
    Overloaded,
  };

  awaitable<void> readLoop();
  awaitable<bool> waitForData(time_point Until);
  awaitable<read_end> readRequest(parser &Parser);
  awaitable<read_end> waitForFirstByte();
  awaitable<bool> serveOne(parser &Parser);
  awaitable<bool> write(const http_reply &Reply, bool KeepAlive, bool IsHead);
  awaitable<void> refuse(read_end End);
  read_end checkFraming(const parser &Parser) const;
  caller_limits limits() const;

  tcp::socket Socket;
  std::shared_ptr<session_context> Context;
  asio::steady_timer ReadEvent;        ///< data came, or the connection ended
  asio::steady_timer BufferSpaceEvent; ///< the buffer has room again
  boost::beast::flat_buffer Buffer;
  std::shared_ptr<cancel_source> Cancel;
  bool IsClosed = false;
  bool IsReaderDone = false;
};

} // namespace sesamepaddle

#endif
