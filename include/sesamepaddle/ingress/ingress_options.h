#ifndef SESAMEPADDLE_INGRESS_INGRESS_OPTIONS_H
#define SESAMEPADDLE_INGRESS_INGRESS_OPTIONS_H

#include "sesamepaddle/admission/attempt_budget.h"
#include "sesamepaddle/core/identifiers.h"
#include "sesamepaddle/moves/fleet_rollout.h"
#include "sesamepaddle/placing/placement.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace sesamepaddle {

/** The header fields that callers, VMs and endpoints agree on. */
struct request_field_names {
  std::string RequestId;        ///< of one attempt of a caller
  std::string Object;           ///< what the request concerns
  std::string DeadlineMs;       ///< milliseconds that are left
  std::string Key;              ///< a workspace's key; never passed on
  std::string Workspace;        ///< set for endpoints
  std::string ExpectedEndpoint; ///< set for endpoints
  std::string EndpointProof;    ///< every answer of an endpoint bears it
  std::string NotRun;           ///< an endpoint's word that it did not run it
  std::string Load;             ///< running, waiting, slots
};

/** Who this VM is and where it listens. */
struct vm_profile {
  vm_name Name;
  incarnation Incarnation{};
  region_name Region;
  failure_domain_name FailureDomain;
  std::string CallerAddress;
  std::string ReadinessAddress;
  std::string DirectoryAddress;
  std::string MetricsAddress;  ///< empty: none
  std::string PeerHttpAddress; ///< for what does not fit into a datagram
  std::string GossipAddress;   ///< UDP
  std::vector<std::string> SeedGossipAddresses;
};

/** Who asks the directory, and for what. */
struct directory_query {
  region_name Region;
  failure_domain_name FailureDomain;
};

/** How questions to the directory and its answers are written. */
struct directory_codec {
  std::function<directory_query(std::string_view Target)> Read;
  /** @returns a body with the addresses and the seconds that it holds. */
  std::function<std::string(std::span<const std::string> Addresses,
                            double Seconds)>
      Write;
};

/** The paths of what others ask a VM for. */
struct node_paths {
  std::string Readiness;
  std::string Directory;
  std::string Metrics = "/metrics";
};

/** Bounds that hold over all VMs together. */
struct fleet_bounds {
  attempt_limits Attempts;
  rollout_limits Rollout;
  std::chrono::milliseconds QuotaWindow{5'000};
  double QuotaOvershoot = 0.1;
  double QuotaSlack = 20;
  std::chrono::milliseconds GracePeriod{6'000}; ///< from SIGTERM to SIGKILL
  /** A VM that is silent this long is not named to callers. */
  std::chrono::milliseconds VmSilence{2'500};
  std::size_t MemoryBytes = 256U * 1024 * 1024;
};

/** Everything an ingress node is started with. */
struct ingress_options {
  vm_profile Vm;
  request_field_names Fields;
  node_paths Paths;
  directory_codec Directory;
  fleet_bounds Bounds;
  placement_options Placement;
};

} // namespace sesamepaddle

#endif
