#include "ingress/scripted_endpoint.h"
#include "ingress/upstream_pool.h"
#include "sesamepaddle/net/http_server.h"

#include <boost/asio/write.hpp>
#include <doctest/doctest.h>

#include <array>
#include <functional>
#include <memory>
#include <string>

using namespace sesamepaddle;
using std::chrono::milliseconds;

namespace {

/** How an endpoint ends a connection. */
enum class connection_end : std::uint8_t {
  Reset,
  Orderly, ///< ends its side, and goes on reading
};

/** What an endpoint does with a request. */
struct early_answer {
  std::string Bytes;
  connection_end End = connection_end::Reset;
  bool ReadsBody = false; ///< before it answers
};

// Long enough that the pool has read an answer, and waits to write more.
constexpr milliseconds BeforeEnd{100};
// More than the buffers of both sockets hold.
constexpr std::size_t LongBody = 24U * 1024 * 1024;

/** An endpoint that answers as soon as it has read the head of a request. */
class early_endpoint {
public:
  early_endpoint(asio::io_context &Context, early_answer Answer)
      : Context(Context),
        Acceptor(Context, {asio::ip::address_v4::loopback(), 0}),
        Answer(std::move(Answer)) {
    asio::co_spawn(
        Context, [this] { return serve(); }, asio::detached);
  }

  std::string address() const {
    return formatEndpoint(Acceptor.local_endpoint());
  }

private:
  awaitable<void> serve() {
    tcp::socket Socket = co_await Acceptor.async_accept(asio::use_awaitable);
    std::string Request;
    std::array<char, 16 * 1024> Bytes{};
    boost::system::error_code Error;
    const auto Read = [&]() -> awaitable<void> {
      const auto Count = co_await Socket.async_read_some(
          asio::buffer(Bytes),
          asio::redirect_error(asio::use_awaitable, Error));
      Request.append(Bytes.data(), Count);
    };
    const auto HasHead = [&] {
      return Request.find("\r\n\r\n") != std::string::npos;
    };
    const auto HasAll = [&] {
      return HasHead() && Request.ends_with("end of body");
    };
    while (!Error && !(Answer.ReadsBody ? HasAll() : HasHead()))
      co_await Read();
    if (!Answer.Bytes.empty())
      co_await asio::async_write(
          Socket, asio::buffer(Answer.Bytes),
          asio::redirect_error(asio::use_awaitable, Error));
    asio::steady_timer Timer(Context, BeforeEnd);
    co_await Timer.async_wait(asio::use_awaitable);
    if (Answer.End == connection_end::Reset) {
      Socket.set_option(asio::socket_base::linger(true, 0), Error);
      Socket.close(Error);
      co_return;
    }
    Socket.shutdown(tcp::socket::shutdown_send, Error);
    while (!Error)
      co_await Read();
  }

  asio::io_context &Context;
  tcp::acceptor Acceptor;
  early_answer Answer;
};

/** Sends an upload to an endpoint and waits for the end of the exchange. */
exchange_result exchangeWith(early_answer Answer, std::size_t BodyBytes,
                             const std::string &Method = "POST") {
  asio::io_context Context{1};
  deadline_queue Deadlines(Context.get_executor());
  early_endpoint Endpoint(Context, std::move(Answer));
  upstream_pool Pool("Id", Deadlines, std::make_shared<body_memory>(1'000'000));
  const std::string Body =
      std::string(BodyBytes, 'b') + (BodyBytes > 0 ? "end of body" : "");
  exchange_result Result;
  asio::co_spawn(
      Context,
      [&]() -> awaitable<void> {
        auto Request = std::make_shared<upstream_request>();
        Request->Head = Method +
                        " / HTTP/1.1\r\nHost: shop.example\r\nId: r1\r\n"
                        "Content-Length: " +
                        std::to_string(Body.size()) + "\r\n\r\n";
        Request->Body = Body;
        Request->RequestId = "r1";
        Request->IsHead = Method == "HEAD";
        exchange_limits Limits;
        Limits.Connect = milliseconds(1'000);
        Limits.Deadline = boot_clock::now() + milliseconds(20'000);
        Limits.BodyBytes = 100'000;
        Result =
            co_await Pool.exchange("i-1", Endpoint.address(), Request, Limits,
                                   std::make_shared<cancel_source>());
        Context.stop();
      },
      asio::detached);
  Context.run();
  return Result;
}

std::string unframed(const std::string &Body) {
  return "HTTP/1.1 200 OK\r\nId: r1\r\nStamp: s\r\n\r\n" + Body;
}

std::string withLength(std::size_t Length, const std::string &Body) {
  return "HTTP/1.1 200 OK\r\nId: r1\r\nStamp: s\r\nContent-Length: " +
         std::to_string(Length) + "\r\n\r\n" + Body;
}

std::string chunked(const std::string &Chunks) {
  return "HTTP/1.1 200 OK\r\nId: r1\r\nStamp: s\r\n"
         "Transfer-Encoding: chunked\r\n\r\n" +
         Chunks;
}

} // namespace

// Guards against a part of an answer that is taken for all of it (review/11): a
// reset that meets a write is reported by the write alone, and the read ends as
// after an orderly close. RULES.md, MIXED: 'An endpoint's answer may have no
// length and end with its connection; one that is reset on the way isn't
// complete.'
TEST_CASE("an answer without a length is whole only when its connection ended "
          "in order") {
  for (const std::size_t BodyBytes :
       {LongBody, std::size_t(100), std::size_t(0)}) {
    CAPTURE(BodyBytes);
    const std::string Part(1'000, 'a');

    SUBCASE("reset within its body") {
      CHECK(exchangeWith({unframed(Part)}, BodyBytes).End ==
            exchange_end::Lost);
      SUBCASE("after an interim answer") {
        CHECK(exchangeWith({"HTTP/1.1 100 Continue\r\n\r\n" + unframed(Part)},
                           BodyBytes)
                  .End == exchange_end::Lost);
      }
      SUBCASE("before its body") {
        CHECK(exchangeWith({unframed("")}, BodyBytes).End ==
              exchange_end::Lost);
      }
      SUBCASE("within its head") {
        CHECK(exchangeWith({unframed("").substr(0, 30)}, BodyBytes).End ==
              exchange_end::Lost);
      }
      SUBCASE("before its head") {
        CHECK(exchangeWith({""}, BodyBytes).End == exchange_end::Lost);
      }
    }
    SUBCASE("ended in order") {
      const auto Result =
          exchangeWith({unframed(Part), connection_end::Orderly}, BodyBytes);
      CHECK(Result.End == exchange_end::Answered);
      CHECK(Result.Reply.Body == Part);
    }
    SUBCASE("ended in order after the whole upload") {
      if (BodyBytes > 0)
        CHECK(exchangeWith({unframed(Part), connection_end::Orderly, true},
                           BodyBytes)
                  .End == exchange_end::Answered);
    }
  }
}

TEST_CASE("an answer that says where it ends stays whole whatever follows") {
  const std::string Body(1'000, 'a');
  SUBCASE("by its length") {
    const auto Result = exchangeWith({withLength(1'000, Body)}, LongBody);
    CHECK(Result.End == exchange_end::Answered);
    CHECK(Result.Reply.Body == Body);
    CHECK(exchangeWith({withLength(1'001, Body)}, LongBody).End ==
          exchange_end::Lost);
  }
  SUBCASE("by its chunks") {
    const auto Result =
        exchangeWith({chunked("3e8\r\n" + Body + "\r\n0\r\n\r\n")}, LongBody);
    CHECK(Result.End == exchange_end::Answered);
    CHECK(Result.Reply.Body == Body);
    CHECK(exchangeWith({chunked("3e8\r\n" + Body + "\r\n")}, LongBody).End ==
          exchange_end::Lost);
  }
  SUBCASE("by its status") {
    CHECK(exchangeWith({"HTTP/1.1 204 No Content\r\nId: r1\r\n\r\n"}, LongBody)
              .End == exchange_end::Answered);
    CHECK(
        exchangeWith({"HTTP/1.1 304 Not Modified\r\nId: r1\r\n\r\n"}, LongBody)
            .End == exchange_end::Answered);
  }
  SUBCASE("by its request") {
    CHECK(exchangeWith({unframed("")}, LongBody, "HEAD").End ==
          exchange_end::Answered);
  }
}
