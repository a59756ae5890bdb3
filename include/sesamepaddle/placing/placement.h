#ifndef SESAMEPADDLE_PLACING_PLACEMENT_H
#define SESAMEPADDLE_PLACING_PLACEMENT_H

#include "sesamepaddle/placing/endpoint_registry.h"

#include <cstddef>
#include <functional>
#include <set>
#include <span>

namespace sesamepaddle {

/** Which version of a service may run a request; both empty: any. */
struct version_choice {
  version_name RequiredVersion;
  version_name ExcludedVersion;
  bool IsNew = false; ///< the version that a rollout moves to
};

/** What a request needs of its endpoint. */
struct placement_request {
  std::uint64_t ObjectHash = 0; ///< of the object, the same on all VMs
  region_name CallerRegion;
  std::span<const region_name> RouteHomes;
  std::span<const region_name> WorkspaceHomes;
  std::span<const endpoint_pointer> Excluded; ///< tried already
  version_choice Version;
};

/** What the fleet allows just now. */
struct placement_limits {
  std::set<failure_domain_name> EvacuatedDomains;
  /** Requests a second that a cold endpoint tolerates; 0: no limit. */
  double ColdRequestsPerSecond = 0;
  std::size_t Vms = 1;    ///< that may send to the same endpoint
  std::size_t VmRank = 0; ///< of this VM among them
};

/** How placing weighs things. */
struct placement_options {
  /** Chance of an endpoint in another region beside one in the caller's own,
      as of the trials in docs/design/placing.md. */
  double RemoteWeight = 0.15;
  /** Load over slots at which the next endpoint in order takes a request. */
  double FullLoad = 1.6;
  /** The same for an endpoint that knows the object: waiting there for a while
      takes less time than running elsewhere from nothing. */
  double KnownObjectFullLoad = 2.2;
  /** Time that an object takes where it is not known, over that where it is:
      the work is 3.3 times as much, and takes the slots from others as long. */
  double UnknownObjectCost = 4.0;
  /** An endpoint that knows fewer objects than this is given those that fall to
      it, also when another one knows them: new endpoints get work soon. */
  std::size_t MinKnownObjects = 2;
  /** How many endpoints of an object's order are asked before the least loaded
      of these takes the request. */
  std::size_t MaxCandidates = 3;
};

/** Why nothing was chosen. */
enum class placement_result : std::uint8_t {
  Placed,
  NoEndpoint, ///< none that may be used
  AllFull,    ///< those that may be used have all they can take
};

struct placed_endpoint {
  placement_result Result = placement_result::NoEndpoint;
  endpoint_pointer Endpoint;
};

/** Chooses an endpoint: one that knows the object, near first, or else the
    object's first in weighted rendezvous order; the next one where that is
   full, failing or may not take more while cold. A cold endpoint that is chosen
   has the request counted at once.
    @see endpoint_registry */
placed_endpoint placeRequest(std::span<const endpoint_pointer> Endpoints,
                             const placement_request &Request,
                             const placement_limits &Limits,
                             const placement_options &Options, time_point Now);

} // namespace sesamepaddle

#endif
