#include "sesamepaddle/net/http_client.h"
#include "sesamepaddle/net/http_server.h"
#include "support/raw_connection.h"

#include <doctest/doctest.h>

#include <atomic>
#include <optional>
#include <string>
#include <thread>

using namespace sesamepaddle;
using std::chrono::milliseconds;

namespace {

constexpr milliseconds LongWait{5'000};
constexpr milliseconds ShortWait{150};

/** A server that replies with the request body and counts its calls. */
struct echo_server {
  echo_server() {
    http_server_limits Limits;
    Limits.HeaderBytes = 2'048;
    Limits.BodyBytes = 4'096;
    Limits.HeaderTimeout = milliseconds(300);
    Limits.BodyTimeout = milliseconds(300);
    Limits.IdleTimeout = milliseconds(2'000);
    Server = std::move(*http_server::start(
        Pool, "127.0.0.1:0",
        [this](const http_exchange &Exchange) -> awaitable<http_reply> {
          ++Calls;
          co_return http_reply{200, {}, "got " + Exchange.Request.Body};
        },
        Limits));
  }

  /** Sends @p Bytes over a new connection.
      @returns everything received until the server closed it. */
  std::string exchange(std::string_view Bytes) {
    raw_connection Connection(Server->localEndpoint());
    Connection.send(Bytes);
    std::string Answer = Connection.readToEnd(LongWait);
    CHECK(Connection.isClosed());
    return Answer;
  }

  /** @returns true when a valid request over a new connection is answered. */
  bool servesOthers() {
    asio::io_context Context(1);
    http_client Client;
    std::optional<absl::StatusOr<http_reply>> Reply;
    http_request Request;
    Request.Method = "POST";
    Request.Body = "tea";
    asio::co_spawn(Context, Client.call(Server->localEndpoint(), Request),
                   [&](const std::exception_ptr &, auto Result) {
                     Reply = std::move(Result);
                   });
    Context.run();
    return Reply->ok() && (*Reply)->Body == "got tea";
  }

  worker_pool Pool{2};
  std::atomic<int> Calls{0};
  std::unique_ptr<http_server> Server;
};

bool contains(const std::string &Text, std::string_view Part) {
  return Text.find(Part) != std::string::npos;
}

/** Checks that @p Answer is an error reply with @p Failure that states that the
    request did not run. */
void checkRefused(const std::string &Answer, std::string_view StatusLine,
                  std::string_view Failure) {
  CHECK_MESSAGE(Answer.starts_with(StatusLine), Answer);
  CHECK_MESSAGE(contains(Answer, Failure), Answer);
  CHECK_MESSAGE(contains(Answer, "not-run"), Answer);
}

constexpr std::string_view BadRequest = "HTTP/1.1 400";
constexpr std::string_view Malformed = "net/malformed-message";
constexpr std::string_view Post = "POST / HTTP/1.1\r\nHost: a\r\n";

} // namespace

TEST_CASE("the server rejects invalid requests and keeps serving others") {
  echo_server Echo;

  SUBCASE("a header over its limit") {
    checkRefused(Echo.exchange("GET / HTTP/1.1\r\nHost: a\r\nX-Long: " +
                               std::string(8'000, 'x') + "\r\n\r\n"),
                 "HTTP/1.1 431", "net/header-too-large");
  }
  SUBCASE("a header that never ends") {
    checkRefused(Echo.exchange("GET /" + std::string(100'000, 'x')),
                 "HTTP/1.1 431", "net/header-too-large");
  }
  SUBCASE("a body over its limit, according to Content-Length") {
    checkRefused(Echo.exchange(std::string(Post) +
                               "Content-Length: 100000\r\n\r\n" +
                               std::string(100'000, 'x')),
                 "HTTP/1.1 413", "net/body-too-large");
  }
  SUBCASE("a chunked body over its limit") {
    std::string Message =
        std::string(Post) + "Transfer-Encoding: chunked\r\n\r\n";
    for (int Chunk = 0; Chunk < 20; ++Chunk)
      Message += "400\r\n" + std::string(1'024, 'x') + "\r\n";
    checkRefused(Echo.exchange(Message + "0\r\n\r\n"), "HTTP/1.1 413",
                 "net/body-too-large");
  }
  SUBCASE("a chunk size that is not a number") {
    checkRefused(Echo.exchange(std::string(Post) +
                               "Transfer-Encoding: chunked\r\n\r\nzz\r\nab"),
                 BadRequest, Malformed);
  }
  SUBCASE("a chunk longer than its announced size") {
    checkRefused(
        Echo.exchange(std::string(Post) +
                      "Transfer-Encoding: chunked\r\n\r\n2\r\nabcd\r\n0\r\n"),
        BadRequest, Malformed);
  }
  SUBCASE("a chunk size that overflows") {
    checkRefused(
        Echo.exchange(
            std::string(Post) +
            "Transfer-Encoding: chunked\r\n\r\nfffffffffffffffff\r\nab"),
        BadRequest, Malformed);
  }
  SUBCASE("two different Content-Length fields") {
    checkRefused(
        Echo.exchange(std::string(Post) +
                      "Content-Length: 2\r\nContent-Length: 3\r\n\r\nabc"),
        BadRequest, Malformed);
  }
  SUBCASE("Content-Length before Transfer-Encoding") {
    checkRefused(Echo.exchange(std::string(Post) +
                               "Content-Length: 2\r\nTransfer-Encoding: "
                               "chunked\r\n\r\n0\r\n\r\n"),
                 BadRequest, Malformed);
  }
  SUBCASE("Transfer-Encoding before Content-Length") {
    checkRefused(Echo.exchange(std::string(Post) +
                               "Transfer-Encoding: chunked\r\nContent-Length: "
                               "2\r\n\r\n0\r\n\r\n"),
                 BadRequest, Malformed);
  }
  SUBCASE("a transfer coding other than chunked, whose body looks like a "
          "request") {
    checkRefused(Echo.exchange(std::string(Post) +
                               "Transfer-Encoding: gzip\r\n\r\n" +
                               "GET /hidden HTTP/1.1\r\nHost: a\r\n\r\n"),
                 BadRequest, Malformed);
  }
  SUBCASE("a negative Content-Length") {
    checkRefused(
        Echo.exchange(std::string(Post) + "Content-Length: -1\r\n\r\n"),
        BadRequest, Malformed);
  }
  SUBCASE("bytes that are not HTTP") {
    checkRefused(Echo.exchange("\x16\x03\x01\x02\x01\r\n\r\n"), BadRequest,
                 Malformed);
  }
  SUBCASE("the preface of HTTP/2") {
    checkRefused(Echo.exchange("PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n"), BadRequest,
                 Malformed);
  }
  SUBCASE("a control character in a field") {
    checkRefused(Echo.exchange(std::string(Post) + "X-Field: a\x01b\r\n\r\n"),
                 BadRequest, Malformed);
  }
  CHECK(Echo.Calls == 0);
  CHECK(Echo.servesOthers());
}

TEST_CASE("a slow request gets an error reply and its connection is closed") {
  echo_server Echo;

  SUBCASE("slow in the header") {
    checkRefused(Echo.exchange("GET / HTTP/1.1\r\nHost"), "HTTP/1.1 408",
                 "net/timeout");
  }
  SUBCASE("slow in the body") {
    checkRefused(
        Echo.exchange(std::string(Post) + "Content-Length: 10\r\n\r\nabc"),
        "HTTP/1.1 408", "net/timeout");
  }
  SUBCASE("a header sent byte by byte") {
    raw_connection Connection(Echo.Server->localEndpoint());
    for (int Byte = 0; Byte < 10; ++Byte) {
      Connection.send("G");
      std::this_thread::sleep_for(milliseconds(50));
    }
    Connection.readToEnd(LongWait);
    CHECK(Connection.isClosed());
  }
  SUBCASE("other requests are answered meanwhile") {
    raw_connection Slow(Echo.Server->localEndpoint());
    Slow.send("GET /");
    CHECK(Echo.servesOthers());
    CHECK(Echo.servesOthers());
    checkRefused(Slow.readToEnd(LongWait), "HTTP/1.1 408", "net/timeout");
    CHECK(Slow.isClosed());
  }
  CHECK(Echo.servesOthers());
}

TEST_CASE("the server keeps a connection with valid requests open") {
  echo_server Echo;
  raw_connection Connection(Echo.Server->localEndpoint());

  SUBCASE("pipelined requests are all answered") {
    const std::string Request = std::string(Post) + "Content-Length: 1\r\n\r\n";
    Connection.send(Request + "a" + Request + "b");
    const std::string Answers = Connection.readToEnd(ShortWait);
    CHECK(contains(Answers, "got a"));
    CHECK(contains(Answers, "got b"));
    CHECK_FALSE(Connection.isClosed());

    SUBCASE("invalid bytes after them close it") {
      Connection.send("\x01\x02\r\n\r\n");
      checkRefused(Connection.readToEnd(LongWait), BadRequest, Malformed);
      CHECK(Connection.isClosed());
    }
  }
  CHECK(Echo.servesOthers());
}

TEST_CASE("the server closes a connection when its reply says so") {
  worker_pool Pool(1);
  const auto Server = std::move(*http_server::start(
      Pool, "127.0.0.1:0", [](const http_exchange &) -> awaitable<http_reply> {
        co_return http_reply{200, {}, "whole"};
      }));
  raw_connection Caller(Server->localEndpoint());
  Caller.send("GET / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n");
  CHECK(Caller.readToEnd(LongWait).ends_with("whole"));
  CHECK(Caller.isClosed());
}

TEST_CASE("bytes behind a request do not destroy the end of its reply") {
  // The server's socket takes it at once, and its caller's does not.
  constexpr std::size_t ReplyBytes = 60 * 1024;
  constexpr int SmallBuffer = 4 * 1024;
  worker_pool Pool(1);
  const auto Server = std::move(*http_server::start(
      Pool, "127.0.0.1:0", [](const http_exchange &) -> awaitable<http_reply> {
        co_return http_reply{200, {}, std::string(ReplyBytes, 'b')};
      }));
  raw_connection Caller(Server->localEndpoint(), SmallBuffer);
  Caller.send("GET / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n");
  auto Reply = Caller.readBytes(16, LongWait);
  std::this_thread::sleep_for(milliseconds(100));
  Caller.send("\r\n");
  std::this_thread::sleep_for(milliseconds(100));
  Reply += Caller.readToEnd(LongWait);
  CHECK(Reply.size() > ReplyBytes);
}

TEST_CASE("a caller that disconnects during its request affects no other") {
  echo_server Echo;
  {
    raw_connection Gone(Echo.Server->localEndpoint());
    Gone.send(std::string(Post) + "Content-Length: 5\r\n\r\nab");
  }
  CHECK(Echo.servesOthers());
  CHECK(Echo.Calls == 1);
}

TEST_CASE("an address with anything but digits for its port is refused") {
  for (const std::string Text : {"127.0.0.1:0", "127.0.0.1:65535", "::1:80"})
    CHECK(parseEndpoint(Text).ok());
  for (const std::string &Text :
       {std::string(), std::string(":"), std::string(":80"),
        std::string("127.0.0.1"), std::string("127.0.0.1:"),
        std::string("127.0.0.1:65536"), std::string("127.0.0.1:4294967376"),
        std::string("127.0.0.1:-1"), std::string("127.0.0.1:+80"),
        std::string("127.0.0.1: 80"), std::string("127.0.0.1:80\r\n"),
        std::string("127.0.0.1:8e1"), std::string("127.0.0.1\0x:80", 14),
        std::string("host.example:80")}) {
    CAPTURE(Text);
    CHECK_FALSE(parseEndpoint(Text).ok());
  }
}
