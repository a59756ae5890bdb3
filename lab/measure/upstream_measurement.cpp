#include "measure/upstream_measurement.h"

#include "lab_command.h"
#include "measure/upstream_model.h"

#include <array>
#include <cstdio>

namespace sesamepaddle {

namespace {

constexpr std::array<lab_option, 2> Options = {
    {{"quick", "false", "true: a tenth of the requests"},
     {"seed", "1", "random seed for arrivals and run times"}}};

constexpr std::array Policies = {
    endpoint_choice_policy::RoundRobin, endpoint_choice_policy::LeastReported,
    endpoint_choice_policy::TwoChoices, endpoint_choice_policy::LeastInFlight,
    endpoint_choice_policy::LeastInFlightWaiting};

/** An offered load as a fraction of the capacity, and the target for it. */
struct load_target {
  double Load;
  double RefusedPercent; ///< upper bound
};

constexpr std::array<load_target, 3> Targets = {
    {{0.5, 0.1}, {0.8, 1.0}, {0.95, 5.0}}};

constexpr unsigned LongRunRequests = 300'000;
constexpr unsigned QuickRunRequests = 30'000;

void printRow(const upstream_model_settings &Settings,
              const upstream_model_result &Result) {
  std::printf("%4.0f%%  %-26s %9.2f %9.2f %9.2f %9.3f", Settings.Load * 100,
              choiceName(Settings.Policy).data(), Result.P50Ms, Result.P99Ms,
              Result.P999Ms, Result.RefusedPercent);
}

} // namespace

int runUpstreamMeasurement(std::span<char *const> Arguments) {
  int ExitCode = 0;
  const auto Parsed = lab_options::parse(Arguments, Options, ExitCode);
  if (!Parsed)
    return ExitCode;
  std::printf(
      "12 endpoints of 3 slots, 2 VMs; one endpoint 5 times slower, one "
      "reports no load\n%5s  %-26s %9s %9s %9s %9s  target\n",
      "load", "choice", "p50 ms", "p99 ms", "p99.9 ms", "refused%");
  for (const auto &Target : Targets)
    for (const auto Policy : Policies) {
      upstream_model_settings Settings;
      Settings.Policy = Policy;
      Settings.Load = Target.Load;
      Settings.Requests =
          Parsed->flag("quick") ? QuickRunRequests : LongRunRequests;
      Settings.Seed = static_cast<std::uint64_t>(Parsed->number("seed"));
      const auto Result = runUpstreamModel(Settings);
      printRow(Settings, Result);
      const bool IsProduct =
          Policy == endpoint_choice_policy::LeastInFlightWaiting;
      const bool IsMissed =
          IsProduct && Result.RefusedPercent > Target.RefusedPercent;
      if (IsProduct)
        std::printf("  refused <= %.1f%% %s", Target.RefusedPercent,
                    IsMissed ? "MISSED" : "met");
      std::printf("%s\n", IsProduct ? "" : "  baseline");
      if (IsMissed)
        ExitCode = 1;
    }
  return ExitCode;
}

} // namespace sesamepaddle
