#ifndef SESAMEPADDLE_PLATFORM_HTTP_PLATFORM_H
#define SESAMEPADDLE_PLATFORM_HTTP_PLATFORM_H

#include "sesamepaddle/net/http_client.h"
#include "sesamepaddle/platform/platform_client.h"

#include <chrono>
#include <memory>

namespace sesamepaddle {

/** Makes a client that uses HTTP and JSON; see docs/design/platform.md for the
    protocol.

    @param Client   must belong to the worker that makes the calls
    @param Timeout  for each call */
platform_client makeHttpPlatform(std::shared_ptr<http_client> Client,
                                 tcp::endpoint Platform,
                                 std::chrono::milliseconds Timeout);

} // namespace sesamepaddle

#endif
