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

/** A server that answers with the body it was sent and counts its calls. */
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

  /** Sends bytes over a connection of their own.
      @returns all that came back until the server closed. */
  std::string exchange(std::string_view Bytes) {
    raw_connection Connection(Server->localEndpoint());
    Connection.send(Bytes);
    std::string Answer = Connection.readToEnd(LongWait);
    CHECK(Connection.isClosed());
    return Answer;
  }

  /** @returns true when a well-behaved caller is still answered. */
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

TEST_CASE("a server refuses what it can't read and serves on") {
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
  SUBCASE("a body over its limit, as announced") {
    checkRefused(Echo.exchange(std::string(Post) +
                               "Content-Length: 100000\r\n\r\n" +
                               std::string(100'000, 'x')),
                 "HTTP/1.1 413", "net/body-too-large");
  }
  SUBCASE("a body over its limit, in chunks that announce nothing") {
    std::string Message =
        std::string(Post) + "Transfer-Encoding: chunked\r\n\r\n";
    for (int Chunk = 0; Chunk < 20; ++Chunk)
      Message += "400\r\n" + std::string(1'024, 'x') + "\r\n";
    checkRefused(Echo.exchange(Message + "0\r\n\r\n"), "HTTP/1.1 413",
                 "net/body-too-large");
  }
  SUBCASE("a chunk whose size is no number") {
    checkRefused(Echo.exchange(std::string(Post) +
                               "Transfer-Encoding: chunked\r\n\r\nzz\r\nab"),
                 BadRequest, Malformed);
  }
  SUBCASE("a chunk that is longer than its size") {
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
  SUBCASE("two lengths that differ") {
    checkRefused(
        Echo.exchange(std::string(Post) +
                      "Content-Length: 2\r\nContent-Length: 3\r\n\r\nabc"),
        BadRequest, Malformed);
  }
  SUBCASE("a length beside chunks") {
    checkRefused(Echo.exchange(std::string(Post) +
                               "Content-Length: 2\r\nTransfer-Encoding: "
                               "chunked\r\n\r\n0\r\n\r\n"),
                 BadRequest, Malformed);
  }
  SUBCASE("chunks beside a length") {
    checkRefused(Echo.exchange(std::string(Post) +
                               "Transfer-Encoding: chunked\r\nContent-Length: "
                               "2\r\n\r\n0\r\n\r\n"),
                 BadRequest, Malformed);
  }
  SUBCASE("a transfer coding without chunks: its body is no request") {
    checkRefused(Echo.exchange(std::string(Post) +
                               "Transfer-Encoding: gzip\r\n\r\n" +
                               "GET /hidden HTTP/1.1\r\nHost: a\r\n\r\n"),
                 BadRequest, Malformed);
  }
  SUBCASE("a length that is no number") {
    checkRefused(
        Echo.exchange(std::string(Post) + "Content-Length: -1\r\n\r\n"),
        BadRequest, Malformed);
  }
  SUBCASE("garbage") {
    checkRefused(Echo.exchange("\x16\x03\x01\x02\x01\r\n\r\n"), BadRequest,
                 Malformed);
  }
  SUBCASE("a message of another protocol's version") {
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

TEST_CASE("a slow sender is told so and closed") {
  echo_server Echo;

  SUBCASE("in the header") {
    checkRefused(Echo.exchange("GET / HTTP/1.1\r\nHost"), "HTTP/1.1 408",
                 "net/timeout");
  }
  SUBCASE("in the body") {
    checkRefused(
        Echo.exchange(std::string(Post) + "Content-Length: 10\r\n\r\nabc"),
        "HTTP/1.1 408", "net/timeout");
  }
  SUBCASE("that goes on byte by byte") {
    raw_connection Connection(Echo.Server->localEndpoint());
    for (int Byte = 0; Byte < 10; ++Byte) {
      Connection.send("G");
      std::this_thread::sleep_for(milliseconds(50));
    }
    Connection.readToEnd(LongWait);
    CHECK(Connection.isClosed());
  }
  SUBCASE("while others are answered at once") {
    raw_connection Slow(Echo.Server->localEndpoint());
    Slow.send("GET /");
    CHECK(Echo.servesOthers());
    CHECK(Echo.servesOthers());
    checkRefused(Slow.readToEnd(LongWait), "HTTP/1.1 408", "net/timeout");
    CHECK(Slow.isClosed());
  }
  CHECK(Echo.servesOthers());
}

TEST_CASE("a server keeps a connection whose requests it could read") {
  echo_server Echo;
  raw_connection Connection(Echo.Server->localEndpoint());

  SUBCASE("for one request after another") {
    const std::string Request = std::string(Post) + "Content-Length: 1\r\n\r\n";
    Connection.send(Request + "a" + Request + "b");
    const std::string Answers = Connection.readToEnd(ShortWait);
    CHECK(contains(Answers, "got a"));
    CHECK(contains(Answers, "got b"));
    CHECK_FALSE(Connection.isClosed());

    SUBCASE("until garbage comes behind them") {
      Connection.send("\x01\x02\r\n\r\n");
      checkRefused(Connection.readToEnd(LongWait), BadRequest, Malformed);
      CHECK(Connection.isClosed());
    }
  }
  CHECK(Echo.servesOthers());
}

TEST_CASE("a caller that goes away within its request harms nobody") {
  echo_server Echo;
  {
    raw_connection Gone(Echo.Server->localEndpoint());
    Gone.send(std::string(Post) + "Content-Length: 5\r\n\r\nab");
  }
  CHECK(Echo.servesOthers());
  CHECK(Echo.Calls == 1);
}
