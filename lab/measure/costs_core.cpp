#include "measure/cost_table.h"

#include "sesamepaddle/core/rcu_cell.h"
#include "sesamepaddle/telemetry/metrics.h"

#include <atomic>
#include <memory>
#include <string>
#include <thread>

namespace sesamepaddle {

namespace {

/** Runs @p Operation on several threads at once.
    @returns the processor time of one call in ns, averaged over the threads. */
double nanosecondsOnThreads(std::size_t Threads, std::size_t Calls,
                            const std::function<void()> &Operation) {
  std::atomic<double> Sum{0};
  std::vector<std::thread> Workers;
  Workers.reserve(Threads);
  for (std::size_t Index = 0; Index < Threads; ++Index)
    Workers.emplace_back([&] {
      const double Cost = nanosecondsPerCall(Calls, Operation);
      double Present = Sum.load();
      while (!Sum.compare_exchange_weak(Present, Present + Cost)) {
      }
    });
  for (auto &Worker : Workers)
    Worker.join();
  return Sum.load() / static_cast<double>(Threads);
}

cost_series measureReads(const cost_effort &Effort) {
  const rcu_cell<int> Cell(std::make_shared<int>(1));
  cost_series Series{"rcu read", "threads", {}};
  for (const std::size_t Threads : {1, 2, 4})
    Series.Points.push_back(
        {static_cast<double>(Threads),
         nanosecondsOnThreads(
             Threads, Effort.Calls * 10,
             [&] { Cell.read([](int Value) { return Value; }); }),
         0});
  return Series;
}

cost_series measureAddsByThreads(const cost_effort &Effort) {
  metrics Metrics;
  const workspace_name Workspace("bakery");
  cost_series Series{"metrics add", "threads", {}};
  for (const std::size_t Threads : {1, 2, 4})
    Series.Points.push_back(
        {static_cast<double>(Threads),
         nanosecondsOnThreads(Threads, Effort.Calls,
                              [&] {
                                Metrics.add(Workspace, "place/answered",
                                            std::chrono::milliseconds(5));
                              }),
         0});
  return Series;
}

cost_series measureAddsBySeries(const cost_effort &Effort) {
  cost_series Series{"metrics add", "pairs", {}};
  for (const std::size_t Pairs : {8, 64, 512}) {
    const std::size_t Before = heapBytes();
    metrics Metrics;
    std::vector<workspace_name> Workspaces;
    Workspaces.reserve(Pairs);
    for (std::size_t Index = 0; Index < Pairs; ++Index) {
      Workspaces.emplace_back("workspace-" + std::to_string(Index));
      Metrics.add(Workspaces.back(), "place/answered",
                  std::chrono::milliseconds(5));
    }
    const std::size_t After = heapBytes();
    std::size_t Next = 0;
    const double Cost = nanosecondsPerCall(Effort.Calls, [&] {
      Metrics.add(Workspaces[Next++ % Pairs], "place/answered",
                  std::chrono::milliseconds(5));
    });
    Series.Points.push_back({static_cast<double>(Pairs), Cost,
                             static_cast<double>(After - Before)});
  }
  return Series;
}

} // namespace

std::vector<cost_series> measureCoreCosts(const cost_effort &Effort) {
  return {measureReads(Effort), measureAddsByThreads(Effort),
          measureAddsBySeries(Effort)};
}

} // namespace sesamepaddle
