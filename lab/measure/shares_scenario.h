#ifndef SESAMEPADDLE_LAB_MEASURE_SHARES_SCENARIO_H
#define SESAMEPADDLE_LAB_MEASURE_SHARES_SCENARIO_H

#include "measure/shares_traffic.h"
#include "sim/share_cluster.h"

#include <optional>

namespace sesamepaddle {

/** How the fleet-wide rate limits of workspaces are distributed over the VMs.
 */
enum class share_strategy {
  StaticSplit,        ///< each VM has a fixed, equal part
  DemandProportional, ///< parts follow the demand of the last 2 s
  HomeViaAnyVm,   ///< VMs lend their parts to the limit's home VM; callers use
                  ///< any VM
  HomeFromLookup, ///< the same, and lookups return the home VM
};

/** The fleet, strategy, length and faults of one run. */
struct share_scenario {
  share_strategy Strategy = share_strategy::HomeFromLookup;
  cluster_layout Layout;
  share_timing Timing;
  duration Length = std::chrono::seconds(120);
  std::uint64_t Seed = 1;
  std::optional<duration> KillInterval; ///< kills the VMs in turn
  /** Partitions failure domain 0 from the others in the middle third. */
  bool PartitionsDomain = false;
  std::optional<std::size_t> OverloadedWorkspace; ///< sends 5 times its rate
};

/** The figures of one run. Shares are fractions of 1. */
struct share_result {
  double Refused = 0; ///< of the requests that one central bucket would admit
  double RefusedWorst = 0;  ///< the same for the workspace refused most
  double RefusedOthers = 0; ///< the same without the overloaded workspace
  double WaitP99Ms = 0; ///< wait for tokens, without the overloaded workspace
  // Requests by where their token came from.
  double LocalShare = 0;          ///< the VM that received the request
  double InRegionShare = 0;       ///< another VM of its region
  double CrossRegionShare = 0;    ///< a VM of another region
  double MessagesPerVmSecond = 0; ///< sent between VMs, per VM and second
  double WritesPerSecond = 0;     ///< to the platform, by all VMs
  std::uint64_t Writes = 0;
  std::uint64_t Kills = 0;
};

/** Runs one scenario in virtual time. */
share_result runShares(const share_scenario &Scenario);

} // namespace sesamepaddle

#endif
