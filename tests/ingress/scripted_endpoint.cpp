#include "ingress/scripted_endpoint.h"

#include "sesamepaddle/net/http_server.h"

#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>

#include <cstdlib>

namespace sesamepaddle {

namespace {

// Time between scripted_answer::Bytes and LateBytes.
constexpr std::chrono::milliseconds LateBytesDelay{30};
// Time between two checks of scripted_answer::IsDue.
constexpr std::chrono::milliseconds DueCheckInterval{2};
// Time between scripted_answer::Bytes and a reset after them.
constexpr std::chrono::milliseconds ResetDelay{5};

awaitable<void> pause(std::chrono::milliseconds Time) {
  asio::steady_timer Timer(co_await asio::this_coro::executor, Time);
  co_await Timer.async_wait(asio::use_awaitable);
}

} // namespace

scripted_endpoint::scripted_endpoint(asio::io_context &Context, script Script)
    : Context(Context),
      Acceptor(Context, tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0)),
      Script(std::move(Script)) {
  asio::co_spawn(Context, acceptLoop(), asio::detached);
}

std::string scripted_endpoint::address() const {
  return formatEndpoint(Acceptor.local_endpoint());
}

std::vector<std::string> scripted_endpoint::requests() const {
  const std::lock_guard Lock(Mutex);
  return Requests;
}

awaitable<void> scripted_endpoint::acceptLoop() {
  while (Acceptor.is_open()) {
    boost::system::error_code Error;
    auto Socket = std::make_shared<tcp::socket>(co_await Acceptor.async_accept(
        asio::redirect_error(asio::use_awaitable, Error)));
    if (Error)
      co_return;
    ++Connections;
    asio::co_spawn(Context, serve(Socket), asio::detached);
  }
}

awaitable<void> scripted_endpoint::serve(std::shared_ptr<tcp::socket> Socket) {
  std::string Buffer;
  boost::system::error_code Error;
  for (;;) {
    const std::size_t HeadBytes = co_await asio::async_read_until(
        *Socket, asio::dynamic_buffer(Buffer), "\r\n\r\n",
        asio::redirect_error(asio::use_awaitable, Error));
    if (Error) {
      ++EndedIdle;
      co_return;
    }
    const auto Length = static_cast<std::size_t>(std::atoi(
        fieldOf(Buffer.substr(0, HeadBytes), "Content-Length").c_str()));
    while (Buffer.size() < HeadBytes + Length) {
      std::array<char, 4096> Chunk{};
      const std::size_t Bytes = co_await Socket->async_read_some(
          asio::buffer(Chunk),
          asio::redirect_error(asio::use_awaitable, Error));
      if (Error)
        co_return;
      Buffer.append(Chunk.data(), Bytes);
    }
    const std::string Request = Buffer.substr(0, HeadBytes + Length);
    Buffer.erase(0, HeadBytes + Length);
    {
      const std::lock_guard Lock(Mutex);
      Requests.push_back(Request);
    }
    const auto Answer = Script(Request);
    if (CrashesNext)
      Acceptor.close(Error);
    if (Answer.Delay.count() > 0)
      co_await pause(Answer.Delay);
    Socket->non_blocking(true);
    const auto IsClosedByVm = [&] {
      char Byte = 0;
      const std::size_t Peeked = Socket->receive(
          asio::buffer(&Byte, 1), asio::socket_base::message_peek, Error);
      return Peeked == 0 && Error != asio::error::would_block;
    };
    while (Answer.IsDue && !Answer.IsDue() && !IsClosedByVm())
      co_await pause(DueCheckInterval);
    if (IsClosedByVm()) {
      ++Abandoned;
      co_return;
    }
    if (Answer.Resets) {
      Socket->set_option(asio::socket_base::linger(true, 0));
      Socket->close();
      co_return;
    }
    co_await asio::async_write(
        *Socket, asio::buffer(Answer.Bytes),
        asio::redirect_error(asio::use_awaitable, Error));
    if (Answer.ResetsAfterBytes) {
      // A reset discards bytes that the VM has not read yet.
      co_await pause(ResetDelay);
      Socket->set_option(asio::socket_base::linger(true, 0));
      Socket->close();
      co_return;
    }
    const bool IsEndless = !Answer.EndlessBytes.empty();
    for (std::size_t Count = 0;
         IsEndless && !Error && Count < Answer.MaxEndless; ++Count)
      co_await asio::async_write(
          *Socket, asio::buffer(Answer.EndlessBytes),
          asio::redirect_error(asio::use_awaitable, Error));
    while (IsEndless && !Error) {
      std::array<char, 64> Ignored{};
      co_await Socket->async_read_some(
          asio::buffer(Ignored),
          asio::redirect_error(asio::use_awaitable, Error));
    }
    if (IsEndless)
      ++Abandoned;
    if (!Answer.LateBytes.empty()) {
      co_await pause(LateBytesDelay);
      co_await asio::async_write(
          *Socket, asio::buffer(Answer.LateBytes),
          asio::redirect_error(asio::use_awaitable, Error));
    }
    if (Answer.Closes || Error)
      co_return;
  }
}

std::string fieldOf(const std::string &Request, const std::string &Name) {
  const auto Start = Request.find("\r\n" + Name + ": ");
  if (Start == std::string::npos)
    return {};
  const auto ValueStart = Start + Name.size() + 4;
  return Request.substr(ValueStart,
                        Request.find("\r\n", ValueStart) - ValueStart);
}

std::string makeAnswer(const std::string &Request, const std::string &Body,
                       const std::string &Status, const std::string &Fields) {
  return "HTTP/1.1 " + Status + "\r\nId: " + fieldOf(Request, "Id") +
         "\r\nProof: p1\r\n" + Fields +
         "Content-Length: " + std::to_string(Body.size()) + "\r\n\r\n" + Body;
}

} // namespace sesamepaddle
