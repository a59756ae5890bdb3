#ifndef SESAMEPADDLE_LAB_LOAD_LOAD_RUN_H
#define SESAMEPADDLE_LAB_LOAD_LOAD_RUN_H

#include "load/latency_report.h"
#include "load/load_plan.h"
#include "load/lookup_cache.h"
#include "sesamepaddle/net/http_client.h"

#include <chrono>
#include <cstdint>
#include <random>
#include <string>

namespace sesamepaddle {

/** What a run sends; the plan says who sends it. */
struct load_options {
  tcp::endpoint LookupSource;
  std::string LookupTarget = "/lookup";
  std::string Method = "GET";
  std::string Target;
  std::string Body;
  double RatePerSecond = 50;
  double Seconds = 10;
  std::uint64_t Seed = 1;
};

/** An open-loop run: requests leave at times that a seed draws in advance,
    whether or not earlier ones have been answered.

    A latency counts from the time at which the request was due, so that a stall
    of the tool or of the system shows in every request that it held up.
*/
class load_run {
public:
  load_run(load_options Options, load_plan Plan);

  /** Sends everything, brings the faults about and waits for all answers. */
  latency_report run();

private:
  using steady = std::chrono::steady_clock;

  awaitable<void> sendAll(steady::time_point Start);
  awaitable<void> sendOne(steady::time_point Due, std::size_t Workspace);
  awaitable<std::string> tryEntries(const http_request &Request);
  awaitable<void> injectFaults(steady::time_point Start);
  awaitable<void> injectRequestFault(request_fault Fault);
  http_request makeRequest(const load_workspace &Workspace) const;

  load_options Options;
  load_plan Plan;
  asio::io_context Context{1};
  http_client Client;
  lookup_cache Cache;
  // Two engines: how long answers take must not change what is sent when.
  std::mt19937_64 Arrivals;
  std::mt19937_64 Choices;
  latency_report Report;
};

} // namespace sesamepaddle

#endif
