#ifndef SESAMEPADDLE_LAB_MEASURE_SHARES_SCENARIO_H
#define SESAMEPADDLE_LAB_MEASURE_SHARES_SCENARIO_H

#include "measure/shares_traffic.h"
#include "sim/share_cluster.h"

#include <optional>

namespace sesamepaddle {

/** How rights are spread over the VMs. */
enum class share_strategy {
  StaticSplit,        ///< each VM has an equal part for good
  DemandProportional, ///< parts follow the demand of the last seconds
  HomeViaAnyVm,       ///< lent to a home; callers go to any VM
  HomeFromLookup,     ///< lent to a home; the look-up names the home
};

/** What a scenario does to the VMs. */
struct share_scenario {
  share_strategy Strategy = share_strategy::HomeFromLookup;
  cluster_layout Layout;
  share_timing Timing;
  duration Length = std::chrono::seconds(120);
  std::uint64_t Seed = 1;
  std::optional<duration> KillInterval;
  bool PartitionsDomain = false; ///< domain 0, from a third to two thirds
  std::optional<std::size_t> OverloadedWorkspace; ///< sends 5 times its rate
};

/** What came out. */
struct share_result {
  double Refused = 0;       ///< share of what one bucket admits
  double RefusedWorst = 0;  ///< the same for the worst-served workspace
  double RefusedOthers = 0; ///< the same without the overloaded workspace
  double WaitP99Ms = 0;     ///< for tokens, without the overloaded workspace
  double LocalShare = 0;
  double InRegionShare = 0;
  double CrossRegionShare = 0;
  double MessagesPerVmSecond = 0;
  double WritesPerSecond = 0;
  std::uint64_t Writes = 0;
  std::uint64_t Kills = 0;
};

/** Runs one scenario in virtual time. */
share_result runShares(const share_scenario &Scenario);

} // namespace sesamepaddle

#endif
