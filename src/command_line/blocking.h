#ifndef SESAMEPADDLE_COMMAND_LINE_BLOCKING_H
#define SESAMEPADDLE_COMMAND_LINE_BLOCKING_H

#include "sesamepaddle/net/asio.h"

#include <exception>
#include <optional>
#include <utility>

namespace sesamepaddle {

/** Runs a coroutine to completion on the calling thread.
    @returns its result; rethrows its exception. */
template <typename Result> Result runBlocking(awaitable<Result> Work) {
  asio::io_context Context(1);
  std::optional<Result> Value;
  asio::co_spawn(Context, std::move(Work),
                 [&](const std::exception_ptr &Error, Result Outcome) {
                   if (Error)
                     std::rethrow_exception(Error);
                   Value = std::move(Outcome);
                 });
  Context.run();
  return std::move(*Value);
}

} // namespace sesamepaddle

#endif
