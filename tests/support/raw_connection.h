#ifndef SESAMEPADDLE_TESTS_SUPPORT_RAW_CONNECTION_H
#define SESAMEPADDLE_TESTS_SUPPORT_RAW_CONNECTION_H

#include "sesamepaddle/net/asio.h"

#include <chrono>
#include <string>
#include <string_view>

namespace sesamepaddle {

/** A TCP connection over which a test can send malformed or incomplete
   requests, which a client library would not send. */
class raw_connection {
public:
  /** Connects at once. Throws boost::system::system_error on failure. */
  explicit raw_connection(const tcp::endpoint &Server);

  /** Connects with a receive buffer of about @p ReceiveBytes, so that the
      server soon has to wait for readBytes(). */
  raw_connection(const tcp::endpoint &Server, int ReceiveBytes);

  /** Sends bytes unchanged. Ignores errors, since the server may have closed
     the connection already. */
  void send(std::string_view Bytes);

  /** Waits until bytes can be read or the connection has ended.
      @returns false when @p Limit has passed before */
  bool waitForBytes(std::chrono::milliseconds Limit);

  /** Closes the sending side, as a caller that sends no more requests. */
  void shutdownSend();

  /** Resets the connection. */
  void reset();

  /** Reads until @p Count bytes have come, the server closes the connection or
      @p Limit has passed, and sets isClosed(). @returns the bytes read. */
  std::string readBytes(std::size_t Count, std::chrono::milliseconds Limit);

  /** Reads until the server closes the connection or @p Limit has passed, and
      sets isClosed(). @returns the bytes read. */
  std::string readToEnd(std::chrono::milliseconds Limit);

  /** @returns true when readToEnd() saw the server close the connection. */
  bool isClosed() const { return Closed; }

private:
  asio::io_context Context{1};
  tcp::socket Socket{Context};
  bool Closed = false;
};

} // namespace sesamepaddle

#endif
