#include "ingress/caller_session.h"
#include "support/raw_connection.h"

#include <doctest/doctest.h>

using namespace sesamepaddle;
using std::chrono::milliseconds;

namespace {

/** A session without a VM, on an event loop that the test runs. */
struct session_bed {
  session_bed() {
    asio::co_spawn(Context, Session->run(), asio::detached);
    Context.run_for(milliseconds(50));
  }

  static ingress_options makeOptions() {
    ingress_options Options;
    Options.Fields.RequestId = "Id";
    return Options;
  }

  /** Makes all requests wait for an endpoint that never answers. */
  void useSilentEndpoint() {
    configuration_content Content;
    Content.Version = 1;
    fleet_route Route;
    Route.Prefix = "/";
    Route.Timeout = std::chrono::seconds(60);
    Route.Services = {{service_name("orders"), 1}};
    Content.RoutesByHost["shop.example"] = {Route};
    Fleet.setConfiguration(
        std::make_shared<fleet_configuration>(std::move(Content)));
    endpoint_record Record;
    Record.Id = endpoint_id("i-0");
    Record.Address =
        "127.0.0.1:" + std::to_string(Silent.local_endpoint().port());
    Record.Service = service_name("orders");
    Fleet.endpoints().apply(Record, boot_clock::now());
  }

  std::shared_ptr<caller_session> accept() {
    auto Socket = Acceptor.accept();
    Socket.non_blocking(true);
    return std::make_shared<caller_session>(std::move(Socket), Shared);
  }

  asio::io_context Context{1};
  tcp::acceptor Acceptor{Context, {asio::ip::address_v4::loopback(), 0}};
  tcp::acceptor Silent{Context, {asio::ip::address_v4::loopback(), 0}};
  raw_connection Caller{Acceptor.local_endpoint()};
  fleet_state Fleet{makeOptions()};
  deadline_queue Deadlines{Context.get_executor()};
  std::shared_ptr<body_memory> Bodies =
      std::make_shared<body_memory>(1'000'000);
  upstream_pool Upstreams{"Id", Deadlines, Bodies};
  metrics Metrics;
  decision_log Log{"test"};
  request_path Path{Fleet, Upstreams, Metrics, Log};
  std::shared_ptr<session_context> Shared =
      std::make_shared<session_context>(session_context{
          Fleet, Path, Deadlines,
          std::make_shared<loop_monitor>(Context, Fleet.overload()), Bodies});
  std::shared_ptr<caller_session> Session = accept();
};

constexpr std::string_view Request =
    "GET /checks/1 HTTP/1.1\r\nHost: shop.example\r\nId: r1\r\n\r\n";

} // namespace

TEST_CASE("an idle connection is not closed over a request that has come") {
  session_bed Bed;
  Bed.Caller.send(Request);
  Bed.Context.run_for(milliseconds(50));
  CHECK(Bed.Caller.readBytes(12, milliseconds(500)) == "HTTP/1.1 503");
  Bed.Caller.readToEnd(milliseconds(50));

  // It is in the socket when the VM looks for idle connections.
  Bed.Caller.send(Request);
  Bed.Shared->IsClosingIdle = true;
  Bed.Session->wake();
  Bed.Context.run_for(milliseconds(50));
  CHECK(Bed.Caller.readBytes(12, milliseconds(500)) == "HTTP/1.1 503");
}

TEST_CASE("an unfinished answer is counted by its cause") {
  session_bed Bed;
  Bed.useSilentEndpoint();
  Bed.Caller.send(Request);
  Bed.Context.run_for(milliseconds(50));
  CHECK(Bed.Session->hasUnfinishedAnswer());
  auto Cause = unfinished_cause::CallerClosed;

  SUBCASE("the caller ends its sending side") { Bed.Caller.shutdownSend(); }
  SUBCASE("the caller resets the connection") {
    Cause = unfinished_cause::CallerReset;
    Bed.Caller.reset();
  }
  SUBCASE("the VM ends") {
    Cause = unfinished_cause::VmEnded;
    Bed.Session->noteUnfinished(Cause);
    Bed.Caller.shutdownSend();
  }
  Bed.Context.run_for(milliseconds(50));
  CHECK(Bed.Shared->Unfinished.count(Cause) == 1);
  CHECK(Bed.Shared->Unfinished.prometheusText().find(
            std::string("{cause=\"") + nameOf(Cause) + "\"} 1\n") !=
        std::string::npos);
}
