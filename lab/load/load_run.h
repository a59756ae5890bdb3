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

/** The requests of a run and their rate. Every workspace of the plan sends the
    same request, with its own key. */
struct load_options {
  tcp::endpoint LookupSource; ///< entry VM that look-ups ask first
  std::string LookupTarget = "/lookup";
  std::string Method = "GET";
  std::string Target;
  std::string Body;
  double RatePerSecond = 50;
  double Seconds = 10;
  std::uint64_t Seed = 1;
};

/** Sends open-loop load: arrival times are drawn from a seed, whether or not
    earlier requests have been answered.

    Latency is measured from the time at which a request was due, so that a
    stall of the tool or of the system shows in every request that it delayed.
*/
class load_run {
public:
  load_run(load_options Options, load_plan Plan);

  /** Sends all requests, injects the faults and waits for all answers. */
  latency_report run();

private:
  using steady = std::chrono::steady_clock;

  awaitable<void> sendAll(steady::time_point Start);
  awaitable<void> sendOne(steady::time_point Due, std::size_t Workspace);

  /** Sends a request to the entry VMs in order until one accepts the
      connection. @returns the kind of answer to count. */
  awaitable<std::string> tryEntries(const http_request &Request);

  awaitable<void> injectFaults(steady::time_point Start);
  awaitable<void> injectRequestFault(request_fault Fault);
  http_request makeRequest(const load_workspace &Workspace) const;

  load_options Options;
  load_plan Plan;
  asio::io_context Context{1};
  http_client Client;
  lookup_cache Cache;
  // Separate engines: response times affect how often Choices is drawn from,
  // but must not change arrival times and senders.
  std::mt19937_64 Arrivals;
  std::mt19937_64 Choices;
  latency_report Report;
};

} // namespace sesamepaddle

#endif
