#ifndef SESAMEPADDLE_LOAD_BALANCING_PLACEMENT_H
#define SESAMEPADDLE_LOAD_BALANCING_PLACEMENT_H

#include "sesamepaddle/load_balancing/endpoint_registry.h"

#include <cstddef>
#include <functional>
#include <set>
#include <span>

namespace sesamepaddle {

/** Which versions of a service may run a request; any by default. */
struct version_choice {
  version_name RequiredVersion; ///< if not empty, no other version
  version_name ExcludedVersion; ///< if not empty, any version but this one
  /** The request was drawn for the new version of a rollout. */
  bool IsNew = false;
  /** Number of the request in the trial of the new version; 0: none. */
  std::uint64_t Trial = 0;
};

/** What a request requires of its endpoint. */
struct placement_request {
  std::uint64_t ObjectHash = 0; ///< identifies the object, the same on all VMs
  region_name CallerRegion;
  std::span<const region_name> RouteHomes;     ///< allowed; empty: all
  std::span<const region_name> WorkspaceHomes; ///< allowed; empty: all
  std::span<const endpoint_pointer> Excluded;  ///< already tried
  version_choice Version;
};

/** Current restrictions of the fleet. */
struct placement_limits {
  std::set<failure_domain_name> EvacuatedDomains; ///< get no requests
  /** Requests per second that a cold endpoint tolerates from all VMs together;
      0: no limit. */
  double ColdRequestsPerSecond = 0;
  std::size_t Vms = 1;    ///< number of VMs that may send to the same endpoint
  std::size_t VmRank = 0; ///< position of this VM among them, from 0
};

/** Tuning parameters of placeRequest(). Load is in requests per slot. */
struct placement_options {
  /** Rendezvous weight of an endpoint in another region, relative to 1 for one
      in the caller's region; see docs/design/ingress.md. */
  double RemoteWeight = 0.15;
  /** Load from which an endpoint counts as full, so that the next one in the
      object's order is considered. */
  double FullLoad = 1.6;
  /** The same for an endpoint that knows the object. Higher, since waiting
      there for a while takes less time than running at an endpoint without
      it. */
  double KnownObjectFullLoad = 2.2;
  /** Cost of a request at an endpoint that does not know the object, relative
      to 1 at one that does. The work is 3.3 times as much; the cost is higher
      because other requests cannot use the slot for as long. */
  double UnknownObjectCost = 4.0;
  /** An endpoint that knows fewer objects than this gets those for which it
      ranks first, even if another one knows them, so that new endpoints get
      requests soon. */
  std::size_t MinKnownObjects = 2;
  /** How many endpoints that do not know the object are considered before the
      request goes to the one of lowest cost. */
  std::size_t MaxCandidates = 3;
};

/** Whether an endpoint was chosen, or why not. */
enum class placement_result : std::uint8_t {
  Placed,
  NoEndpoint, ///< no endpoint may be used
  AllQuiet,   ///< all endpoints that may be used have asked for no requests
  AllFull, ///< all usable ones are cold, and this VM may not send to them now
};

/** The result of placeRequest(). */
struct placed_endpoint {
  placement_result Result = placement_result::NoEndpoint;
  endpoint_pointer Endpoint; ///< null unless Placed
  /** When the first of the endpoints wants requests again, if AllQuiet. */
  time_point QuietUntil{};
};

/** @returns true when the request may be sent to the endpoint, whether or not
   it should be. */
bool mayUse(const fleet_endpoint &Endpoint, const placement_request &Request,
            const placement_limits &Limits, time_point Now);

/** Chooses the endpoint for a request.

    Endpoints that know the object come first, those in the caller's region
    before others, then the rest in weighted rendezvous order. An endpoint that
    is full, failing, or cold and at its request limit is passed over for the
    next one. A request to a cold endpoint is counted against its limit at once.
    @see endpoint_registry */
placed_endpoint placeRequest(std::span<const endpoint_pointer> Endpoints,
                             const placement_request &Request,
                             const placement_limits &Limits,
                             const placement_options &Options, time_point Now);

} // namespace sesamepaddle

#endif
