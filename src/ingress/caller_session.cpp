#include "ingress/caller_session.h"

#include "sesamepaddle/core/text.h"
#include "sesamepaddle/net/send_queue.h"
#include "sesamepaddle/net/supervised_loop.h"

#include "absl/strings/str_cat.h"

#include <boost/asio/write.hpp>
#include <boost/beast/core/string.hpp>
#include <boost/beast/http/error.hpp>

#include <algorithm>
#include <array>

namespace sesamepaddle {

namespace beast = boost::beast;
namespace http = boost::beast::http;

namespace {

// Size of one read beyond the first, of a request with a body.
constexpr std::size_t BodyReadBytes = 32 * 1024;
// Bytes that are read ahead while a request is in progress, and bound on bytes
// that the parser has not taken.
constexpr std::size_t MaxBuffered = 64 * 1024;
// Time to receive a whole body: 64 MB over a link of 20 Mbit/s.
constexpr std::chrono::milliseconds BodyTimeout{30'000};
// A caller that takes no byte of its answer for this time counts as
// disconnected.
constexpr std::chrono::milliseconds StallTimeout{10'000};
// How often that is checked.
constexpr std::chrono::milliseconds ProgressInterval{1'000};
// The same, when it has not taken all of it by then: 64 MB over a link of 10
// Mbit/s.
constexpr std::chrono::milliseconds MaxSendTime{60'000};
// A caller sends its request within this time after it has opened a connection.
constexpr std::chrono::milliseconds FirstRequestTime{500};
// A session keeps reading for this long after its caller has received the last
// answer: closing a socket with unread bytes resets the connection, and the
// caller could lose the answer.
constexpr std::chrono::milliseconds LingerTimeout{300};
// Bound on what it drops in that time: a link of 200 Mbit/s.
constexpr std::size_t MaxLingerBytes = 8U * 1024 * 1024;
// Pause between two looks at the send queue of a caller that sends no more.
constexpr std::chrono::milliseconds ReceiptInterval{50};

/** Removes the first @p Count bytes of @p Buffers. */
void consume(std::array<asio::const_buffer, 2> &Buffers, std::size_t Count) {
  for (auto &Part : Buffers) {
    const auto Done = std::min(Count, Part.size());
    Part += Done;
    Count -= Done;
  }
}

std::string_view reasonPhrase(unsigned Status) {
  const auto Reason = http::obsolete_reason(static_cast<http::status>(Status));
  return {Reason.data(), Reason.size()};
}

} // namespace

caller_session::caller_session(tcp::socket Accepted,
                               std::shared_ptr<session_context> Shared)
    : Socket(std::move(Accepted)), Context(std::move(Shared)) {
  ++Context->Open;
}

caller_session::~caller_session() { --Context->Open; }

caller_limits caller_session::limits() const {
  const auto Configuration = Context->Fleet.configuration();
  return Configuration ? Configuration->limits() : caller_limits();
}

awaitable<void> caller_session::run() {
  const auto Self = shared_from_this();
  auto End = read_end::Whole;
  for (bool KeepAlive = true; KeepAlive;) {
    if (!Ahead.empty()) {
      KeepAlive = co_await answerAhead();
      continue;
    }
    End = co_await readRequest();
    if (End == read_end::Whole)
      KeepAlive = co_await serveOne();
    else
      KeepAlive = co_await refuse(End);
  }
  const bool IsUnanswered = IsServing;
  if (IsUnanswered)
    noteUnfinished(causeOfEnd());
  // There are such only when the caller has left or takes no answers.
  cancelAll();
  Ahead.clear();
  // An idle caller that has received everything has nothing to lose.
  if (!IsUnanswered &&
      (hasUnfinishedAnswer() || !(IsClosed || End == read_end::Idle)))
    co_await finish();
  boost::system::error_code Ignored;
  Socket.close(Ignored);
}

awaitable<void> caller_session::finish() {
  boost::system::error_code Ignored;
  IsSendClosed = true;
  Socket.shutdown(tcp::socket::shutdown_send, Ignored);
  if (hasUnfinishedAnswer())
    watchProgress();
  co_await dropInput();
  // The caller sends no more, and may still be receiving.
  asio::steady_timer Pause(Socket.get_executor());
  while (hasUnfinishedAnswer() && !IsReset && !IsStalled) {
    Pause.expires_after(ReceiptInterval);
    co_await Pause.async_wait(asio::use_awaitable);
    boost::system::error_code Error;
    Socket.read_some(asio::buffer(ReadSpace), Error);
    noteEnd(Error);
  }
  StallTimer = {};
  noteUnfinished(causeOfEnd());
}

awaitable<void> caller_session::dropInput() {
  std::size_t Dropped = 0;
  auto Until = boot_clock::now() + LingerTimeout;
  while (!IsClosed && !IsStalled) {
    co_await receive(Until);
    Dropped += Buffer.size();
    Buffer.consume(Buffer.size());
    if (Dropped < MaxLingerBytes && boot_clock::now() < Until)
      continue;
    if (!hasUnfinishedAnswer())
      co_return;
    Until = boot_clock::now() + LingerTimeout;
  }
}

void caller_session::wake() {
  boost::system::error_code Ignored;
  if (IsIdle)
    Socket.cancel(Ignored);
}

awaitable<bool> caller_session::receive(time_point Until) {
  const auto Timer = Context->Deadlines.add(Until, [this] {
    boost::system::error_code Ignored;
    Socket.cancel(Ignored);
  });
  boost::system::error_code Error;
  const std::size_t Bytes = co_await Socket.async_read_some(
      asio::buffer(ReadSpace),
      asio::redirect_error(asio::use_awaitable, Error));
  if (Error == asio::error::operation_aborted)
    co_return false;
  if (Error) {
    noteEnd(Error);
    co_return true;
  }
  Buffer.commit(asio::buffer_copy(Buffer.prepare(Bytes),
                                  asio::buffer(ReadSpace.data(), Bytes)));
  if (Bytes == ReadSpace.size())
    readAvailable();
  co_return true;
}

void caller_session::readAvailable() {
  boost::system::error_code Error;
  while (!IsClosed && Buffer.size() < MaxBuffered) {
    const std::size_t Bytes =
        Socket.read_some(Buffer.prepare(BodyReadBytes), Error);
    Buffer.commit(Bytes);
    if (Error == asio::error::would_block || Error == asio::error::try_again)
      return;
    if (Error)
      noteEnd(Error);
  }
}

void caller_session::noteEnd(const boost::system::error_code &Error) {
  IsClosed = true;
  IsReset = IsReset || Error == asio::error::connection_reset;
}

unfinished_cause caller_session::causeOfEnd() const {
  if (IsGivenUp)
    return unfinished_cause::MemoryNeeded;
  if (IsStalled)
    return unfinished_cause::CallerStalled;
  return IsReset ? unfinished_cause::CallerReset
                 : unfinished_cause::CallerClosed;
}

std::size_t caller_session::unacknowledgedBytes() {
  // A FIN counts in the queue until it is acknowledged.
  const auto Queued = sendQueueBytes(Socket);
  return Unwritten + Queued - (IsSendClosed && Queued > 0 ? 1 : 0);
}

bool caller_session::hasUnfinishedAnswer() {
  return !IsUnfinishedNoted &&
         (IsServing || !Ahead.empty() || unacknowledgedBytes() > 0);
}

void caller_session::noteUnfinished(unfinished_cause Cause) {
  if (!hasUnfinishedAnswer())
    return;
  IsUnfinishedNoted = true;
  for (std::size_t Count = 0; Count < Ahead.size() + 1; ++Count)
    Context->Unfinished.add(Cause);
  // The log of requests names callers that left before their answer.
  const bool HasLeft = Cause == unfinished_cause::CallerClosed ||
                       Cause == unfinished_cause::CallerReset;
  if (IsServing && HasLeft)
    return;
  Context->Log.warn(absl::StrCat(
      "answer unfinished cause=", nameOf(Cause), " request=", RequestId,
      " is_written=", !IsServing, " bytes_left=", unacknowledgedBytes(),
      " behind=", Ahead.size()));
}

// Only a read shows that the caller has disconnected.
void caller_session::watch() {
  if (IsClosed || Buffer.size() >= MaxBuffered)
    return;
  IsWatching = true;
  Socket.async_wait(tcp::socket::wait_read,
                    [Self = shared_from_this(), Number = ++WatchNumber](
                        const boost::system::error_code &Error) {
                      if (Error || Number != Self->WatchNumber)
                        return;
                      Self->IsWatching = false;
                      Self->readAvailable();
                      if (Self->IsClosed)
                        Self->cancelAll();
                      else if (Self->Cancel) {
                        Self->readAhead();
                        Self->watch();
                      }
                    });
}

void caller_session::cancelAll() {
  if (Cancel)
    Cancel->cancel();
  for (const auto &Request : Ahead)
    Request->Cancel->cancel();
}

void caller_session::stopWatching() {
  if (!std::exchange(IsWatching, false))
    return;
  ++WatchNumber;
  boost::system::error_code Ignored;
  Socket.cancel(Ignored);
}

// Some callers send an empty line behind a body, which belongs to no request
// (RFC 9112, 2.2).
void caller_session::dropEmptyLines() {
  const auto Bytes = Buffer.cdata();
  const std::string_view Text(static_cast<const char *>(Bytes.data()),
                              Bytes.size());
  Buffer.consume(std::min(Text.find_first_not_of("\r\n"), Text.size()));
}

awaitable<caller_session::read_end> caller_session::waitForFirstByte() {
  auto Until = boot_clock::now() + limits().IdleTimeout;
  // A body may have grown it to tens of kilobytes.
  if (Buffer.size() == 0 && Buffer.capacity() > HeadBytes)
    Buffer.shrink_to_fit();
  dropEmptyLines();
  while (Buffer.size() == 0) {
    if (IsClosed)
      co_return read_end::Closed;
    if (Context->IsClosingIdle && !IsNew)
      break;
    // The caller is about to send a request, which is refused or served.
    if (Context->IsClosingIdle)
      Until = std::min(Until, OpenedAt + FirstRequestTime);
    IsIdle = true;
    const bool HasBytes = co_await receive(Until);
    IsIdle = false;
    dropEmptyLines();
    if (!HasBytes && boot_clock::now() >= Until)
      break;
  }
  // A request may have come since the connection was last looked at.
  if (Buffer.size() == 0)
    readAvailable();
  dropEmptyLines();
  if (Buffer.size() == 0)
    co_return IsClosed ? read_end::Closed : read_end::Idle;
  IsNew = false;
  co_return read_end::Whole;
}

caller_session::read_end
caller_session::checkFraming(const incoming &Incoming) const {
  const auto &Parser = Incoming.Parser;
  const auto &Message = Parser.get();
  // The parser assumes no body for a transfer coding other than chunked, and
  // would parse the body as the next request (request smuggling).
  const bool IsCoded = Message.count(http::field::transfer_encoding) > 0;
  if (IsCoded && (!Parser.chunked() || Message.version() < 11 ||
                  Message.count(http::field::content_length) > 0))
    return read_end::Malformed;
  if (Message.count(http::field::host) != 1)
    return read_end::Malformed;
  // A body that does not fit is refused before it is sent. Memory is taken only
  // as the body arrives, so that slow senders hold none of others.
  const auto Length = Parser.content_length();
  if (Length && *Length > Context->Bodies->available() + Incoming.Held.bytes())
    return read_end::Overloaded;
  return read_end::Whole;
}

caller_session::read_end caller_session::parseBuffer(incoming &Incoming,
                                                     bool &HasProgress) {
  auto &Parser = Incoming.Parser;
  auto &Body = Parser.get().body();
  beast::error_code Error;
  // The parser itself reserves memory for a body of known length.
  const bool MayGrow = Parser.is_header_done() && Parser.chunked();
  if (MayGrow && !Incoming.Held.reserve(Body, Buffer.size()))
    return read_end::Overloaded;
  const std::size_t Used = Parser.put(Buffer.data(), Error);
  Buffer.consume(Used);
  HasProgress = Used > 0;
  if (Error == http::error::header_limit)
    return read_end::HeaderTooLarge;
  if (Error == http::error::body_limit)
    return read_end::BodyTooLarge;
  if (Error && Error != http::error::need_more)
    return read_end::Malformed;
  if (!Incoming.Held.resize(Body.size()))
    return read_end::Overloaded;
  // An endless line, for example of a chunk's extension.
  if (!HasProgress && Buffer.size() >= MaxBuffered)
    return read_end::Malformed;
  return read_end::Whole;
}

caller_session::read_end caller_session::parseAndCheck(incoming &Incoming,
                                                       bool &HasProgress) {
  const auto End = parseBuffer(Incoming, HasProgress);
  if (End != read_end::Whole || !Incoming.Parser.is_header_done() ||
      std::exchange(Incoming.IsHeaderChecked, true))
    return End;
  return checkFraming(Incoming);
}

void caller_session::beginRequest() {
  Next = std::make_unique<incoming>(Context->Bodies);
  const auto Now = boot_clock::now();
  Next->Arrival = Now - Context->Monitor->noteRequest(Now);
  const auto Limits = limits();
  auto &Parser = Next->Parser;
  Parser.header_limit(static_cast<std::uint32_t>(Limits.HeaderBytes));
  Parser.body_limit(Limits.BodyBytes);
  Parser.eager(true);
}

awaitable<caller_session::read_end> caller_session::readRequest() {
  if (!Next) {
    const auto Idle = co_await waitForFirstByte();
    if (Idle != read_end::Whole)
      co_return Idle;
    beginRequest();
  }
  auto &Incoming = *Next;
  auto &Parser = Incoming.Parser;
  if (Incoming.End != read_end::Whole)
    co_return Incoming.End;
  auto Until = boot_clock::now() + limits().HeaderTimeout;
  while (!Parser.is_done()) {
    bool HasProgress = false;
    if (Buffer.size() > 0) {
      const auto End = parseAndCheck(Incoming, HasProgress);
      if (End != read_end::Whole)
        co_return End;
    }
    if (Parser.is_header_done() &&
        !std::exchange(Incoming.IsBodyAwaited, true)) {
      Until = boot_clock::now() + BodyTimeout;
      if (!Parser.is_done() &&
          beast::iequals(Parser.get()[http::field::expect], "100-continue")) {
        static constexpr std::string_view Continue =
            "HTTP/1.1 100 Continue\r\n\r\n";
        boost::system::error_code Ignored;
        co_await asio::async_write(
            Socket, asio::buffer(Continue),
            asio::redirect_error(asio::use_awaitable, Ignored));
      }
    }
    if (HasProgress || Parser.is_done())
      continue;
    if (IsClosed)
      co_return read_end::Closed;
    if (!co_await receive(Until) && boot_clock::now() >= Until)
      co_return read_end::Slow;
  }
  co_return read_end::Whole;
}

bool caller_session::hasRoomAhead() const {
  const auto &Limits = Context->Fleet.options().Ahead;
  const auto &Vm = Context->Ahead;
  std::size_t Bytes = 0;
  for (const auto &Request : Ahead)
    Bytes += Request->bytes();
  return Ahead.size() < Limits.ConnectionRequests &&
         Bytes < Limits.ConnectionBytes && Vm.Requests < Limits.VmRequests &&
         Vm.Bytes < Limits.VmBytes;
}

bool caller_session::mayReadAhead() const {
  // During a stop the caller has other VMs.
  return Cancel != nullptr && !IsClosed && !IsLastRead &&
         !Context->Fleet.isStopping() && !(Next && Next->MustWait);
}

// Nothing runs beside a request that may not be repeated: its caller may expect
// to see its effect in what it asks next (RFC 9112, 9.3.2).
void caller_session::readAhead() {
  if (Buffer.size() == 0 || (Current != nullptr && !mayRepeat(*Current)))
    return;
  while (mayReadAhead()) {
    if (!Next) {
      dropEmptyLines();
      if (Buffer.size() == 0)
        return;
      if (!takeRoomAhead())
        return;
      beginRequest();
    }
    // Others may have taken the room while it was read.
    if (!parseAhead() || !takeRoomAhead())
      return;
    startAhead();
  }
}

bool caller_session::takeRoomAhead() {
  const bool HasRoom = hasRoomAhead();
  if (!HasRoom && !IsAheadPaused)
    ++Context->Ahead.Paused;
  IsAheadPaused = !HasRoom;
  return HasRoom;
}

void caller_session::postReadAhead() {
  if (std::exchange(IsReadAheadPosted, true))
    return;
  asio::post(Socket.get_executor(), [Self = shared_from_this()] {
    Self->IsReadAheadPosted = false;
    Self->readAhead();
  });
}

bool caller_session::parseAhead() {
  auto &Incoming = *Next;
  while (!Incoming.Parser.is_done()) {
    bool HasProgress = false;
    if (Buffer.size() > 0)
      Incoming.End = parseAndCheck(Incoming, HasProgress);
    Incoming.MustWait =
        Incoming.End != read_end::Whole ||
        (Incoming.Parser.is_header_done() && !mayRepeat(Incoming));
    if (Incoming.MustWait || !HasProgress)
      return false;
  }
  return true;
}

bool caller_session::mayRepeat(const incoming &Incoming) const {
  const auto Configuration = Context->Fleet.configuration();
  const auto &Message = Incoming.Parser.get();
  const std::string_view Host(Message[http::field::host].data(),
                              Message[http::field::host].size());
  const std::string_view Target(Message.target().data(),
                                Message.target().size());
  const auto *Route = Configuration
                          ? Configuration->findRoute(Host, targetPath(Target))
                          : nullptr;
  return Route != nullptr && Route->Kind == request_kind::Idempotent;
}

void caller_session::startAhead() {
  const std::shared_ptr<incoming> Incoming = std::move(Next);
  const auto Request = std::make_shared<ahead_request>(
      Context->Ahead, Incoming->Parser.get().body().size());
  Request->Request = makeRequest(*Incoming, Request->Cancel);
  Request->BodyMemory = Incoming;
  Request->Request.IsBehind = [Request = Request.get()] {
    return !Request->isFirst();
  };
  Request->RequestId = idOf(Request->Request.Message);
  Request->IsHead = Request->Request.Message.Method == "HEAD";
  Request->WantsKeepAlive = !IsLastRead;
  Ahead.push_back(Request);
  Context->Ahead.MaxOnConnection =
      std::max(Context->Ahead.MaxOnConnection, Ahead.size() + 1);
  asio::co_spawn(
      Socket.get_executor(), runAhead(Request),
      [Self = shared_from_this(), Request](const std::exception_ptr &Error) {
        if (!Error)
          return;
        Self->Context->Log.error("request failed error=" +
                                 describeException(Error));
        Request->setAnswer(
            {makeJsonReply(502, "{\"error\":\"internal\"}\n"), nullptr});
      });
}

awaitable<void>
caller_session::runAhead(std::shared_ptr<ahead_request> Request) {
  auto Answer = co_await Context->Path.run(std::move(Request->Request));
  Request->Cancel->LookForCancel = nullptr;
  Request->BodyMemory = nullptr;
  Request->setAnswer(std::move(Answer));
}

awaitable<bool> caller_session::answerAhead() {
  const auto Request = Ahead.front();
  Ahead.pop_front();
  Request->becomeFirst();
  Cancel = Request->Cancel;
  RequestId = Request->RequestId;
  IsServing = true;
  if (IsClosed)
    cancelAll();
  readAhead();
  if (!Request->hasAnswer()) {
    if (!IsWatching)
      watch();
    co_await Request->wait();
  }
  if (!endProgress())
    co_return false;
  co_return co_await writeAnswer(Request->answer(), Request->WantsKeepAlive,
                                 Request->IsHead);
}

ingress_request
caller_session::makeRequest(incoming &Incoming,
                            const std::shared_ptr<cancel_source> &OfRequest) {
  auto &Message = Incoming.Parser.get();
  ingress_request Request;
  Request.Arrival = Incoming.Arrival;
  Request.Message.Method = std::string(Message.method_string());
  Request.Message.Target = std::string(Message.target());
  for (const auto &Field : Message)
    Request.Message.Headers.push_back(
        {std::string(Field.name_string()), std::string(Field.value())});
  Request.Message.Body = std::move(Message.body());
  OfRequest->LookForCancel = [this] {
    readAvailable();
    if (IsClosed)
      cancelAll();
  };
  if (IsClosed)
    OfRequest->cancel();
  Request.Cancel = OfRequest;
  Request.OnWait = [this] {
    if (Cancel && !IsWatching)
      watch();
    if (Buffer.size() > 0 && mayReadAhead())
      postReadAhead();
  };
  IsLastRead = !Message.keep_alive();
  return Request;
}

std::string caller_session::idOf(const http_request &Message) const {
  return std::string(
      findHeader(Message.Headers, Context->Fleet.options().Fields.RequestId));
}

awaitable<bool> caller_session::serveOne() {
  const auto Incoming = std::move(Next);
  Cancel = std::make_shared<cancel_source>();
  IsServing = true;
  auto Request = makeRequest(*Incoming, Cancel);
  Current = Incoming.get();
  RequestId = idOf(Request.Message);
  const bool IsHead = Request.Message.Method == "HEAD";
  const bool WantsKeepAlive = !IsLastRead;
  const auto Answer = co_await Context->Path.run(std::move(Request));
  Current = nullptr;
  if (!endProgress())
    co_return false;
  co_return co_await writeAnswer(Answer, WantsKeepAlive, IsHead);
}

bool caller_session::endProgress() {
  stopWatching();
  Cancel->LookForCancel = nullptr;
  return !std::exchange(Cancel, nullptr)->isCancelled();
}

// What runs behind is answered before the connection closes.
awaitable<bool> caller_session::writeAnswer(const ingress_answer &Answer,
                                            bool WantsKeepAlive, bool IsHead) {
  const bool KeepAlive =
      WantsKeepAlive && (!Context->Fleet.isStopping() || !Ahead.empty());
  AnswerMemory = Answer.Memory;
  const bool IsWritten = co_await write(Answer.Reply, KeepAlive, IsHead);
  AnswerMemory = nullptr;
  co_return IsWritten &&KeepAlive;
}

awaitable<bool> caller_session::write(const http_reply &Reply, bool KeepAlive,
                                      bool IsHead) {
  std::string Head =
      absl::StrCat("HTTP/1.1 ", Reply.Status, " ",
                   std::string(reasonPhrase(Reply.Status)), "\r\n");
  appendForwardedHeaders(Head, Reply.Headers, {});
  const bool HasBody = Reply.Status != 204 && Reply.Status != 304;
  if (HasBody && !IsHead)
    absl::StrAppend(&Head, "Content-Length: ", Reply.Body.size(), "\r\n");
  if (!KeepAlive)
    Head += "Connection: close\r\n";
  Head += "\r\n";
  std::array<asio::const_buffer, 2> Buffers = {asio::buffer(Head),
                                               asio::buffer(Reply.Body)};
  if (!HasBody || IsHead)
    Buffers[1] = {};
  IsServing = false;
  Unwritten = asio::buffer_size(Buffers);
  // Most answers fit the socket's buffer.
  boost::system::error_code Error;
  const std::size_t Written = Socket.write_some(Buffers, Error);
  Unwritten -= Written;
  if (Error == asio::error::would_block || Error == asio::error::try_again)
    Error = {};
  if (Unwritten > 0 && !Error) {
    consume(Buffers, Written);
    Error = co_await writeRest(Buffers);
  }
  if (!Error)
    co_return true;
  noteEnd(Error);
  noteUnfinished(causeOfEnd());
  co_return false;
}

awaitable<boost::system::error_code>
caller_session::writeRest(std::array<asio::const_buffer, 2> Buffers) {
  watchProgress();
  if (AnswerMemory)
    AnswerMemory->beginTaking(boot_clock::now(), [this] {
      IsGivenUp = true;
      noteStall();
    });
  boost::system::error_code Error;
  while (Unwritten > 0 && !Error && !IsStalled) {
    const std::size_t Written = co_await Socket.async_write_some(
        Buffers, asio::redirect_error(asio::use_awaitable, Error));
    Unwritten -= Written;
    consume(Buffers, Written);
  }
  StallTimer = {};
  if (AnswerMemory)
    AnswerMemory->endTaking();
  if (IsStalled)
    Error = asio::error::timed_out;
  co_return Error;
}

void caller_session::watchProgress() {
  const auto Now = boot_clock::now();
  Progress = {unacknowledgedBytes(), Now + StallTimeout, Now + MaxSendTime};
  StallTimer = Context->Deadlines.add(Now + ProgressInterval,
                                      [this] { checkProgress(); });
}

// A write ends only when a large part of the socket's buffer is free, so that
// it does not show the progress of a slow caller.
void caller_session::checkProgress() {
  const auto Now = boot_clock::now();
  const auto Left = unacknowledgedBytes();
  if (Left < std::exchange(Progress.Left, Left)) {
    Progress.StallAt = Now + StallTimeout;
    if (AnswerMemory)
      AnswerMemory->noteProgress(Now);
  }
  if (Now < std::min(Progress.StallAt, Progress.Until)) {
    StallTimer = Context->Deadlines.add(Now + ProgressInterval,
                                        [this] { checkProgress(); });
    return;
  }
  noteStall();
}

void caller_session::noteStall() {
  IsStalled = true;
  boost::system::error_code Ignored;
  Socket.cancel(Ignored);
}

awaitable<bool> caller_session::refuse(read_end End) {
  http_reply Reply;
  switch (End) {
  case read_end::Whole:
  case read_end::Closed:
  case read_end::Idle:
    co_return false;
  case read_end::Slow:
    Reply = makeJsonReply(408, "{\"error\":\"slow-request\"}\n");
    break;
  case read_end::HeaderTooLarge:
    Reply = makeJsonReply(431, "{\"error\":\"header-too-large\"}\n");
    break;
  case read_end::BodyTooLarge:
    Reply = makeJsonReply(413, "{\"error\":\"body-too-large\"}\n");
    break;
  case read_end::Malformed:
    Reply = makeJsonReply(400, "{\"error\":\"malformed-request\"}\n");
    break;
  case read_end::Overloaded:
    Reply = makeJsonReply(503, "{\"error\":\"no-memory-for-body\"}\n");
    break;
  }
  co_await write(Reply, false, false);
  co_return false;
}

} // namespace sesamepaddle
