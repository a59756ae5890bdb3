#ifndef SESAMEPADDLE_NET_HTTP_CLIENT_H
#define SESAMEPADDLE_NET_HTTP_CLIENT_H

#include "absl/status/statusor.h"
#include "sesamepaddle/net/asio.h"
#include "sesamepaddle/net/http_message.h"

#include <chrono>
#include <cstddef>
#include <memory>

namespace sesamepaddle {

/** Whether a request may go over a connection that has been used before. */
enum class connection_choice {
  PooledOrFresh, ///< a connection from the pool, or else a fresh one
  Fresh,         ///< for requests that must not be lost to a silent connection
  /** From the pool; when that connection fails or stays silent, the request is
      sent once more over a fresh one. For idempotent requests alone. */
  PooledThenFresh,
};

/** Limits of one call. */
struct http_call_options {
  std::chrono::milliseconds Timeout{5'000}; ///< connect, send and whole answer
  std::size_t BodyBytes = 16 * 1024 * 1024; ///< longest answer that is taken
  connection_choice Connection = connection_choice::PooledOrFresh;
  std::chrono::milliseconds ConnectTimeout{1'000};
  /** How long PooledThenFresh waits for an answer on a used connection. */
  std::chrono::milliseconds ReuseTimeout{500};
};

/** Sends HTTP/1.1 requests over pooled connections.

    Belongs to one worker: it is used from coroutines of that worker alone and
    takes no lock. A connection whose call failed or timed out is closed, so
    that no late answer can meet another request.
*/
class http_client {
public:
  http_client();
  ~http_client();
  http_client(const http_client &) = delete;
  http_client &operator=(const http_client &) = delete;

  /** Sends @p Request to @p Server and waits for the whole answer.
      @returns the answer or a net_failure: ConnectFailed when not a byte was
      sent, otherwise SendFailed, ReceiveFailed, Timeout, MalformedMessage or
      BodyTooLarge. */
  awaitable<absl::StatusOr<http_reply>> call(tcp::endpoint Server,
                                             const http_request &Request,
                                             http_call_options Options = {});

  /** @returns how many idle connections are kept. */
  std::size_t idleConnections() const;

  /** @returns how many used connections failed or stayed silent while a fresh
      one to the same server answered. */
  std::size_t unresponsiveConnections() const;

private:
  class connection_pool;
  struct attempt;
  std::shared_ptr<connection_pool> Pool;
};

} // namespace sesamepaddle

#endif
