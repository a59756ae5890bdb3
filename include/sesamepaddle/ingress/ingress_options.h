#ifndef SESAMEPADDLE_INGRESS_INGRESS_OPTIONS_H
#define SESAMEPADDLE_INGRESS_INGRESS_OPTIONS_H

#include "sesamepaddle/admission/attempt_budget.h"
#include "sesamepaddle/core/identifiers.h"
#include "sesamepaddle/ingress/row_freshness.h"
#include "sesamepaddle/load_balancing/placement.h"
#include "sesamepaddle/moves/fleet_rollout.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <limits>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace sesamepaddle {

/** Names of the header fields that callers, VMs and endpoints agree on. */
struct request_field_names {
  std::string RequestId;        ///< identifies one attempt of a caller
  std::string Object;           ///< the object that the request concerns
  std::string DeadlineMs;       ///< milliseconds left until the deadline
  std::string Key;              ///< a workspace's key; never forwarded
  std::string Workspace;        ///< name of the workspace, set by the VM
  std::string ExpectedEndpoint; ///< identifier of the endpoint, set by the VM
  std::string EndpointProof;    ///< present in every answer of an endpoint
  std::string NotRun;  ///< set by an endpoint that did not run the request
  std::string Load;    ///< load of the endpoint, see load_report.h
  std::string Leaving; ///< "1": the endpoint takes no new requests
};

/** Who this VM is and where it listens. */
struct vm_profile {
  vm_name Name;
  incarnation Incarnation{};
  region_name Region;
  failure_domain_name FailureDomain;
  /** Processor time of the VM, in cores; 0: unknown. */
  double Cores = 0;
  std::string CallerAddress;
  std::string ReadinessAddress; ///< HTTP, as the two below
  std::string DirectoryAddress;
  std::string MetricsAddress;  ///< empty: none
  std::string PeerHttpAddress; ///< for data too large for a datagram
  std::string GossipAddress;   ///< UDP
  std::vector<std::string> SeedGossipAddresses; ///< used until a VM is known
};

/** Location of the caller that looks up VMs in the directory. */
struct directory_query {
  region_name Region;
  failure_domain_name FailureDomain;
};

/** Parses directory requests and formats the responses. */
struct directory_codec {
  std::function<directory_query(std::string_view Target)> Read;
  /** @returns a body with the addresses and its lifetime in seconds. */
  std::function<std::string(std::span<const std::string> Addresses,
                            double Seconds)>
      Write;
};

/** URL paths that a VM serves besides callers' requests. */
struct node_paths {
  std::string Readiness;
  std::string Directory;
  std::string Metrics = "/metrics";
};

/** Where VMs of the fleet may be; the same on all VMs. */
struct fleet_places {
  std::vector<region_name> Regions;
  std::vector<failure_domain_name> FailureDomains;
};

/** The tolerated overshoot of workspaces' limits. @see quota_terms */
struct quota_tolerance {
  std::chrono::milliseconds Window{5'000};
  double Overshoot = 0.1; ///< ratio to what a window allows
  double Slack = 20;      ///< requests
};

/** @returns limits that allow any number of retries. */
inline attempt_limits unlimitedAttempts() {
  attempt_limits Limits;
  Limits.Slack = std::numeric_limits<double>::infinity();
  return Limits;
}

/** Limits that are the same on all VMs. An absent one means that there is no
    such limit. */
struct fleet_bounds {
  attempt_limits Attempts; ///< absent: unlimitedAttempts()
  /** Absent: no rollout is taken up. */
  std::optional<rollout_limits> Rollout = rollout_limits{};
  /** Absent: no workspace is limited. */
  std::optional<quota_tolerance> Quota = quota_tolerance{};
  row_bounds Rows;
  /** From SIGTERM to SIGKILL; absent: a stop may take any time. */
  std::optional<std::chrono::milliseconds> GracePeriod{6'000};
  /** The directory omits a VM that has sent no message for this long, or for
      some message intervals if that is longer. */
  std::chrono::milliseconds VmSilence{2'500};
  std::size_t MemoryBytes = 256U * 1024 * 1024; ///< of one VM
  std::size_t Descriptors = 4'096;              ///< that one VM may have open
};

/** Limits of the requests that run before earlier ones of their connection have
    been answered. A connection at a limit is not read further; the first
    request of a connection without an answer always runs. */
struct ahead_limits {
  std::size_t ConnectionRequests = 32;
  /** Request bodies, and answers that wait for earlier ones. */
  std::size_t ConnectionBytes = 1024UL * 1024;
  std::size_t VmRequests = 1'024;          ///< of all connections
  std::size_t VmBytes = 8UL * 1024 * 1024; ///< of all connections
};

/** Options of an ingress node. */
struct ingress_options {
  vm_profile Vm;
  fleet_places Places;
  request_field_names Fields;
  node_paths Paths;
  directory_codec Directory;
  fleet_bounds Bounds;
  ahead_limits Ahead;
  placement_options Placement;
};

} // namespace sesamepaddle

#endif
