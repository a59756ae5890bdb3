#include "load/load_run.h"

#include "sesamepaddle/core/failure.h"
#include "sesamepaddle/net/failures.h"

#include <csignal>
#include <iostream>
#include <type_traits>
#include <utility>
#include <vector>

namespace sesamepaddle {

namespace {

using steady = std::chrono::steady_clock;

awaitable<void> waitUntil(asio::io_context &Context, steady::time_point Time) {
  asio::steady_timer Timer(Context, Time);
  co_await Timer.async_wait(asio::use_awaitable);
}

/** @returns the kind under which an answer is counted: its status and, if it
    has one, its outcome. */
std::string kindOf(const http_reply &Reply) {
  const auto Outcome = findHeader(Reply.Headers, "Sesamepaddle-Outcome");
  return std::to_string(Reply.Status) +
         (Outcome.empty() ? "" : " " + std::string(Outcome));
}

} // namespace

load_run::load_run(load_options Options, load_plan Plan)
    : Options(std::move(Options)), Plan(std::move(Plan)),
      Cache(this->Options.LookupSource, this->Options.LookupTarget),
      Arrivals(this->Options.Seed), Choices(this->Options.Seed + 1) {}

latency_report load_run::run() {
  const auto Start = steady::now();
  asio::co_spawn(Context, sendAll(Start), asio::detached);
  asio::co_spawn(Context, injectFaults(Start), asio::detached);
  Context.run();
  return std::move(Report);
}

awaitable<void> load_run::sendAll(steady::time_point Start) {
  std::vector<double> Weights;
  Weights.reserve(Plan.Workspaces.size());
  for (const auto &Workspace : Plan.Workspaces)
    Weights.push_back(Workspace.Weight);
  std::discrete_distribution<std::size_t> Sender(Weights.begin(),
                                                 Weights.end());
  std::exponential_distribution<double> Gap(Options.RatePerSecond);
  double At = Gap(Arrivals);
  while (At < Options.Seconds) {
    const auto Due = Start + std::chrono::duration_cast<steady::duration>(
                                 std::chrono::duration<double>(At));
    const std::size_t Workspace = Sender(Arrivals);
    co_await waitUntil(Context, Due);
    asio::co_spawn(Context, sendOne(Due, Workspace), asio::detached);
    At += Gap(Arrivals);
  }
}

awaitable<void> load_run::sendOne(steady::time_point Due,
                                  std::size_t Workspace) {
  const load_workspace &Sender = Plan.Workspaces[Workspace];
  const std::string Kind = co_await tryEntries(makeRequest(Sender));
  Report.add(Sender.Name, Kind, steady::now() - Due);
}

awaitable<std::string> load_run::tryEntries(const http_request &Request) {
  std::string Kind = "no entry VM";
  for (const auto &Entry : co_await Cache.entries(Client, Choices)) {
    const auto Reply = co_await Client.call(Entry, Request);
    if (Reply.ok())
      co_return kindOf(*Reply);
    Kind = failureName(Reply.status());
    // A retry is safe only if the connection failed: after any other failure
    // the request may have run.
    if (!isFailure(Reply.status(), net_failure::ConnectFailed))
      break;
  }
  co_return Kind;
}

awaitable<void> load_run::injectFaults(steady::time_point Start) {
  for (const auto &Planned : Plan.Faults) {
    co_await waitUntil(Context, Start + Planned.At);
    if (const auto *Signal = std::get_if<signal_fault>(&Planned.Fault)) {
      if (::kill(Signal->Process, Signal->Signal) != 0)
        std::cerr << "could not signal process " << Signal->Process << "\n";
      continue;
    }
    // Not awaited: a stand-in that doesn't answer must not delay later faults.
    asio::co_spawn(Context,
                   injectRequestFault(std::get<request_fault>(Planned.Fault)),
                   asio::detached);
  }
}

awaitable<void> load_run::injectRequestFault(request_fault Fault) {
  http_request Request;
  Request.Method = "POST";
  Request.Target = std::move(Fault.Target);
  Request.Body = std::move(Fault.Body);
  const auto Reply = co_await Client.call(Fault.Server, Request);
  if (!Reply.ok() || Reply->Status >= 300)
    std::cerr << "could not inject a fault: "
              << (Reply.ok() ? Reply->Body : failureName(Reply.status()))
              << "\n";
}

http_request load_run::makeRequest(const load_workspace &Workspace) const {
  http_request Request;
  Request.Method = Options.Method;
  Request.Target = Options.Target;
  Request.Body = Options.Body;
  if (!Workspace.Key.empty())
    Request.Headers.push_back({"Sesamepaddle-Key", Workspace.Key});
  return Request;
}

} // namespace sesamepaddle
