#include "upstream/upstream_stand_in.h"

#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <nlohmann/json.hpp>

#include <cstdlib>
#include <sstream>
#include <utility>

namespace sesamepaddle {

namespace beast = boost::beast;
namespace http = boost::beast::http;

namespace {

using json = nlohmann::json;

constexpr std::size_t MaxBodyBytes = 64 * 1024 * 1024;

http_request fromBeast(http::request<http::string_body> &&Message) {
  http_request Request;
  Request.Method = std::string(Message.method_string());
  Request.Target = std::string(Message.target());
  for (const auto &Field : Message)
    Request.Headers.push_back(
        {std::string(Field.name_string()), std::string(Field.value())});
  Request.Body = std::move(Message.body());
  return Request;
}

std::string toWire(const http_reply &Reply) {
  http::response<http::string_body> Message;
  Message.version(11);
  Message.result(Reply.Status);
  for (const auto &Header : Reply.Headers)
    Message.insert(Header.Name, Header.Value);
  Message.body() = Reply.Body;
  Message.prepare_payload();
  std::ostringstream Stream;
  Stream << Message;
  return Stream.str();
}

awaitable<void> pause(asio::io_context &Context,
                      std::chrono::milliseconds Time) {
  asio::steady_timer Timer(Context, Time);
  co_await Timer.async_wait(asio::use_awaitable);
}

http_reply makeShedReply() {
  http_reply Reply = makeJsonReply(503, "{\"error\":\"shed\"}\n");
  Reply.Headers.push_back({"Sesamepaddle-Outcome", "not-run"});
  return Reply;
}

} // namespace

struct upstream_stand_in::connection {
  tcp::socket Socket;
  std::uint64_t Number; ///< 1 for the first accepted connection
  beast::flat_buffer Buffer;

  /** @returns false when the connection failed. */
  awaitable<bool> send(std::string_view Bytes) {
    boost::system::error_code Error;
    co_await asio::async_write(
        Socket, asio::buffer(Bytes),
        asio::redirect_error(asio::use_awaitable, Error));
    co_return !Error;
  }

  /** Closes the connection with a TCP reset. */
  void reset() {
    boost::system::error_code Ignored;
    Socket.set_option(asio::socket_base::linger(true, 0), Ignored);
    Socket.close(Ignored);
  }
};

upstream_stand_in::upstream_stand_in(asio::io_context &Context,
                                     upstream_settings Settings)
    : Context(Context), Acceptor(Context), Settings(std::move(Settings)) {}

tcp::endpoint upstream_stand_in::listen(const tcp::endpoint &Address) {
  Acceptor = tcp::acceptor(Context, Address);
  asio::co_spawn(Context, acceptAll(), asio::detached);
  return Acceptor.local_endpoint();
}

awaitable<void> upstream_stand_in::acceptAll() {
  for (;;) {
    boost::system::error_code Error;
    tcp::socket Socket = co_await Acceptor.async_accept(
        asio::redirect_error(asio::use_awaitable, Error));
    if (Error)
      continue;
    Socket.set_option(tcp::no_delay(true), Error);
    auto Connection = std::make_shared<connection>(
        connection{std::move(Socket), ++Connections, {}});
    asio::co_spawn(Context, serve(std::move(Connection)), asio::detached);
  }
}

awaitable<void>
upstream_stand_in::serve(std::shared_ptr<connection> Connection) {
  bool IsOpen = true;
  while (IsOpen) {
    http::request_parser<http::string_body> Parser;
    Parser.body_limit(MaxBodyBytes);
    boost::system::error_code Error;
    co_await http::async_read(Connection->Socket, Connection->Buffer, Parser,
                              asio::redirect_error(asio::use_awaitable, Error));
    if (Error)
      co_return;
    if (Connection->Number <= LastSilentConnection)
      continue;
    IsOpen = co_await serveOne(*Connection, fromBeast(Parser.release()));
  }
}

awaitable<bool> upstream_stand_in::serveOne(connection &Connection,
                                            const http_request &Request) {
  const auto Path = targetPath(Request.Target);
  if (Path == "/faults")
    co_return co_await Connection.send(toWire(setFaults(Request)));
  if (Path == "/load")
    co_return co_await Connection.send(
        toWire(makeJsonReply(200, describeLoad())));
  if (Path == "/runs")
    co_return co_await Connection.send(
        toWire(makeJsonReply(200, describeRuns())));
  if (Faults.IsShedding || Running >= Settings.Slots)
    co_return co_await Connection.send(toWire(makeShedReply()));
  co_return co_await run(Connection, Request);
}

awaitable<bool> upstream_stand_in::run(connection &Connection,
                                       const http_request &Request) {
  const upstream_fault Fault = takeFault();
  if (Fault == upstream_fault::ResetBeforeReading ||
      Fault == upstream_fault::ResetAfterReading) {
    Connection.reset();
    co_return false;
  }
  ++Running;
  ++Runs;
  const auto Identifier =
      findHeader(Request.Headers, "Sesamepaddle-Identifier");
  if (!Identifier.empty())
    ++RunsByIdentifier[std::string(Identifier)];
  if (!Faults.CrashBody.empty() && Request.Body == Faults.CrashBody)
    std::_Exit(3);
  co_await pause(Context, Settings.Delay);
  --Running;
  const bool Fails = Runs % 100 < Settings.FailPercent;
  const std::string Wire =
      toWire(Fails ? makeJsonReply(500, "{\"error\":\"failed\"}\n")
                   : makeJsonReply(200, describe(Request)));
  if (Fault == upstream_fault::None)
    co_return co_await Connection.send(Wire);
  co_return co_await sendFaulty(Connection, Fault, Wire);
}

awaitable<bool> upstream_stand_in::sendFaulty(connection &Connection,
                                              upstream_fault Fault,
                                              const std::string &Wire) const {
  const std::string_view Half(Wire.data(), Wire.size() / 2);
  switch (Fault) {
  case upstream_fault::ResetMidAnswer:
    co_await Connection.send(Half);
    [[fallthrough]];
  case upstream_fault::ResetAfterRunning:
    Connection.reset();
    co_return false;
  case upstream_fault::CutShort:
    co_await Connection.send(Half);
    co_return false;
  case upstream_fault::OverLong:
    co_return co_await Connection.send(Wire + "and more");
  case upstream_fault::Repeated:
    co_return co_await Connection.send(Wire + Wire);
  case upstream_fault::Late:
    co_await pause(Context, std::chrono::milliseconds(Faults.LateMilliseconds));
    break;
  case upstream_fault::None:
  case upstream_fault::ResetBeforeReading:
  case upstream_fault::ResetAfterReading:
    break;
  }
  co_return co_await Connection.send(Wire);
}

http_reply upstream_stand_in::setFaults(const http_request &Request) {
  const json Wanted = json::parse(Request.Body, nullptr, false);
  if (!updateFaults(Faults, Wanted))
    return makeJsonReply(400, "{\"error\":\"unknown fault\"}\n");
  if (Wanted.value("silence_open", false))
    LastSilentConnection = Connections;
  return makeJsonReply(200, "{}\n");
}

upstream_fault upstream_stand_in::takeFault() {
  if (Faults.Count == 0)
    return upstream_fault::None;
  if (Faults.Count > 0)
    --Faults.Count;
  return Faults.Fault;
}

std::string upstream_stand_in::describe(const http_request &Request) const {
  json Headers = json::object();
  for (const auto &Header : Request.Headers)
    Headers[Header.Name] = Header.Value;
  return json({{"upstream", Settings.Name},
               {"run", Runs},
               {"method", Request.Method},
               {"target", Request.Target},
               {"headers", Headers},
               {"body", Request.Body}})
             .dump() +
         "\n";
}

std::string upstream_stand_in::describeRuns() const {
  return json({{"runs", Runs}, {"identifiers", RunsByIdentifier}}).dump() +
         "\n";
}

std::string upstream_stand_in::describeLoad() const {
  const long Claimed =
      Faults.ClaimedRunning >= 0 ? Faults.ClaimedRunning : Running;
  return json({{"running", Claimed}, {"slots", Settings.Slots}}).dump() + "\n";
}

} // namespace sesamepaddle
