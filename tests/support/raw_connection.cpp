#include "support/raw_connection.h"

#include <algorithm>
#include <array>
#include <limits>
#include <poll.h>
#include <sys/socket.h>

namespace sesamepaddle {

raw_connection::raw_connection(const tcp::endpoint &Server) {
  Socket.connect(Server);
}

raw_connection::raw_connection(const tcp::endpoint &Server, int ReceiveBytes) {
  Socket.open(Server.protocol());
  Socket.set_option(asio::socket_base::receive_buffer_size(ReceiveBytes));
  Socket.connect(Server);
}

void raw_connection::shutdownSend() {
  boost::system::error_code Ignored;
  Socket.shutdown(tcp::socket::shutdown_send, Ignored);
}

void raw_connection::reset() {
  boost::system::error_code Ignored;
  Socket.set_option(asio::socket_base::linger(true, 0), Ignored);
  Socket.close(Ignored);
}

void raw_connection::send(std::string_view Bytes) {
  while (!Bytes.empty()) {
    const auto Count = ::send(Socket.native_handle(), Bytes.data(),
                              Bytes.size(), MSG_NOSIGNAL);
    if (Count <= 0)
      return;
    Bytes.remove_prefix(static_cast<std::size_t>(Count));
  }
}

bool raw_connection::waitForBytes(std::chrono::milliseconds Limit) {
  pollfd Wait{Socket.native_handle(), POLLIN, 0};
  return ::poll(&Wait, 1, static_cast<int>(Limit.count())) > 0;
}

std::string raw_connection::readToEnd(std::chrono::milliseconds Limit) {
  return readBytes(std::numeric_limits<std::size_t>::max(), Limit);
}

std::string raw_connection::readBytes(std::size_t Bytes,
                                      std::chrono::milliseconds Limit) {
  const auto End = std::chrono::steady_clock::now() + Limit;
  std::string Text;
  std::array<char, 4096> Buffer{};
  while (!Closed && Text.size() < Bytes) {
    const auto Left = std::chrono::duration_cast<std::chrono::milliseconds>(
        End - std::chrono::steady_clock::now());
    pollfd Wait{Socket.native_handle(), POLLIN, 0};
    if (Left.count() <= 0 ||
        ::poll(&Wait, 1, static_cast<int>(Left.count())) <= 0)
      break;
    const auto Count = ::recv(Socket.native_handle(), Buffer.data(),
                              std::min(Buffer.size(), Bytes - Text.size()), 0);
    Closed = Count <= 0;
    if (Count > 0)
      Text.append(Buffer.data(), static_cast<std::size_t>(Count));
  }
  return Text;
}

} // namespace sesamepaddle
