#ifndef SESAMEPADDLE_SRC_INGRESS_UPSTREAM_POOL_H
#define SESAMEPADDLE_SRC_INGRESS_UPSTREAM_POOL_H

#include "sesamepaddle/core/clock.h"
#include "sesamepaddle/net/asio.h"
#include "sesamepaddle/net/body_memory.h"
#include "sesamepaddle/net/deadline_queue.h"
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

/** Cancels the operation that another coroutine is waiting for. Not
    thread-safe. */
class cancel_source {
public:
  void cancel() {
    IsCancelled = true;
    if (OnCancel)
      OnCancel();
  }
  bool isCancelled() const { return IsCancelled; }

  /** Ends the operation as if its deadline had passed. */
  void expire() {
    IsExpired = true;
    if (OnCancel)
      OnCancel();
  }
  bool isExpired() const { return IsExpired; }

  /** Looks for a reason to cancel that the event loop has not delivered yet.
      @returns true when cancelled */
  bool checkCancelled() {
    if (!IsCancelled && LookForCancel)
      LookForCancel();
    return IsCancelled;
  }

  /** Called by cancel() and expire(); null while no operation is in progress.
   */
  std::function<void()> OnCancel;
  /** Called by checkCancelled(); calls cancel() when it finds a reason. */
  std::function<void()> LookForCancel;

private:
  bool IsCancelled = false;
  bool IsExpired = false;
};

/** A request as it is sent to an endpoint. */
struct upstream_request {
  std::string Head; ///< request line, header fields and empty line
  std::string_view Body;
  std::string_view RequestId;
  bool IsHead = false; ///< a HEAD request: the answer has no body
};

/** Outcome of an exchange. */
enum class exchange_end : std::uint8_t {
  Answered,
  NotConnected, ///< nothing was sent
  Withdrawn,    ///< nothing was sent: it was not wanted any more
  Lost,         ///< sent; the connection ended before the whole answer
  Malformed,    ///< sent; invalid response, or only for other requests
  TooLong,      ///< sent; the answer may have no end, and memory is short
  CrowdedOut,   ///< sent; other answers hold the memory for it
  TimedOut,     ///< sent; no answer before the deadline
  Cancelled,    ///< the caller disconnected; may have been sent
};

/** Outcome of an exchange, with the answer when there is one. */
struct exchange_result {
  exchange_end End = exchange_end::NotConnected;
  bool IsReused = false;     ///< an idle connection was used
  bool HasRequestId = false; ///< the answer has the id of its request
  http_reply Reply;
  /** Counts the memory of the reply's body while it exists; null without an
      answer. */
  std::shared_ptr<body_memory::holding> Memory;
  std::string Detail; ///< of a failure, for people
};

/** Limits on time and size of an exchange. */
struct exchange_limits {
  std::chrono::milliseconds Connect{0}; ///< timeout for opening a connection
  time_point Deadline;                  ///< for the whole answer
  std::size_t BodyBytes = 0;            ///< of the answer
  /** Asked when a new connection is open: what allowed the request may have
      changed meanwhile. Null: nothing can have. */
  std::function<bool()> IsStillWanted;
};

/** Keeps connections to endpoints and sends one request at a time over each.

    A connection is reused only after a complete answer that has the id of its
    request and is followed by no further bytes. Answers to other requests are
    dropped: an endpoint may send a duplicate answer late, and it would be taken
    for the answer to the next request. For the same reason an answer without an
    id is Malformed on a reused connection, and a connection carries no second
    request with the same id.
*/
class upstream_pool {
public:
  /** @param RequestIdField  header field of an answer with its request's id
      @param Deadlines  must outlive the pool
      @param Answers  memory for the bodies of answers */
  upstream_pool(std::string RequestIdField, deadline_queue &Deadlines,
                std::shared_ptr<body_memory> Answers);

  /** Sends @p Request to @p Address.
      @param Endpoint  identifies one run of the endpoint's process;
                       connections are not reused across restarts */
  awaitable<exchange_result>
  exchange(const std::string &Endpoint, const std::string &Address,
           std::shared_ptr<const upstream_request> Request,
           exchange_limits Limits, std::shared_ptr<cancel_source> Cancel);

  /** Opens a connection to @p Address and keeps it for a later request.
      @returns false when the endpoint refuses it or does not respond in time */
  awaitable<bool> connect(std::string Endpoint, std::string Address,
                          std::chrono::milliseconds Timeout);

  /** Closes connections whose idle time has expired. */
  void sweep(time_point Now);

  /** Closes the idle connections to @p Endpoint. */
  void discard(const std::string &Endpoint);

  std::size_t idleConnections() const;
  /** @returns the number of connections opened since the start. */
  std::size_t opened() const { return Opened; }

private:
  struct connection;
  using connection_pointer = std::shared_ptr<connection>;

  /** @returns a usable idle connection that has not carried a request with
      @p RequestId, removed from the pool, or null. */
  connection_pointer take(const std::string &Endpoint,
                          std::string_view RequestId, time_point Now);
  /** @returns a new connection, or null. */
  awaitable<connection_pointer> open(const std::string &Address,
                                     std::chrono::milliseconds Timeout,
                                     std::shared_ptr<cancel_source> Cancel);
  /** Writes @p Request, in the background if the socket does not take it
      whole. */
  static void write(const connection_pointer &Connection,
                    std::shared_ptr<const upstream_request> Request);
  /** Reads up to the answer to @p Request, dropping other answers. */
  awaitable<exchange_result>
  readAnswer(connection_pointer Connection,
             std::shared_ptr<const upstream_request> Request, bool IsReused,
             std::size_t BodyBytes);

  std::string RequestIdField;
  deadline_queue &Deadlines;
  std::shared_ptr<body_memory> Answers;
  std::map<std::string, std::vector<connection_pointer>, std::less<>> Idle;
  std::size_t Opened = 0;
};

} // namespace sesamepaddle

#endif
