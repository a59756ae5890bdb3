#include "measure/steering_measurement.h"

#include "measure/figure_table.h"
#include "sesamepaddle/core/rcu_cell.h"
#include "sesamepaddle/steering/lookup_table.h"
#include "sesamepaddle/steering/rendezvous.h"

#include <chrono>
#include <random>
#include <string>

namespace sesamepaddle {

namespace {

using clock = std::chrono::steady_clock;

// The largest size that the design has to support.
constexpr unsigned Blocks = 260'000; // of client addresses
constexpr unsigned Sites = 140;      // failure domains with entry VMs
constexpr unsigned Vms = 810;
constexpr unsigned Regions = 9;
// Changes of documents and of VMs; each rebuilds the lookup table.
constexpr double ChangesPerDay = 430 + 230;
constexpr double SecondsPerDay = 86'400;
// The fleet serves 590,000 lookups per second.
constexpr double LookupsPerVmSecond = 590'000.0 / Vms;
// Targets.
constexpr double MaxCoreShare = 0.01; // of one core, for rebuilds or lookups
constexpr double MaxMegabytes = 256;  // for the lookup table
constexpr double MaxMovedOverIdeal = 1.5; // see movedOverIdeal()

double secondsSince(clock::time_point Start) {
  return std::chrono::duration<double>(clock::now() - Start).count();
}

std::vector<client_block> makeBlocks(std::mt19937_64 &Random) {
  std::vector<client_block> Result;
  Result.reserve(Blocks);
  for (unsigned Index = 0; Index < Blocks; ++Index)
    Result.push_back({client_address(static_cast<std::uint32_t>(Random())), 24,
                      static_cast<site_index>(Random() % Sites)});
  return Result;
}

std::vector<entry_candidate> makeVms() {
  std::vector<entry_candidate> Result;
  for (unsigned Index = 0; Index < Vms; ++Index) {
    const unsigned Site = Index % Sites;
    entry_candidate Vm;
    Vm.Name = vm_name("vm-" + std::to_string(Index));
    Vm.Region = region_name("region-" + std::to_string(Site % Regions));
    Vm.FailureDomain =
        failure_domain_name("site-" + std::to_string(1000 + Site));
    Vm.CallerAddress = "10.0.0." + std::to_string(Index) + ":80";
    Result.push_back(std::move(Vm));
  }
  return Result;
}

lookup_query makeQuery(std::uint32_t Client, const std::string &Workspace) {
  lookup_query Query;
  Query.Service = "pedidos";
  Query.Workspace = Workspace;
  Query.Client = client_address(Client);
  return Query;
}

/** @returns the share of (workspace, block) pairs whose first VM differs
   between the tables, divided by the share of VMs that left, which is one VM. 1
   is ideal: only the pairs of that VM move. */
double movedOverIdeal(const lookup_table &Before, const lookup_table &After,
                      std::span<const client_block> Clients,
                      std::mt19937_64 &Random) {
  constexpr unsigned Samples = 200'000;
  unsigned Moved = 0;
  for (unsigned Index = 0; Index < Samples; ++Index) {
    const auto Workspace = "workspace-" + std::to_string(Random() % 5'000);
    const auto Query = makeQuery(
        static_cast<std::uint32_t>(Clients[Random() % Clients.size()].Base),
        Workspace);
    Moved += Before.find(Query).Choices[0].Address ==
                     After.find(Query).Choices[0].Address
                 ? 0
                 : 1;
  }
  return static_cast<double>(Moved) / Samples * Vms;
}

} // namespace

void measureLookups(std::uint64_t Seed, figure_table &Table) {
  std::mt19937_64 Random(Seed);
  const auto BlockList = makeBlocks(Random);
  const auto Map = std::make_shared<const block_map>(BlockList);
  auto VmList = makeVms();
  const auto Domain = VmList[0].FailureDomain;
  const std::chrono::milliseconds TimeToLive(5'000);
  const auto Build = [&] {
    return std::make_shared<const lookup_table>(Map, sitesOfDomains(VmList),
                                                VmList, Domain, TimeToLive);
  };

  auto Start = clock::now();
  const block_map RebuiltMap(BlockList);
  const double MapSeconds = secondsSince(Start);
  Start = clock::now();
  const auto Before = Build();
  const double TableSeconds = secondsSince(Start);

  rcu_cell<lookup_table> Cell(Before);
  constexpr unsigned Lookups = 300'000;
  std::size_t FoundCandidates = 0;
  Start = clock::now();
  for (unsigned Index = 0; Index < Lookups; ++Index) {
    const auto Query =
        makeQuery(static_cast<std::uint32_t>(BlockList[Random() % Blocks].Base),
                  "panaderia");
    FoundCandidates += Cell.read([&](const lookup_table &Current) {
      return Current.find(Query).Choices.size();
    });
  }
  const double PerLookup = secondsSince(Start) / Lookups;

  VmList[17].IsLeaving = true;
  const auto After = Build();
  const double Megabytes = static_cast<double>(Before->memoryBytes()) / 1e6;
  const double RebuildShare =
      (MapSeconds + TableSeconds) * ChangesPerDay / SecondsPerDay;
  // VMs do not all have the same number of pairs. 1 is the mean over all VMs,
  // so the figure of a single VM can be above or below it.
  const double Moved = movedOverIdeal(*Before, *After, BlockList, Random);

  Table.add("table, 260,000 blocks, MB", Megabytes, target_bound::AtMost,
            MaxMegabytes, "36.4 (a byte a block and site)");
  Table.add("bytes a block", static_cast<double>(Map->memoryBytes()) / Blocks,
            target_bound::AtMost, MaxMegabytes * 1e6 / Blocks, "140");
  Table.add("rebuild all, ms", (MapSeconds + TableSeconds) * 1e3,
            target_bound::AtMost,
            MaxCoreShare * SecondsPerDay / ChangesPerDay * 1e3, "-");
  Table.add("rebuild, % of a core", RebuildShare * 100, target_bound::AtMost,
            MaxCoreShare * 100, "-");
  Table.add("one look-up, us", PerLookup * 1e6, target_bound::AtMost,
            MaxCoreShare / LookupsPerVmSecond * 1e6, "-");
  Table.add("moved when a VM leaves, x ideal", Moved, target_bound::AtMost,
            MaxMovedOverIdeal, "-");
  Table.add("look-ups answered, %",
            100.0 * static_cast<double>(FoundCandidates) / Lookups,
            target_bound::AtLeast, 100, "-");
}

} // namespace sesamepaddle
