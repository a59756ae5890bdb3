#include "measure/shares_traffic.h"

#include <algorithm>
#include <random>

namespace sesamepaddle {

namespace {

constexpr std::size_t LargeWorkspaces = 2;
constexpr std::size_t SmallWorkspaces = 6;
// Requests per second, and burst in requests.
constexpr limit_shape LargeLimit{100, 100};
constexpr limit_shape SmallLimit{8, 10};
// Between the requests of a batch.
constexpr std::chrono::milliseconds BatchSpacing{1};

void addArrivals(std::vector<traffic_arrival> &Arrivals,
                 const traffic_workspace &Workspace, std::size_t Index,
                 duration Length, std::size_t Callers, std::mt19937_64 Random) {
  const int Burst = static_cast<int>(Workspace.Limit.Burst);
  const double MeanBatch = (1 + Burst) / 2.0;
  std::exponential_distribution<double> Gap(
      Workspace.LoadFactor * Workspace.Limit.RatePerSecond / MeanBatch);
  std::uniform_int_distribution<int> Size(1, Burst);
  std::uniform_int_distribution<std::size_t> Caller(0, Callers - 1);
  std::chrono::duration<double> At{0};
  while (true) {
    At += std::chrono::duration<double>(Gap(Random));
    if (At >= Length)
      return;
    const auto Start = std::chrono::duration_cast<duration>(At);
    const std::size_t From = Caller(Random);
    const int Requests = Size(Random);
    for (int Request = 0; Request < Requests; ++Request)
      Arrivals.push_back({Start + Request * BatchSpacing, Index, From});
  }
}

} // namespace

std::vector<traffic_workspace> makeWorkspaces() {
  std::vector<traffic_workspace> Workspaces;
  for (std::size_t Index = 0; Index < LargeWorkspaces + SmallWorkspaces;
       ++Index)
    Workspaces.push_back({limit_name("workspace-" + std::to_string(Index)),
                          Index < LargeWorkspaces ? LargeLimit : SmallLimit});
  return Workspaces;
}

std::vector<traffic_arrival>
makeArrivals(const std::vector<traffic_workspace> &Workspaces, duration Length,
             std::size_t Callers, std::uint64_t Seed) {
  std::vector<traffic_arrival> Arrivals;
  for (std::size_t Index = 0; Index < Workspaces.size(); ++Index) {
    std::seed_seq Seeds{Seed, std::uint64_t{Index}};
    addArrivals(Arrivals, Workspaces[Index], Index, Length, Callers,
                std::mt19937_64(Seeds));
  }
  std::stable_sort(Arrivals.begin(), Arrivals.end(),
                   [](const auto &First, const auto &Second) {
                     return First.At < Second.At;
                   });
  return Arrivals;
}

} // namespace sesamepaddle
