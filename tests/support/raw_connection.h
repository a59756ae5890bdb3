#ifndef SESAMEPADDLE_TESTS_SUPPORT_RAW_CONNECTION_H
#define SESAMEPADDLE_TESTS_SUPPORT_RAW_CONNECTION_H

#include "sesamepaddle/net/asio.h"

#include <chrono>
#include <string>
#include <string_view>

namespace sesamepaddle {

/** A TCP connection over which a test sends what no client library would. */
class raw_connection {
public:
  explicit raw_connection(const tcp::endpoint &Server);

  /** Sends bytes as they are; an end that is closed already is no error. */
  void send(std::string_view Bytes);

  /** Reads until the other end closes or @p Limit has passed.
      @returns what came; sets isClosed(). */
  std::string readToEnd(std::chrono::milliseconds Limit);

  /** @returns true when the other end closed the connection. */
  bool isClosed() const { return Closed; }

private:
  asio::io_context Context{1};
  tcp::socket Socket{Context};
  bool Closed = false;
};

} // namespace sesamepaddle

#endif
