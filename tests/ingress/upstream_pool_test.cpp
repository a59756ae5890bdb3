#include "ingress/upstream_pool.h"

#include "ingress/scripted_endpoint.h"

#include <doctest/doctest.h>

using namespace sesamepaddle;
using std::chrono::milliseconds;

namespace {

/** Makes one exchange with @p Endpoint and waits for its end. */
exchange_result exchangeOnce(asio::io_context &Context, upstream_pool &Pool,
                             const std::string &Address,
                             std::function<bool()> IsStillWanted) {
  exchange_result Result;
  asio::co_spawn(
      Context,
      [&]() -> awaitable<void> {
        auto Request = std::make_shared<upstream_request>();
        Request->Head =
            "GET / HTTP/1.1\r\nHost: shop.example\r\nId: r1\r\n\r\n";
        Request->RequestId = "r1";
        exchange_limits Limits;
        Limits.Connect = milliseconds(1'000);
        Limits.Deadline = boot_clock::now() + milliseconds(5'000);
        Limits.BodyBytes = 1'000;
        Limits.IsStillWanted = std::move(IsStillWanted);
        Result = co_await Pool.exchange("i-1", Address, Request, Limits,
                                        std::make_shared<cancel_source>());
        Context.stop();
      },
      asio::detached);
  Context.restart();
  Context.run_for(milliseconds(10'000));
  return Result;
}

} // namespace

TEST_CASE("a request that is not wanted any more when a connection is open is "
          "not sent") {
  asio::io_context Context{1};
  deadline_queue Deadlines(Context.get_executor());
  scripted_endpoint Endpoint(Context, [](const std::string &Request) {
    return scripted_answer{makeAnswer(Request, "whole"), "", false, false,
                           milliseconds(0)};
  });
  const auto Answers = std::make_shared<body_memory>(1'000'000);
  upstream_pool Pool("Id", Deadlines, Answers);
  const auto Withdrawn =
      exchangeOnce(Context, Pool, Endpoint.address(), [] { return false; });
  CHECK(Withdrawn.End == exchange_end::Withdrawn);
  CHECK(Endpoint.requests().empty());
  // The connection serves the next request.
  CHECK(Pool.idleConnections() == 1);
  const auto Answered =
      exchangeOnce(Context, Pool, Endpoint.address(), [] { return true; });
  CHECK(Answered.End == exchange_end::Answered);
  CHECK(Endpoint.connections() == 1);
}
