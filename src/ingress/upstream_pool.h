#ifndef SESAMEPADDLE_SRC_INGRESS_UPSTREAM_POOL_H
#define SESAMEPADDLE_SRC_INGRESS_UPSTREAM_POOL_H

#include "sesamepaddle/core/clock.h"
#include "sesamepaddle/net/asio.h"
#include "sesamepaddle/net/http_message.h"

#include <boost/beast/core/flat_buffer.hpp>

#include <cstddef>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace sesamepaddle {

/** Lets one side end what the other side waits for. */
class cancel_source {
public:
  void cancel() {
    IsCancelled = true;
    if (OnCancel)
      OnCancel();
  }
  bool isCancelled() const { return IsCancelled; }

  /** Called at once by cancel(); null while nothing is under way. */
  std::function<void()> OnCancel;

private:
  bool IsCancelled = false;
};

/** A request as it goes to an endpoint. */
struct upstream_request {
  std::string Head; ///< request line and fields, with the empty line
  std::string_view Body;
  std::string_view RequestId;
  bool IsHead = false; ///< its answer has no body
};

/** How an exchange ended. */
enum class exchange_end : std::uint8_t {
  Answered,
  NotConnected, ///< not a byte was sent
  Lost,         ///< sent, and the connection ended without a whole answer
  Malformed,    ///< sent, and what came back is no answer
  TimedOut,     ///< sent, and no answer in time
  Cancelled,    ///< the caller left; it may have been sent
};

struct exchange_result {
  exchange_end End = exchange_end::NotConnected;
  bool IsReused = false; ///< over a connection that had been used before
  http_reply Reply;
  std::string Detail;
};

/** How long the steps of an exchange may take. */
struct exchange_limits {
  std::chrono::milliseconds Connect{0};
  time_point Deadline; ///< for the whole answer
  std::size_t BodyBytes = 0;
};

/** Keeps connections to endpoints and sends one request at a time over each.

    A connection is kept only when its answer was whole, bore the id of its
    request and nothing followed it. Answers to other requests are dropped: an
    endpoint may send a second answer late, where the next one is due.
*/
class upstream_pool {
public:
  /** @param RequestIdField  the field that names the request of an answer */
  explicit upstream_pool(std::string RequestIdField);

  /** Sends @p Request to @p Address.
      @param Endpoint  names the life of the endpoint; connections of one life
                       are not used for another */
  awaitable<exchange_result>
  exchange(const std::string &Endpoint, const std::string &Address,
           std::shared_ptr<const upstream_request> Request,
           exchange_limits Limits, std::shared_ptr<cancel_source> Cancel);

  /** Opens a connection to @p Address and keeps it for a later request.
      @returns false when the endpoint refuses it or stays dark */
  awaitable<bool> connect(std::string Endpoint, std::string Address,
                          std::chrono::milliseconds Timeout);

  /** Closes connections that have been idle too long. */
  void sweep(time_point Now);

  /** Closes the idle connections to @p Endpoint. */
  void discard(const std::string &Endpoint);

  std::size_t idleConnections() const;
  std::size_t opened() const { return Opened; }

private:
  struct connection;
  using connection_pointer = std::shared_ptr<connection>;

  connection_pointer take(const std::string &Endpoint, time_point Now);
  awaitable<connection_pointer> open(const std::string &Address,
                                     std::chrono::milliseconds Timeout,
                                     std::shared_ptr<cancel_source> Cancel);
  awaitable<exchange_result>
  readAnswer(connection_pointer Connection,
             std::shared_ptr<const upstream_request> Request,
             std::size_t BodyBytes);

  std::string RequestIdField;
  std::map<std::string, std::vector<connection_pointer>, std::less<>> Idle;
  std::size_t Opened = 0;
};

} // namespace sesamepaddle

#endif
