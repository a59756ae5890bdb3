#include "measure/ingress_bench.h"

#include "sesamepaddle/core/text.h"
#include "sesamepaddle/telemetry/log.h"

#include "absl/strings/str_cat.h"

#include <ctime>
#include <fcntl.h>
#include <pthread.h>

namespace sesamepaddle {

namespace {

/** @returns a loopback address with a port that is currently free. */
tcp::endpoint freeEndpoint() {
  asio::io_context Context;
  const tcp::acceptor Acceptor(Context,
                               {asio::ip::make_address("127.0.0.1"), 0});
  return Acceptor.local_endpoint();
}

configuration_pointer makeConfiguration() {
  configuration_content Content;
  Content.Version = 1;
  fleet_route Served;
  Served.Name = route_name("served");
  Served.Prefix = "/served/";
  Served.Kind = request_kind::Idempotent;
  Served.Timeout = std::chrono::milliseconds(5'000);
  Served.LatencyObjective = std::chrono::milliseconds(1'000);
  Served.Services = {{service_name("orders"), 1}};
  Served.MaxAttempts = 2;
  Served.IsSticky = true;
  auto Empty = Served;
  Empty.Name = route_name("empty");
  Empty.Prefix = "/empty/";
  Empty.Services = {{service_name("none"), 1}};
  Content.RoutesByHost["shop.example"] = {Served, Empty};
  workspace_terms Open;
  Open.Name = workspace_name("open");
  Open.Keys = {std::string(OpenKey)};
  workspace_terms Spent;
  Spent.Name = workspace_name("spent");
  Spent.Keys = {std::string(SpentKey)};
  Spent.RatePerSecond = 0.01;
  Content.Workspaces = {Open, Spent};
  service_terms Service;
  Service.Name = service_name("orders");
  Content.Services = {Service};
  return std::make_shared<fleet_configuration>(std::move(Content));
}

ingress_options makeOptions(const tcp::endpoint &Directory) {
  ingress_options Options;
  auto &Vm = Options.Vm;
  Vm.Name = vm_name("vm-1");
  Vm.Incarnation = static_cast<incarnation>(1);
  Vm.Region = region_name("lima");
  Vm.FailureDomain = failure_domain_name("lima-a");
  Vm.CallerAddress = formatEndpoint(freeEndpoint());
  Vm.GossipAddress = "127.0.0.1:0";
  Vm.DirectoryAddress = formatEndpoint(Directory);
  Options.Fields = {"Id",       "Object", "Deadline", "Key",  "Workspace",
                    "Expected", "Proof",  "Not-Run",  "Load", "Leaving"};
  Options.Paths = {"/ready", "/directory", "/metrics"};
  Options.Directory.Read = [](std::string_view) {
    return directory_query{region_name("lima"), failure_domain_name("lima-a")};
  };
  Options.Directory.Write = [](std::span<const std::string> Addresses, double) {
    return absl::StrCat("[\"", Addresses.front(), "\"]");
  };
  return Options;
}

} // namespace

ingress_bench::ingress_bench(std::size_t Endpoints)
    : Directory(freeEndpoint()) {
  // As the daemon logs, so that the cost of its lines is measured too.
  configureLogs(log_level::Info, log_layout::Text,
                ::open("/dev/null", O_WRONLY | O_CLOEXEC));
  http_server_limits Limits;
  auto Server = http_server::start(
      EndpointPool, "127.0.0.1:0",
      [](const http_exchange &Exchange) -> awaitable<http_reply> {
        http_reply Reply{200, {}, std::string(400, 'x')};
        Reply.Headers = {
            {"Id", std::string(findHeader(Exchange.Request.Headers, "Id"))},
            {"Proof", "p"},
            {"Load", "1,0,8"}};
        co_return Reply;
      },
      Limits);
  if (!Server.ok()) {
    Status = Server.status();
    return;
  }
  Endpoint = std::move(*Server);
  auto Started = ingress_node::start(VmPool, makeOptions(Directory));
  if (!Started.ok()) {
    Status = Started.status();
    return;
  }
  Node = std::move(*Started);
  Node->fleet().setConfiguration(makeConfiguration());
  addEndpoints(Endpoints);
  Thread = std::thread([this] { Context.run(); });
}

ingress_bench::~ingress_bench() {
  Context.stop();
  if (Thread.joinable())
    Thread.join();
}

void ingress_bench::addEndpoints(std::size_t Count) {
  for (std::size_t Index = 0; Index < Count; ++Index) {
    endpoint_record Record;
    Record.Id = endpoint_id(absl::StrCat("i-", Index));
    Record.Address = formatEndpoint(Endpoint->localEndpoint());
    Record.Service = service_name("orders");
    Record.Region = region_name("lima");
    Record.FailureDomain = failure_domain_name("lima-a");
    Record.Slots = 8;
    Node->fleet().endpoints().apply(Record, boot_clock::now());
  }
}

double ingress_bench::vmNanoseconds() {
  clockid_t Clock{};
  timespec Time{};
  if (::pthread_getcpuclockid(Thread.native_handle(), &Clock) != 0 ||
      ::clock_gettime(Clock, &Time) != 0)
    return 0;
  return static_cast<double>(Time.tv_sec) * 1e9 +
         static_cast<double>(Time.tv_nsec);
}

} // namespace sesamepaddle
