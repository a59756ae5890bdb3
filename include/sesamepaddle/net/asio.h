/// Includes Asio for the whole project. Include this header rather than Asio's
/// own: awaitable.hpp of Boost 1.74 uses std::exchange without including
/// <utility>.
#ifndef SESAMEPADDLE_NET_ASIO_H
#define SESAMEPADDLE_NET_ASIO_H

#include <utility>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace sesamepaddle {

namespace asio = boost::asio;
using tcp = boost::asio::ip::tcp;
using boost::asio::awaitable;

} // namespace sesamepaddle

#endif
