#ifndef SESAMEPADDLE_NET_SUPERVISED_LOOP_H
#define SESAMEPADDLE_NET_SUPERVISED_LOOP_H

#include "sesamepaddle/net/asio.h"

#include <functional>
#include <string>

namespace sesamepaddle {

/** Runs @p Loop until it returns. One that ends with an exception is started
    again after a pause of 0.1 s: a process that goes on without one of its
    loops looks healthy and is not.
    @param OnFailure  called with the text of each exception */
awaitable<void>
runSupervised(std::function<awaitable<void>()> Loop,
              std::function<void(const std::string &)> OnFailure);

/** @returns the text of @p Error, which must not be null. */
std::string describeException(const std::exception_ptr &Error);

} // namespace sesamepaddle

#endif
