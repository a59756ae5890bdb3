#include "sesamepaddle/net/supervised_loop.h"

#include <doctest/doctest.h>

#include <stdexcept>
#include <vector>

using namespace sesamepaddle;

TEST_CASE("a supervised loop goes on after an exception") {
  asio::io_context Context(1);
  std::vector<std::string> Failures;
  int Runs = 0;
  const auto Loop = [&]() -> awaitable<void> {
    ++Runs;
    co_await asio::post(asio::use_awaitable);
    if (Runs == 1)
      throw std::runtime_error("first");
    if (Runs == 2)
      throw 2;
  };
  asio::co_spawn(
      Context,
      runSupervised(Loop,
                    [&](const std::string &Text) { Failures.push_back(Text); }),
      asio::detached);
  Context.run();
  CHECK(Runs == 3);
  CHECK(Failures == std::vector<std::string>{"first", "unknown exception"});
}
