#include "measure/cost_table.h"
#include "measure/sample_documents.h"

#include "sesamepaddle/access/key_table.h"
#include "sesamepaddle/documents/service_document.h"

#include <optional>
#include <string>

namespace sesamepaddle {

namespace {

std::optional<service_document> makeDocument(const sample_size &Size) {
  yaml_errors Errors;
  return parseServiceDocument(sample_documents().text("pedidos", Size),
                              "sample", Errors);
}

cost_series measureKeys(const cost_effort &Effort) {
  cost_series Series{"key look-up", "workspaces", {}};
  for (const std::size_t Workspaces : {8, 128, 2'048}) {
    const auto Document = makeDocument({Workspaces, 1});
    if (!Document)
      continue;
    const std::size_t Before = heapBytes();
    const key_table Keys(*Document);
    const std::size_t After = heapBytes();
    std::vector<std::string> Shown;
    Shown.reserve(Workspaces);
    for (std::size_t Index = 0; Index < Workspaces; ++Index)
      Shown.push_back("key-" + std::to_string(Index));
    std::size_t Next = 0;
    std::size_t Found = 0;
    const double Cost = nanosecondsPerCall(Effort.Calls, [&] {
      Found += Keys.findWorkspace(Shown[Next++ % Workspaces]) ? 1U : 0U;
    });
    if (Found > 0)
      Series.Points.push_back({static_cast<double>(Workspaces), Cost,
                               static_cast<double>(After - Before)});
  }
  return Series;
}

cost_series measureRoutes(const cost_effort &Effort) {
  cost_series Series{"route match", "routes", {}};
  for (const std::size_t Routes : {4, 32, 256}) {
    const auto Document = makeDocument({1, Routes});
    if (!Document)
      continue;
    const std::string Path = "/path" + std::to_string(Routes / 2) + "/7";
    std::size_t Found = 0;
    const double Cost = nanosecondsPerCall(Effort.Calls, [&] {
      Found += Document->findRoute("GET", Path) != nullptr ? 1U : 0U;
    });
    if (Found > 0)
      Series.Points.push_back({static_cast<double>(Routes), Cost, 0});
  }
  return Series;
}

} // namespace

std::vector<cost_series> measureRequestCosts(const cost_effort &Effort) {
  return {measureKeys(Effort), measureRoutes(Effort)};
}

} // namespace sesamepaddle
