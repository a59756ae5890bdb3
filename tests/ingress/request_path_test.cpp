#include "ingress/request_path.h"

#include <doctest/doctest.h>

#include <stdexcept>

using namespace sesamepaddle;

// One unexpected error must end one request, not its connection's coroutine
// without an answer, and not the process.
TEST_CASE("an exception in one request ends that request alone") {
  asio::io_context Context(1);
  ingress_options Options;
  Options.Vm.Region = region_name("lima");
  Options.Fields.RequestId = "Id";
  fleet_state Fleet(Options);
  configuration_content Content;
  Content.Version = 1;
  fleet_route Route;
  Route.Prefix = "/";
  Route.Timeout = std::chrono::milliseconds(1'000);
  Route.Services = {{service_name("orders"), 1}};
  Content.RoutesByHost["shop"] = {Route};
  Fleet.setConfiguration(
      std::make_shared<fleet_configuration>(std::move(Content)));
  endpoint_record Record;
  Record.Id = endpoint_id("i-0");
  Record.Address = "127.0.0.1:9";
  Record.Service = service_name("orders");
  Fleet.endpoints().apply(Record, boot_clock::now());
  deadline_queue Deadlines(Context.get_executor());
  const auto Answers = std::make_shared<body_memory>(1'000'000);
  upstream_pool Upstreams("Id", Deadlines, Answers);
  metrics Metrics;
  decision_log Log("test");
  request_path Path(Fleet, Upstreams, Metrics, Log);

  ingress_request Request;
  Request.Message.Headers = {{"Id", "r1"}, {"Host", "shop"}};
  Request.Arrival = boot_clock::now();
  Request.Cancel = std::make_shared<cancel_source>();
  Request.OnWait = [] { throw std::runtime_error("no memory left"); };
  std::optional<http_reply> Reply;
  bool HasThrown = false;
  asio::co_spawn(Context, Path.run(std::move(Request)),
                 [&](const std::exception_ptr &Error, ingress_answer Answer) {
                   HasThrown = Error != nullptr;
                   Reply = std::move(Answer.Reply);
                 });
  Context.run();
  CHECK_FALSE(HasThrown);
  REQUIRE(Reply);
  // It may have run, so it is not called refused.
  CHECK(Reply->Status == 502);
  CHECK(Path.inFlight() == 0);
}
