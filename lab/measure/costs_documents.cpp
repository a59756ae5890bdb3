#include "measure/cost_table.h"
#include "measure/sample_documents.h"

#include "sesamepaddle/entry/service_directory.h"

#include <algorithm>
#include <cstdio>
#include <memory>
#include <string>

namespace sesamepaddle {

namespace {

cost_series measureParsing(const cost_effort &Effort) {
  const sample_documents Documents;
  cost_series Series{"document parse", "workspaces", {}};
  for (const std::size_t Workspaces : {8, 64, 512}) {
    const std::string Text = Documents.text("pedidos", {Workspaces, 4});
    yaml_errors Errors;
    // The first parse makes allocations that the parser keeps; they are not
    // part of a document's size.
    parseServiceDocument(Text, "sample", Errors);
    const std::size_t Before = heapBytes();
    const auto Document = parseServiceDocument(Text, "sample", Errors);
    const std::size_t After = heapBytes();
    const std::size_t Calls =
        std::max<std::size_t>(Effort.Calls / 100 / Workspaces, 1);
    const double Cost = nanosecondsPerCall(Calls, [&] {
      yaml_errors Ignored;
      parseServiceDocument(Text, "sample", Ignored);
    });
    Series.Points.push_back({static_cast<double>(Workspaces), Cost,
                             static_cast<double>(After - Before)});
  }
  return Series;
}

/** Applies the same document repeatedly, each time with a new number. */
cost_series measureApplying(const cost_effort &Effort) {
  const sample_documents Documents;
  cost_series Series{"document apply", "services in force", {}};
  for (const std::size_t Services : {4, 40, 400}) {
    const std::size_t Before = heapBytes();
    const auto Directory = std::make_unique<service_directory>();
    for (std::size_t Index = 0; Index < Services; ++Index) {
      const std::string Name = "service-" + std::to_string(Index);
      const auto Status = Directory->apply(
          Documents.sign(Name, Documents.text(Name, {8, 4}), 1));
      if (!Status.ok())
        std::fprintf(stderr, "%s\n", Status.ToString().c_str());
    }
    const std::size_t After = heapBytes();
    const std::size_t Calls = std::max<std::size_t>(Effort.Calls / 1'000, 1);
    const std::string Text = Documents.text("service-0", {8, 4});
    std::vector<document_envelope> Changes;
    Changes.reserve(5 * Calls);
    // nanosecondsPerCall() repeats the calls five times, and every call needs
    // its own number.
    for (document_number Number = 2; Number < 2 + 5 * Calls; ++Number)
      Changes.push_back(Documents.sign("service-0", Text, Number));
    std::size_t Next = 0;
    const double Cost = nanosecondsPerCall(Calls, [&] {
      Directory->apply(Changes[Next++ % Changes.size()]).IgnoreError();
    });
    Series.Points.push_back({static_cast<double>(Services), Cost,
                             static_cast<double>(After - Before)});
  }
  return Series;
}

} // namespace

std::vector<cost_series> measureDocumentCosts(const cost_effort &Effort) {
  return {measureParsing(Effort), measureApplying(Effort)};
}

} // namespace sesamepaddle
