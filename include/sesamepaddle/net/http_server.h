#ifndef SESAMEPADDLE_NET_HTTP_SERVER_H
#define SESAMEPADDLE_NET_HTTP_SERVER_H

#include "absl/status/statusor.h"
#include "sesamepaddle/net/asio.h"
#include "sesamepaddle/net/http_message.h"
#include "sesamepaddle/net/worker_pool.h"

#include <chrono>
#include <cstddef>
#include <functional>
#include <limits>
#include <memory>
#include <span>
#include <string_view>

namespace sesamepaddle {

/** Limits that a server applies to every connection. */
struct http_server_limits {
  std::size_t HeaderBytes = 16 * 1024;
  std::size_t BodyBytes = 1024 * 1024;
  std::chrono::milliseconds HeaderTimeout{10'000}; ///< from the first byte
  std::chrono::milliseconds BodyTimeout{30'000};   ///< from the header's end
  std::chrono::milliseconds IdleTimeout{60'000};   ///< until the first byte
  /** Open connections. For a further one, that is closed whose request has been
      awaited for longest. */
  std::size_t Connections = std::numeric_limits<std::size_t>::max();
};

/** A received request and the address of its caller. */
struct http_exchange {
  const http_request &Request;
  tcp::endpoint Caller;
};

/** Answers one request. Runs on a worker thread; the connection reads the next
    request only after the reply has been written. */
using http_handler =
    std::function<awaitable<http_reply>(const http_exchange &)>;

/** Accepts HTTP/1.1 connections and calls a handler for every request.

    A malformed, oversized or slow request is answered with the name of a
    net_failure and its connection is closed. Other connections are not
    affected.
*/
class http_server {
public:
  /** Binds @p Address ("127.0.0.1:8080"; with port 0 the kernel chooses one)
      and spreads connections over the workers of @p Pool, which must outlive
      the server.
      @returns the server, net_failure::InvalidAddress or ListenFailed. */
  static absl::StatusOr<std::unique_ptr<http_server>>
  start(worker_pool &Pool, std::string_view Address, http_handler Handler,
        http_server_limits Limits = {});

  ~http_server();
  http_server(const http_server &) = delete;
  http_server &operator=(const http_server &) = delete;

  /** Makes every later reply ask the caller to close the connection. New
      connections are still accepted, so that none waiting in the listen queue
      is reset. */
  void beginDrain();

  /** Starts draining and closes the listener and all connections without a
      running request. */
  void stopAccepting();

  /** @returns the bound address. */
  tcp::endpoint localEndpoint() const;

  /** @returns the number of requests whose reply is not yet written. */
  std::size_t requestsInFlight() const;

  /** @returns the number of connections that were closed for others. */
  std::size_t connectionsGivenUp() const;

  /** @returns the number of open connections. */
  std::size_t openConnections() const;

private:
  class implementation;
  explicit http_server(std::shared_ptr<implementation> Implementation);
  std::shared_ptr<implementation> Implementation;
};

/** Parses an IP address and a port, such as "127.0.0.1:80".
    @returns the endpoint, or net_failure::InvalidAddress. */
absl::StatusOr<tcp::endpoint> parseEndpoint(std::string_view Text);

/** @returns @p Endpoint as "address:port". @see parseEndpoint */
std::string formatEndpoint(const tcp::endpoint &Endpoint);

} // namespace sesamepaddle

#endif
