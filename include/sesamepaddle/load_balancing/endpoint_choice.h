#ifndef SESAMEPADDLE_LOAD_BALANCING_ENDPOINT_CHOICE_H
#define SESAMEPADDLE_LOAD_BALANCING_ENDPOINT_CHOICE_H

#include "sesamepaddle/load_balancing/endpoint_registry.h"

#include <cstddef>
#include <cstdint>
#include <span>
#include <string_view>

namespace sesamepaddle {

/** Where an endpoint is, as seen by the VM that chooses. */
enum class endpoint_distance : std::uint8_t {
  SameDomain, ///< the VM's failure domain
  SameRegion, ///< another failure domain of its region
  OtherRegion,
};

/** @returns the name for the log. */
std::string_view nameOf(endpoint_distance Distance);

/** @returns where @p Record is, seen from a place. */
endpoint_distance distanceOf(const endpoint_record &Record,
                             const region_name &Region,
                             const failure_domain_name &Domain);

/** Tuning parameters of chooseEndpoint(). Costs are times relative to the work
    on an object that the endpoint knows. */
struct choice_options {
  /** Rendezvous weight of an endpoint in another failure domain of the region,
      relative to 1 for one in the VM's own: few objects cross, since each of
      their requests costs bytes between domains. */
  double SameRegionWeight = 0.1;
  /** The same for other regions where the callers' shares are unknown. */
  double OtherRegionWeight = 0.15;
  /** Most of a region's objects that stay in it: some go out at any time, so
      that the change is small when its room gets short. */
  double MaxStay = 0.95;
  /** Added to the cost in another domain and in another region. A region is 24
      ms away at 12 ms one way, and work on a known object takes 100 to 300. */
  double SameRegionCost = 0.1;
  double OtherRegionCost = 0.3;
  /** Cost of running an object that the endpoint does not know: 1 / 0.3. */
  double UnknownObjectCost = 3.3;
  /** Endpoints that know the object count as alike if their costs differ by
      less than this many standard deviations of the estimates. */
  double AlikeDeviations = 1;
  /** How many endpoints are compared for an object that none knows. */
  std::size_t NewHomeCandidates = 3;
  /** Expected wait at all endpoints that know the object from which a further
      one is made to know it. */
  double CopyWait = 1.0;
  /** Part of the requests that make one: many VMs see the same wait until the
      news of the new one has come round. */
  double CopyChance = 0.1;
  std::size_t MaxCopies = 3; ///< endpoints that know an object
  /** An endpoint that knows fewer objects than this gets copies of those for
      which it ranks first, by FillChance of their requests. */
  std::size_t MinKnownObjects = 1;
  double FillChance = 0.1;
};

/** Rendezvous weights of endpoints by distance; 1 in the VM's own domain. */
struct distance_weights {
  double SameRegion = 1;
  double OtherRegion = 1;

  double of(endpoint_distance Distance) const;
};

/** Weighs distances so that a region keeps the part of its objects for which it
    has its share of the endpoints, MaxStay at most.
    @param CallerShare  part of the fleet's callers that the region has; 0:
                        unknown */
distance_weights weighDistances(std::span<const endpoint_pointer> Endpoints,
                                const region_name &Region,
                                const failure_domain_name &Domain,
                                double CallerShare,
                                const choice_options &Options);

/** An endpoint that may get the request. */
struct endpoint_candidate {
  endpoint_pointer Endpoint;
  endpoint_distance Distance = endpoint_distance::SameDomain;
  double Rank = 0;          ///< in the object's rendezvous order, highest first
  bool KnowsObject = false; ///< or will, as this VM has just sent it there
};

/** Why an endpoint was chosen. */
enum class choice_reason : std::uint8_t {
  InOrder, ///< by placeRequest()'s order
  Known,   ///< least cost of those that know the object
  Shared,  ///< one of several alike
  NewHome, ///< none knew the object
  Copy,    ///< those that know the object are busy, more will be warm
  Filled,  ///< it knew no objects
  Overflow ///< those that know the object would take longer than a new one
};

/** @returns the name for the log. */
std::string_view nameOf(choice_reason Reason);

/** Who chooses, for what. */
struct choice_request {
  std::uint64_t ObjectHash = 0;
  std::uint64_t ChooserHash = 0; ///< of the VM's name
  double Draw = 1;               ///< random, in [0, 1)
};

struct chosen_endpoint {
  endpoint_pointer Endpoint; ///< null if there is no candidate
  choice_reason Reason = choice_reason::InOrder;
};

/** Chooses among endpoints by news that is older than the requests under way
    there, as many VMs do at the same moment. Which endpoints know an object is
    nearly the same on all VMs; which of them a request gets differs between VMs
    where the news does not tell them apart. See docs/design/even-load.md. */
chosen_endpoint chooseEndpoint(std::span<const endpoint_candidate> Candidates,
                               const choice_request &Request,
                               const choice_options &Options, time_point Now);

} // namespace sesamepaddle

#endif
