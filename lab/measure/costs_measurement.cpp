#include "lab_command.h"
#include "measure/cost_table.h"
#include "measure/product_measurements.h"

#include <array>

namespace sesamepaddle {

namespace {

constexpr std::array<lab_option, 2> Options = {
    {{"quick", "false", "true: a twentieth of the calls"},
     {"seed", "1", "ignored: nothing is random"}}};

constexpr std::size_t QuickCalls = 1'000;

int measureCosts(std::span<char *const> Arguments) {
  int ExitCode = 0;
  const auto Parsed = lab_options::parse(Arguments, Options, ExitCode);
  if (!Parsed)
    return ExitCode;
  cost_effort Effort;
  if (Parsed->flag("quick"))
    Effort.Calls = QuickCalls;
  std::vector<cost_series> All;
  for (const auto &Measure :
       {measureCoreCosts, measureDocumentCosts, measureRequestCosts})
    for (auto &Series : Measure(Effort))
      All.push_back(std::move(Series));
  printCosts(All);
  return 0;
}

} // namespace

measurement makeCostsMeasurement() {
  return {"costs",
          "processor time and heap use of single operations at several sizes",
          measureCosts};
}

} // namespace sesamepaddle
