#ifndef SESAMEPADDLE_SRC_INGRESS_CALLER_SESSION_H
#define SESAMEPADDLE_SRC_INGRESS_CALLER_SESSION_H

#include "ingress/ahead_request.h"
#include "ingress/loop_monitor.h"
#include "ingress/request_path.h"
#include "ingress/unfinished_answers.h"
#include "sesamepaddle/net/asio.h"
#include "sesamepaddle/net/body_memory.h"
#include "sesamepaddle/net/deadline_queue.h"
#include "sesamepaddle/telemetry/log.h"

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include <array>
#include <deque>
#include <memory>

namespace sesamepaddle {

/** State that all sessions of a VM share. */
struct session_context {
  fleet_state &Fleet;
  request_path &Path;
  deadline_queue &Deadlines;
  std::shared_ptr<loop_monitor> Monitor;
  std::shared_ptr<body_memory> Bodies; ///< of requests
  std::size_t Open = 0;                ///< sessions that exist
  unfinished_answers Unfinished{};
  ahead_counts Ahead{};
  component_log Log{"caller"};
  bool IsClosingIdle = false; ///< the VM is draining: closes idle connections
};

/** One connection of a caller: serves its requests and answers them in order,
    and cancels them as soon as the caller disconnects.

    A request that may be repeated starts while earlier ones run, within
    ahead_limits. Any other one waits until all before it are answered, and
    those behind it wait for its answer. An answer closes the connection
    only when no request behind it has started, so that none is passed on to an
    endpoint and dropped. */
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
  void wake();

  /** @returns true while a request has been read whose caller has not received
      all of its answer. */
  bool hasUnfinishedAnswer();
  /** Counts and logs an unfinished answer, if there is one. */
  void noteUnfinished(unfinished_cause Cause);

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

  /** A request that is being read. */
  struct incoming {
    explicit incoming(std::shared_ptr<body_memory> Memory)
        : Held(std::move(Memory)) {}
    parser Parser;
    body_memory::holding Held; ///< memory of the body
    time_point Arrival{};      ///< estimate, of the first byte
    bool IsHeaderChecked = false;
    bool IsBodyAwaited = false; ///< readRequest() waits for the body
    /** Why it must be refused in its turn, or Whole. */
    read_end End = read_end::Whole;
    /** It does not run ahead: it is read on when all before are answered. */
    bool MustWait = false;
  };

  /** How a caller takes the current answer. */
  struct progress {
    std::size_t Left = 0; ///< bytes, at the last check
    time_point StallAt{}; ///< when it counts as gone without progress
    time_point Until{};   ///< when it counts as gone in any case
  };

  /** Waits for bytes and appends them to the buffer.
      @returns false when none came before @p Until, or after wake() */
  awaitable<bool> receive(time_point Until);
  /** Appends the bytes that have arrived to the buffer, without waiting. */
  void readAvailable();
  /** Watches for the caller's disconnect, and for requests that it sends ahead,
      while a request is in progress. */
  void watch();
  void stopWatching();
  /** Cancels all requests of the connection. */
  void cancelAll();

  /** Starts the requests that have arrived and may run ahead. */
  void readAhead();
  /** Calls readAhead() from the event loop. */
  void postReadAhead();
  bool mayReadAhead() const;
  /** @returns true while no limit keeps requests from running ahead. */
  bool hasRoomAhead() const;
  /** @returns hasRoomAhead(), and counts when it becomes false. */
  bool takeRoomAhead();
  /** Parses Next from the buffer. @returns true when it is complete and may run
      ahead */
  bool parseAhead();
  /** @returns true when a configuration allows to repeat the request. */
  bool mayRepeat(const incoming &Incoming) const;
  /** Starts Next. */
  void startAhead();
  awaitable<void> runAhead(std::shared_ptr<ahead_request> Request);
  /** Waits for the first request of Ahead and answers it.
      @returns true when the connection may be kept */
  awaitable<bool> answerAhead();

  /** Begins to read a request into Next. */
  void beginRequest();
  /** Reads Next. @returns why there is none, or why it must be refused, or
      Whole */
  awaitable<read_end> readRequest();
  /** @returns Whole when a request has begun, else Closed or Idle. */
  awaitable<read_end> waitForFirstByte();
  /** Drops empty lines in front of a request. */
  void dropEmptyLines();
  /** Parses what is in the buffer. @returns why the request must be refused, or
      Whole, also when more bytes are needed */
  read_end parseBuffer(incoming &Incoming, bool &HasProgress);
  /** Does parseBuffer(), and checks the header when it is complete. */
  read_end parseAndCheck(incoming &Incoming, bool &HasProgress);
  /** @returns the request that was read, to be passed on. */
  ingress_request makeRequest(incoming &Incoming,
                              const std::shared_ptr<cancel_source> &Cancel);
  /** @returns the id in the header of @p Message. */
  std::string idOf(const http_request &Message) const;
  /** Answers Next. @returns true when the connection may be kept */
  awaitable<bool> serveOne();
  /** Ends the time in which the first request is in progress.
      @returns false when the caller has left */
  bool endProgress();
  /** Writes the answer to the first request.
      @returns true when the connection may be kept */
  awaitable<bool> writeAnswer(const ingress_answer &Answer, bool WantsKeepAlive,
                              bool IsHead);
  /** Sends the rest of an answer. @returns why it ended early, if it did */
  awaitable<boost::system::error_code>
  writeRest(std::array<boost::asio::const_buffer, 2> Buffers);
  /** Notes that the connection ended with @p Error. */
  void noteEnd(const boost::system::error_code &Error);
  /** @returns why an answer is not finished after a failed read or write. */
  unfinished_cause causeOfEnd() const;
  /** @returns bytes of the answer that the caller has not acknowledged. */
  std::size_t unacknowledgedBytes();
  /** @returns true when the whole reply was written in time. */
  awaitable<bool> write(const http_reply &Reply, bool KeepAlive, bool IsHead);
  /** Sends the error reply for @p End, if it has one.
      @returns false: the connection is not kept */
  awaitable<bool> refuse(read_end End);
  /** Ends the connection so that the caller receives all of its answer: sends
      no more, and waits until it has been received. */
  awaitable<void> finish();
  /** Reads and drops what the caller sends, until it closes its sending side or
      for LingerTimeout after it has received everything. */
  awaitable<void> dropInput();
  /** Ends the current operation of a caller that takes too long for its answer,
      until StallTimer is withdrawn. */
  void watchProgress();
  void checkProgress();
  /** Ends the current operation of a caller that does not take its answer. */
  void noteStall();
  /** Rejects ambiguous lengths, and bodies for which no memory is left. */
  read_end checkFraming(const incoming &Incoming) const;
  /** @returns the current configuration's limits, or the defaults. */
  caller_limits limits() const;

  // A request without a body fits. An idle connection holds no more than this.
  static constexpr std::size_t HeadBytes = 1'024;

  tcp::socket Socket;
  std::shared_ptr<session_context> Context;
  std::array<char, HeadBytes> ReadSpace{}; ///< target of receive()
  boost::beast::flat_buffer Buffer;
  /** Of the first request without an answer, while it is in progress. */
  std::shared_ptr<cancel_source> Cancel;
  std::unique_ptr<incoming> Next;    ///< being read; null: none has begun
  const incoming *Current = nullptr; ///< that serveOne() answers, or null
  std::deque<std::shared_ptr<ahead_request>> Ahead; ///< behind the first
  time_point OpenedAt = boot_clock::now();
  std::string RequestId; ///< of the latest request that was read
  std::size_t Unwritten =
      0; ///< bytes of the answer, not in the socket's buffer
  progress Progress;
  /** Of the answer that is being written. */
  std::shared_ptr<body_memory::holding> AnswerMemory;
  deadline_queue::registration StallTimer; ///< of checkProgress()
  unsigned WatchNumber = 0; ///< tells the current watch from ended ones
  bool IsWatching = false;
  bool IsReadAheadPosted = false;
  bool IsAheadPaused = false; ///< the latest takeRoomAhead() was false
  bool IsLastRead = false;    ///< the caller wants no request after the latest
  bool IsIdle = false;        ///< waits for the first byte of a request
  bool IsNew = true;          ///< no request has begun yet
  bool IsClosed = false;
  bool IsSendClosed = false; ///< the VM sends no more
  bool IsReset = false;      ///< the caller reset the connection
  bool IsStalled = false;    ///< the caller took too long for its answer
  bool IsGivenUp = false;    ///< and others needed the memory of the answer
  bool IsServing = false;    ///< a request has been read and is not answered
  bool IsUnfinishedNoted = false; ///< noteUnfinished() has counted the answer
};

} // namespace sesamepaddle

#endif
