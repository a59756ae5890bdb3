#ifndef SESAMEPADDLE_NET_SEND_QUEUE_H
#define SESAMEPADDLE_NET_SEND_QUEUE_H

#include "sesamepaddle/net/asio.h"

#include <cstddef>

namespace sesamepaddle {

/** @returns bytes that were written to @p Socket and that its peer has not
    acknowledged, also after a reset; 0 when it is closed. */
std::size_t sendQueueBytes(tcp::socket &Socket);

} // namespace sesamepaddle

#endif
