#ifndef SESAMEPADDLE_ROUTING_FLEET_CONFIGURATION_H
#define SESAMEPADDLE_ROUTING_FLEET_CONFIGURATION_H

#include "sesamepaddle/core/identifiers.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace sesamepaddle {

/** Whether the requests of a route may be repeated. */
enum class request_kind : std::uint8_t {
  Idempotent, ///< may run more than once
  AtMostOnce, ///< must not be sent again once it may have run
};

/** A service that gets a share of a route's requests, by its weight. */
struct weighted_service {
  service_name Service;
  double Weight = 1; ///< relative to the other services of the route
};

/** A route of a host: a path prefix and the services behind it. */
struct fleet_route {
  route_name Name;
  std::string Prefix; ///< begins and ends with a slash
  request_kind Kind = request_kind::AtMostOnce;
  std::chrono::milliseconds Timeout{0};          ///< for a whole request
  std::chrono::milliseconds LatencyObjective{0}; ///< expected latency
  int Priority = 0;                              ///< 0 is the most urgent
  std::vector<weighted_service> Services;
  unsigned MaxAttempts = 1; ///< endpoints that one request may be sent to
  bool IsPublic = false;    ///< takes requests without a key
  bool IsSticky = false;    ///< endpoints are faster on objects they know
  std::vector<region_name> HomeRegions; ///< empty: all regions

  /** Picks a service with a probability proportional to its weight.
      @param Draw  a random number in [0, 1)
      @returns the service, or an empty name if the route has none */
  const service_name &serviceFor(double Draw) const;
};

/** The keys and limits of a workspace, over all VMs together. */
struct workspace_terms {
  workspace_name Name;
  int Priority = 0;
  double RatePerSecond = 0;             ///< requests per second; 0: unlimited
  double Burst = 0;                     ///< requests beyond the rate
  std::vector<std::string> Keys;        ///< with which its callers authenticate
  std::vector<region_name> HomeRegions; ///< empty: all regions
};

/** Limits that protect the endpoints of a service. */
struct service_terms {
  service_name Name;
  std::chrono::milliseconds ColdStart{0}; ///< warm-up time after a start
  /** Requests per second to a cold endpoint from all VMs; 0: unlimited. */
  double ColdRequestsPerSecond = 0;
  unsigned ConnectionLimit = 0; ///< per endpoint, from all VMs together
};

/** Limits of the size and duration of what callers send. */
struct caller_limits {
  std::size_t HeaderBytes = 16 * 1024;
  std::size_t BodyBytes = 64U * 1024 * 1024;
  std::chrono::milliseconds HeaderTimeout{3'000}; ///< to receive a whole header
  std::chrono::milliseconds IdleTimeout{15'000};  ///< between two requests
};

/** The content of a configuration; the input of fleet_configuration. */
struct configuration_content {
  std::uint64_t Version = 0; ///< a later configuration has a larger one
  std::map<std::string, std::vector<fleet_route>> RoutesByHost;
  std::vector<workspace_terms> Workspaces;
  std::vector<service_terms> Services;
  caller_limits Limits;
};

/** An immutable version of the fleet's configuration, with lookups. */
class fleet_configuration {
public:
  explicit fleet_configuration(configuration_content Content);

  std::uint64_t version() const { return Content.Version; }
  const caller_limits &limits() const { return Content.Limits; }
  std::span<const workspace_terms> workspaces() const {
    return Content.Workspaces;
  }
  std::span<const service_terms> services() const { return Content.Services; }

  /** Finds the route with the longest prefix of @p Path among those of @p Host.
      @param Host  as the caller sent it, with or without a port
      @param Path  without its query
      @returns the route, or null */
  const fleet_route *findRoute(std::string_view Host,
                               std::string_view Path) const;

  /** @returns the workspace whose callers authenticate with @p Key, or null. */
  const workspace_terms *findWorkspace(std::string_view Key) const;

  /** @returns the workspace of this name, or null. */
  const workspace_terms *findWorkspaceByName(const workspace_name &Name) const;

  /** @returns the limits of @p Service, or null. */
  const service_terms *findService(const service_name &Service) const;

  /** @returns the longest latency objective of the routes to @p Service; 0 when
      there are none. */
  std::chrono::milliseconds longestObjective(const service_name &Service) const;

  /** @returns true when any workspace is configured. Requests then need a
      key, unless their route is public. */
  bool isKeyRequired() const { return !Content.Workspaces.empty(); }

private:
  configuration_content Content;
  /** The pointers point into Content. */
  std::unordered_map<std::string, const workspace_terms *> WorkspaceByKey;
};

using configuration_pointer = std::shared_ptr<const fleet_configuration>;

/** @returns true when each list of home regions is empty or contains
    @p Region. */
bool isRegionAllowed(const region_name &Region,
                     std::span<const region_name> RouteHomes,
                     std::span<const region_name> WorkspaceHomes);

} // namespace sesamepaddle

#endif
