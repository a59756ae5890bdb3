#include "sesamepaddle/routing/fleet_configuration.h"

#include "absl/strings/ascii.h"

#include <algorithm>

namespace sesamepaddle {

namespace {

/** @returns @p Host in lower case and without a port. */
std::string canonicalHost(std::string_view Host) {
  std::string Name(Host.substr(0, Host.rfind(':')));
  absl::AsciiStrToLower(&Name);
  return Name;
}

bool contains(std::span<const region_name> Regions, const region_name &Region) {
  return std::find(Regions.begin(), Regions.end(), Region) != Regions.end();
}

} // namespace

const service_name &fleet_route::serviceFor(double Draw) const {
  // The code that reads the configuration should have rejected a route without
  // services. A service with an empty name has no endpoints.
  static const service_name None;
  if (Services.empty())
    return None;
  double Total = 0;
  for (const auto &Candidate : Services)
    Total += Candidate.Weight;
  double Left = Draw * Total;
  for (const auto &Candidate : Services) {
    Left -= Candidate.Weight;
    if (Left < 0)
      return Candidate.Service;
  }
  // Reached through rounding, or when all weights are 0.
  return Services.back().Service;
}

fleet_configuration::fleet_configuration(configuration_content Input)
    : Content(std::move(Input)) {
  std::map<std::string, std::vector<fleet_route>> Canonical;
  // findRoute() takes the first route that matches, so the longest prefixes
  // come first.
  for (auto &[Host, Routes] : Content.RoutesByHost) {
    std::stable_sort(Routes.begin(), Routes.end(),
                     [](const fleet_route &Left, const fleet_route &Right) {
                       return Left.Prefix.size() > Right.Prefix.size();
                     });
    Canonical[canonicalHost(Host)] = std::move(Routes);
  }
  Content.RoutesByHost = std::move(Canonical);
  for (const auto &Workspace : Content.Workspaces)
    for (const auto &Key : Workspace.Keys)
      WorkspaceByKey.emplace(Key, &Workspace);
}

const fleet_route *fleet_configuration::findRoute(std::string_view Host,
                                                  std::string_view Path) const {
  const auto Found = Content.RoutesByHost.find(canonicalHost(Host));
  if (Found == Content.RoutesByHost.end())
    return nullptr;
  for (const auto &Route : Found->second)
    if (Path.starts_with(Route.Prefix))
      return &Route;
  return nullptr;
}

const workspace_terms *
fleet_configuration::findWorkspace(std::string_view Key) const {
  const auto Found = WorkspaceByKey.find(std::string(Key));
  return Found == WorkspaceByKey.end() ? nullptr : Found->second;
}

const workspace_terms *
fleet_configuration::findWorkspaceByName(const workspace_name &Name) const {
  const auto Found = std::find_if(
      Content.Workspaces.begin(), Content.Workspaces.end(),
      [&](const workspace_terms &Terms) { return Terms.Name == Name; });
  return Found == Content.Workspaces.end() ? nullptr : &*Found;
}

const service_terms *
fleet_configuration::findService(const service_name &Service) const {
  const auto Found = std::find_if(
      Content.Services.begin(), Content.Services.end(),
      [&](const service_terms &Terms) { return Terms.Name == Service; });
  return Found == Content.Services.end() ? nullptr : &*Found;
}

std::chrono::milliseconds
fleet_configuration::longestObjective(const service_name &Service) const {
  std::chrono::milliseconds Longest{0};
  for (const auto &[Host, Routes] : Content.RoutesByHost)
    for (const auto &Route : Routes)
      for (const auto &Part : Route.Services)
        if (Part.Service == Service)
          Longest = std::max(Longest, Route.LatencyObjective);
  return Longest;
}

bool isRegionAllowed(const region_name &Region,
                     std::span<const region_name> RouteHomes,
                     std::span<const region_name> WorkspaceHomes) {
  return (RouteHomes.empty() || contains(RouteHomes, Region)) &&
         (WorkspaceHomes.empty() || contains(WorkspaceHomes, Region));
}

} // namespace sesamepaddle
