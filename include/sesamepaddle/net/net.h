/// Module net: HTTP over Boost.Beast for callers, upstreams, operators and the
/// platform.
///
/// Depends on core only, not on documents, limits or membership.
#ifndef SESAMEPADDLE_NET_NET_H
#define SESAMEPADDLE_NET_NET_H

#include "sesamepaddle/net/asio.h"
#include "sesamepaddle/net/deadline_queue.h"
#include "sesamepaddle/net/failures.h"
#include "sesamepaddle/net/http_client.h"
#include "sesamepaddle/net/http_message.h"
#include "sesamepaddle/net/http_server.h"
#include "sesamepaddle/net/supervised_loop.h"
#include "sesamepaddle/net/worker_pool.h"

#endif
