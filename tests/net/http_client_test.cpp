#include "sesamepaddle/net/failures.h"
#include "sesamepaddle/net/http_client.h"
#include "sesamepaddle/net/http_server.h"

#include <boost/asio/write.hpp>
#include <doctest/doctest.h>

#include <atomic>
#include <chrono>
#include <optional>
#include <string>
#include <thread>
#include <vector>

using namespace sesamepaddle;
using std::chrono::milliseconds;

namespace {

/** A minimal HTTP server that replies with the number of the connection. It can
    stop replying on open connections while it still reads from them, as after
    a network failure that closes nothing. */
class unresponsive_server {
public:
  unresponsive_server()
      : Acceptor(Context, {asio::ip::address_v4::loopback(), 0}) {
    asio::co_spawn(Context, acceptAll(), asio::detached);
    Thread = std::thread([this] { Context.run(); });
  }

  ~unresponsive_server() {
    Context.stop();
    Thread.join();
  }

  tcp::endpoint address() const { return Acceptor.local_endpoint(); }

  void ignoreOpenConnections() { IgnoredUpTo = Connections.load(); }

  /** Bytes sent after each reply's body. */
  std::string Extra;
  /** How much longer than the body its announced length is; when not 0, the
      connection closes after the reply. */
  std::size_t Missing = 0;
  /** Written instead of the reply, if not empty, before the connection closes.
   */
  std::string CutReply;
  std::atomic<int> Requests{0};
  std::atomic<int> Connections{0};

private:
  awaitable<void> acceptAll() {
    for (;;) {
      tcp::socket Socket = co_await Acceptor.async_accept(asio::use_awaitable);
      asio::co_spawn(Context, serve(std::move(Socket), ++Connections),
                     asio::detached);
    }
  }

  awaitable<void> serve(tcp::socket Socket, int Number) {
    std::string Buffer(4'096, '\0');
    for (;;) {
      boost::system::error_code Error;
      co_await Socket.async_read_some(
          asio::buffer(Buffer),
          asio::redirect_error(asio::use_awaitable, Error));
      if (Error)
        co_return;
      ++Requests;
      if (Number <= IgnoredUpTo)
        continue;
      const std::string Body = std::to_string(Number);
      const bool Closes = Missing > 0 || !CutReply.empty();
      const std::string Answer =
          !CutReply.empty() ? CutReply
                            : "HTTP/1.1 200 OK\r\nContent-Length: " +
                                  std::to_string(Body.size() + Missing) +
                                  "\r\n\r\n" + Body + Extra;
      co_await asio::async_write(
          Socket, asio::buffer(Answer),
          asio::redirect_error(asio::use_awaitable, Error));
      if (Closes)
        co_return;
    }
  }

  asio::io_context Context{1};
  tcp::acceptor Acceptor;
  std::atomic<int> IgnoredUpTo{0}; ///< highest connection without replies
  std::thread Thread;
};

/** An HTTP client that runs each call to its end and measures its duration. */
class test_client {
public:
  absl::StatusOr<http_reply> call(const unresponsive_server &Server,
                                  connection_choice Choice) {
    http_call_options Options;
    Options.Connection = Choice;
    Options.Timeout = milliseconds(1'500);
    Options.ReuseTimeout = milliseconds(200);
    std::optional<absl::StatusOr<http_reply>> Reply;
    const auto Start = std::chrono::steady_clock::now();
    asio::co_spawn(Context, Client.call(Server.address(), Request, Options),
                   [&](const std::exception_ptr &, auto Result) {
                     Reply = std::move(Result);
                   });
    Context.restart();
    while (!Reply)
      Context.run_one();
    Elapsed = std::chrono::steady_clock::now() - Start;
    return *Reply;
  }

  asio::io_context Context{1};
  http_client Client;
  http_request Request;
  std::chrono::steady_clock::duration Elapsed{};
};

} // namespace

TEST_CASE("a pooled connection stops responding while new ones work") {
  unresponsive_server Server;
  test_client Caller;
  const auto First = Caller.call(Server, connection_choice::PooledThenFresh);
  REQUIRE(First.ok());
  REQUIRE(First->Body == "1");
  REQUIRE(Caller.Client.idleConnections() == 1);
  Server.ignoreOpenConnections();

  SUBCASE("an idempotent request is delayed by the reuse timeout only") {
    const auto Second = Caller.call(Server, connection_choice::PooledThenFresh);
    REQUIRE(Second.ok());
    CHECK(Second->Body == "2");
    CHECK(Caller.Elapsed >= milliseconds(200));
    CHECK(Caller.Elapsed < milliseconds(800));
    CHECK(Caller.Client.unresponsiveConnections() == 1);

    SUBCASE("the next request is not delayed") {
      REQUIRE(Caller.call(Server, connection_choice::PooledThenFresh).ok());
      CHECK(Caller.Elapsed < milliseconds(200));
    }
  }

  SUBCASE("a request over a new connection is neither lost nor delayed") {
    const auto Second = Caller.call(Server, connection_choice::Fresh);
    REQUIRE(Second.ok());
    CHECK(Second->Body == "2");
    CHECK(Caller.Elapsed < milliseconds(200));
    CHECK(Server.Requests == 2);
  }

  SUBCASE("without a retry the request times out") {
    const auto Second = Caller.call(Server, connection_choice::PooledOrFresh);
    CHECK(isFailure(Second.status(), net_failure::Timeout));
    CHECK(Caller.Elapsed >= milliseconds(1'500));
    CHECK(Caller.Client.idleConnections() == 0);
  }
}

TEST_CASE("a reply is never truncated or mixed up with another") {
  unresponsive_server Server;
  test_client Caller;

  SUBCASE("a truncated reply is a failure") {
    Server.Missing = 5;
    const auto Reply = Caller.call(Server, connection_choice::Fresh);
    CHECK(isFailure(Reply.status(), net_failure::ReceiveFailed));
    CHECK(Reply.status().ToString().find("1 of 6 bytes") != std::string::npos);
  }
  SUBCASE("a reply that stops within its head is a failure") {
    const std::string Head = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n";
    for (std::size_t Cut = 1; Cut <= Head.size(); ++Cut) {
      CAPTURE(Cut);
      Server.CutReply = Head.substr(0, Cut);
      const auto Reply = Caller.call(Server, connection_choice::Fresh);
      CHECK(isFailure(Reply.status(), net_failure::ReceiveFailed));
    }
  }
  SUBCASE("bytes after a reply are not taken for the next reply") {
    Server.Extra = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwrong";
    for (const char *Body : {"1", "2", "3"}) {
      const auto Reply =
          Caller.call(Server, connection_choice::PooledThenFresh);
      REQUIRE(Reply.ok());
      CHECK(Reply->Body == Body);
      CHECK(Caller.Client.idleConnections() == 0);
    }
  }
}

// The store or a VM in trouble may send the beginning of another reply before
// the proper one.
TEST_CASE("the cut beginning of a reply and the next reply are not taken for "
          "one, wherever it is cut") {
  unresponsive_server Server;
  test_client Caller;
  const std::string Copy = "HTTP/1.1 412 Precondition Failed\r\n"
                           "Date: Sat, 05 Dec 2026 16:00:00 GMT\r\n\r\n";
  const std::string Proper =
      "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole";
  for (std::size_t Cut = 1; Cut < Copy.size(); ++Cut) {
    CAPTURE(Copy.substr(0, Cut));
    Server.CutReply = Copy.substr(0, Cut) + Proper;
    const auto Reply = Caller.call(Server, connection_choice::Fresh);
    CHECK(isFailure(Reply.status(), net_failure::MalformedMessage));
  }
  Server.CutReply = Proper;
  CHECK(Caller.call(Server, connection_choice::Fresh).ok());
}

TEST_CASE("a reply whose status is none of HTTP's is a failure") {
  unresponsive_server Server;
  test_client Caller;
  for (const char *Status : {"000", "099", "600", "999"}) {
    CAPTURE(Status);
    Server.CutReply = std::string("HTTP/1.1 ") + Status +
                      " OK\r\nContent-Length: 5\r\n\r\nwhole";
    const auto Reply = Caller.call(Server, connection_choice::Fresh);
    CHECK(isFailure(Reply.status(), net_failure::MalformedMessage));
  }
}

TEST_CASE("the fields after a chunked reply are not those of its head") {
  unresponsive_server Server;
  test_client Caller;
  Server.CutReply = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                    "5\r\nwhole\r\n0\r\nRetry-After: 5\r\n\r\n";
  const auto Reply = Caller.call(Server, connection_choice::Fresh);
  REQUIRE(Reply.ok());
  CHECK(Reply->Body == "whole");
  CHECK(findHeader(Reply->Headers, "Retry-After").empty());
}
