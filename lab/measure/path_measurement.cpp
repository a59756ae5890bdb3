#include "lab_command.h"
#include "load/latency_report.h"
#include "measure/cost_table.h"
#include "measure/path_bench.h"
#include "measure/product_measurements.h"
#include "sesamepaddle/net/http_client.h"

#include <array>
#include <cstdio>
#include <ctime>
#include <iostream>

namespace sesamepaddle {

namespace {

using steady = std::chrono::steady_clock;

constexpr std::array<lab_option, 2> Options = {
    {{"quick", "false", "true: a twentieth of the calls"},
     {"seed", "1", "ignored: nothing is random"}}};

constexpr std::size_t Calls = 20'000;
constexpr std::size_t QuickCalls = 1'000;
constexpr std::size_t LookupConnections = 16;

/** A request and the server and connection it is sent to, directly to the
    upstream or through the VM. */
struct request_path {
  std::string Name;
  tcp::endpoint Server;
  http_request Request;
  connection_choice Connection = connection_choice::PooledOrFresh;
};

std::vector<request_path> makePaths(const path_bench &Bench) {
  const auto Make = [](std::string Target) {
    http_request Request;
    Request.Target = std::move(Target);
    Request.Headers = {{"Sesamepaddle-Key", std::string(BenchKey)}};
    return Request;
  };
  return {
      {"direct, kept connection", Bench.upstream(), Make("/path0/7")},
      {"VM, repeatable route", Bench.entry(),
       Make(std::string(BenchRepeatableTarget))},
      {"direct, new connection", Bench.upstream(), Make("/path1/7"),
       connection_choice::Fresh},
      {"VM, other route", Bench.entry(), Make(std::string(BenchOtherTarget))}};
}

/** Sends one request on each path in turn, so that noise from other processes
    affects all paths alike. */
awaitable<void> sendInTurn(std::vector<request_path> Paths, std::size_t Count,
                           latency_report &Report) {
  http_client Client;
  for (std::size_t Call = 0; Call < Count; ++Call)
    for (const auto &Path : Paths) {
      http_call_options Options;
      Options.Connection = Path.Connection;
      const auto Start = steady::now();
      const auto Reply =
          co_await Client.call(Path.Server, Path.Request, Options);
      Report.add(Path.Name,
                 Reply.ok() ? std::to_string(Reply->Status) : "failed",
                 steady::now() - Start);
    }
}

/** Sends lookups one after another and adds the successful ones to @p Answered.
 */
awaitable<void> sendLookups(tcp::endpoint Entry, std::size_t Count,
                            std::size_t &Answered) {
  http_client Client;
  http_request Request;
  Request.Target = "/lookup";
  for (std::size_t Call = 0; Call < Count; ++Call) {
    const auto Reply = co_await Client.call(Entry, Request);
    Answered += Reply.ok() && Reply->Status == 200 ? 1 : 0;
  }
}

double processNanoseconds() {
  timespec Time{};
  ::clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &Time);
  return static_cast<double>(Time.tv_sec) * 1e9 +
         static_cast<double>(Time.tv_nsec);
}

/** Prints the processor time that a lookup takes in the VM: the time of all
    threads of this process except the calling one, which runs the clients. */
void measureLookups(const path_bench &Bench, std::size_t Count) {
  asio::io_context Context(1);
  std::size_t Answered = 0;
  for (std::size_t Index = 0; Index < LookupConnections; ++Index)
    asio::co_spawn(
        Context,
        sendLookups(Bench.entry(), Count / LookupConnections, Answered),
        asio::detached);
  const double Process = processNanoseconds();
  const double Clients = threadNanoseconds();
  Context.run();
  const double Used =
      (processNanoseconds() - Process) - (threadNanoseconds() - Clients);
  const double Each = Used / static_cast<double>(Answered);
  std::printf("look-ups over HTTP: %zu answered, %.2f us each, %.0f per second "
              "and core\n",
              Answered, Each / 1e3, 1e9 / Each);
}

int measurePath(std::span<char *const> Arguments) {
  int ExitCode = 0;
  const auto Parsed = lab_options::parse(Arguments, Options, ExitCode);
  if (!Parsed)
    return ExitCode;
  const std::size_t Count = Parsed->flag("quick") ? QuickCalls : Calls;
  path_bench Bench(1);
  if (const auto Status = Bench.waitUntilServing(); !Status.ok()) {
    std::cerr << Status.message() << "\n";
    return 1;
  }
  latency_report Report;
  asio::io_context Context(1);
  asio::co_spawn(Context, sendInTurn(makePaths(Bench), Count, Report),
                 asio::detached);
  Context.run();
  Report.printTable(std::cout, "way");
  measureLookups(Bench, Count);
  const bool AllAnswered = Report.count("200") == Report.count();
  return AllAnswered ? 0 : 1;
}

} // namespace

measurement makePathMeasurement() {
  return {"path", "latency added by an entry VM, and lookups per core",
          measurePath};
}

} // namespace sesamepaddle
