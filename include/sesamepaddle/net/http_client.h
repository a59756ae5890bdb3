#ifndef SESAMEPADDLE_NET_HTTP_CLIENT_H
#define SESAMEPADDLE_NET_HTTP_CLIENT_H

#include "absl/status/statusor.h"
#include "sesamepaddle/net/asio.h"
#include "sesamepaddle/net/http_message.h"

#include <chrono>
#include <cstddef>
#include <functional>
#include <memory>

namespace sesamepaddle {

/** Whether a request may be sent over a pooled connection. */
enum class connection_choice {
  PooledOrFresh, ///< a pooled connection if there is one, else a new one
  Fresh,         ///< always a new connection; for requests that must not be
                 ///< lost because a pooled connection no longer responds
  /** As PooledOrFresh; if the pooled connection fails or does not respond, the
      request is sent again over a new one. For idempotent requests only. */
  PooledThenFresh,
};

/** Limits and connection choice for one call. */
struct http_call_options {
  /** For the whole call, from connecting to the end of the reply; to the end of
      its header if StallTimeout is set. */
  std::chrono::milliseconds Timeout{5'000};
  /** If not 0, a body may take any time up to MaxBodyTime, as long as some of
      it arrives within each span of this length. For replies that may be long
      on a slow link: to give one up and ask for it again takes even longer. */
  std::chrono::milliseconds StallTimeout{0};
  std::chrono::milliseconds MaxBodyTime{60'000};
  std::size_t BodyBytes = 16 * 1024 * 1024; ///< longest reply body accepted
  connection_choice Connection = connection_choice::PooledOrFresh;
  std::chrono::milliseconds ConnectTimeout{1'000}; ///< within Timeout
  std::function<void()> OnHeader; ///< called when the reply's header has come
  /** How long PooledThenFresh waits for the reply header on a pooled
      connection. Servers that recently replied slowly get more time; the limit
      is half of Timeout. */
  std::chrono::milliseconds ReuseTimeout{500};
};

/** Sends HTTP/1.1 requests over pooled connections.

    Not thread-safe: only coroutines of one worker may use it. A connection
    whose call failed or timed out is closed, so that a late reply is never
    taken for the reply to another request.
*/
class http_client {
public:
  /** @param MaxArrivingBytes  most bytes that the bodies of all replies that
     are arriving may take together */
  explicit http_client(std::size_t MaxArrivingBytes = 32 * 1024 * 1024);
  ~http_client();
  http_client(const http_client &) = delete;
  http_client &operator=(const http_client &) = delete;

  /** Sends @p Request to @p Server and waits for the whole reply.
      @returns the reply or a net_failure: ConnectFailed when no byte was sent,
      otherwise SendFailed, ReceiveFailed, Timeout, MalformedMessage,
      HeaderTooLarge or BodyTooLarge. */
  awaitable<absl::StatusOr<http_reply>> call(tcp::endpoint Server,
                                             const http_request &Request,
                                             http_call_options Options = {});

  /** @returns the number of idle connections in the pool. */
  std::size_t idleConnections() const;

  /** @returns how many times a pooled connection failed or did not respond
      while a new one to the same server got a reply. */
  std::size_t unresponsiveConnections() const;

private:
  class connection_pool;
  struct attempt;
  std::shared_ptr<connection_pool> Pool;
};

} // namespace sesamepaddle

#endif
