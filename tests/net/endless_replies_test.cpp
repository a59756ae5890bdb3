#include "sesamepaddle/core/memory.h"
#include "sesamepaddle/net/failures.h"
#include "sesamepaddle/net/http_client.h"
#include "support/process_memory.h"

#include <boost/asio/write.hpp>
#include <doctest/doctest.h>

#include <algorithm>
#include <cstddef>
#include <string>

using namespace sesamepaddle;
using std::chrono::milliseconds;

namespace {

constexpr std::size_t MaxArrivingBytes = 8 * 1024 * 1024;
constexpr std::size_t Calls = 100;
// Each reply without an end: a quarter of the limit, then silence.
constexpr std::size_t PieceBytes = 16 * 1024;
constexpr std::size_t Pieces = 128;
// Buffers of both ends of a connection.
constexpr std::size_t BufferBytes = 128 * 1024;

/** Replies to each request with a head and pieces without an end, or with
    "whole" when its target is /whole. */
class endless_server {
public:
  endless_server(asio::io_context &Shared, std::string Head, std::string Piece)
      : Context(Shared), Head(std::move(Head)), Piece(std::move(Piece)),
        Acceptor(Context, {asio::ip::address_v4::loopback(), 0}) {
    asio::co_spawn(Context, acceptAll(), asio::detached);
  }

  tcp::endpoint address() const { return Acceptor.local_endpoint(); }

private:
  awaitable<void> acceptAll() {
    for (;;)
      asio::co_spawn(Context,
                     serve(co_await Acceptor.async_accept(asio::use_awaitable)),
                     asio::detached);
  }

  awaitable<void> serve(tcp::socket Socket) {
    std::string Request(4'096, '\0');
    boost::system::error_code Error;
    co_await Socket.async_read_some(
        asio::buffer(Request),
        asio::redirect_error(asio::use_awaitable, Error));
    const bool IsWhole = Request.starts_with("GET /whole");
    const std::string Start =
        IsWhole ? "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole" : Head;
    co_await asio::async_write(
        Socket, asio::buffer(Start),
        asio::redirect_error(asio::use_awaitable, Error));
    for (std::size_t Count = 0; !IsWhole && !Error && Count < Pieces; ++Count)
      co_await asio::async_write(
          Socket, asio::buffer(Piece),
          asio::redirect_error(asio::use_awaitable, Error));
    // Until the client closes.
    while (!Error)
      co_await Socket.async_read_some(
          asio::buffer(Request),
          asio::redirect_error(asio::use_awaitable, Error));
  }

  asio::io_context &Context;
  std::string Head;
  std::string Piece;
  tcp::acceptor Acceptor;
};

} // namespace

// The store and other VMs may be in trouble as endpoints may.
TEST_CASE("many replies without an end at once take no more than the limit") {
  returnLargeBlocks();
  std::string Head = "HTTP/1.1 200 OK\r\n";
  std::string Piece(PieceBytes, 'x');
  SUBCASE("in chunks") {
    Head += "Transfer-Encoding: chunked\r\n\r\n";
    Piece = "4000\r\n" + Piece + "\r\n";
  }
  SUBCASE("with a length that is never reached") {
    Head += "Content-Length: 10000000\r\n\r\n";
  }
  SUBCASE("without a length") { Head += "\r\n"; }
  asio::io_context Context{1};
  endless_server Server(Context, Head, Piece);
  http_client Client(MaxArrivingBytes);
  const auto Before = residentBytes();
  auto Most = Before;
  std::size_t Ended = 0;
  std::size_t Whole = 0;
  const auto Call = [&](std::string Target) -> awaitable<void> {
    http_request Request;
    Request.Target = std::move(Target);
    http_call_options Options;
    Options.Timeout = milliseconds(3'000);
    Options.Connection = connection_choice::Fresh;
    const auto Reply = co_await Client.call(Server.address(), Request, Options);
    Whole += Reply.ok() && Reply->Body == "whole" ? 1 : 0;
    if (Reply.ok() || Request.Target != "/whole")
      ++Ended;
    Most = std::max(Most, residentBytes());
  };
  for (std::size_t Number = 0; Number < Calls; ++Number) {
    asio::co_spawn(Context, Call("/endless"), asio::detached);
    // Replies with an end arrive meanwhile.
    asio::co_spawn(Context, Call("/whole"), asio::detached);
  }
  while (Ended < 2 * Calls && Context.run_one_for(milliseconds(10'000)) > 0)
    Most = std::max(Most, residentBytes());
  CHECK(Whole == Calls);
  CHECK(Ended == 2 * Calls);
  if (IsResidentExact)
    CHECK(Most - Before < MaxArrivingBytes + 2 * Calls * BufferBytes);
}
