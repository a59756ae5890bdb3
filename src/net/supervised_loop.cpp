#include "sesamepaddle/net/supervised_loop.h"

#include <chrono>
#include <exception>

namespace sesamepaddle {

namespace {

// Bounds the log lines and the processor time of a loop that fails at once.
constexpr std::chrono::milliseconds RestartPause{100};

} // namespace

awaitable<void>
runSupervised(std::function<awaitable<void>()> Loop,
              std::function<void(const std::string &)> OnFailure) {
  for (;;) {
    std::exception_ptr Failure;
    try {
      co_await Loop();
    } catch (...) {
      Failure = std::current_exception();
    }
    if (!Failure)
      co_return;
    OnFailure(describeException(Failure));
    asio::steady_timer Pause(co_await asio::this_coro::executor, RestartPause);
    co_await Pause.async_wait(asio::use_awaitable);
  }
}

std::string describeException(const std::exception_ptr &Error) {
  try {
    std::rethrow_exception(Error);
  } catch (const std::exception &Known) {
    return Known.what();
  } catch (...) {
    return "unknown exception";
  }
}

} // namespace sesamepaddle
