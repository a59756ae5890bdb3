#include "measure/shares_measurement.h"

#include "lab_command.h"
#include "measure/shares_scenario.h"

#include <algorithm>
#include <cstdio>
#include <optional>
#include <string>
#include <vector>

namespace sesamepaddle {

namespace {

using std::chrono::seconds;

constexpr double Percent = 100;
// Upper bounds unless said otherwise.
constexpr double QuietTarget = 0.5; ///< percent refused, no VM killed
constexpr double KillTarget = 2;    ///< percent refused while VMs are killed
// Allowed effect of an overloaded workspace on the others.
constexpr double OverloadRefusedMargin = 0.1; ///< percentage points refused
constexpr double OverloadWaitMarginMs = 0.5;  ///< added to the p99 wait
constexpr double LocalTarget = 50;  ///< percent without a hop, a lower bound
constexpr double WriteTarget = 0.1; ///< platform writes per second and VM
constexpr double FleetWriteTarget = 200;        ///< platform writes per second
constexpr double ControlBytesPerSecond = 2'000; ///< per VM
constexpr double MessageBytes = 48; ///< of one message, with framing
// The largest fleet that the design has to support.
constexpr double FleetVms = 810;
constexpr double FleetRestartsPerDay = 233;
constexpr double SecondsPerDay = 86'400;
// Indices into makeWorkspaces().
constexpr std::size_t SmallWorkspace = 7;
constexpr std::size_t LargeWorkspace = 0;
constexpr std::size_t LargerFleet = 24; ///< VMs, to compute a slope per VM

enum class target_kind { None, AtMost, AtLeast };

/** One row of the printed table. */
struct table_line {
  std::string Name;
  std::string Unit;
  double Figure;
  double Baseline;
  target_kind Kind = target_kind::None;
  double Target = 0;

  bool isMissed() const {
    return (Kind == target_kind::AtMost && Figure > Target) ||
           (Kind == target_kind::AtLeast && Figure < Target);
  }
};

void print(const table_line &Line) {
  std::string Target = "-";
  if (Line.Kind != target_kind::None) {
    char Text[32];
    std::snprintf(Text, sizeof Text, "%s %g",
                  Line.Kind == target_kind::AtMost ? "<=" : ">=", Line.Target);
    Target = Text;
  }
  const char *Verdict = Line.isMissed() ? "MISSED" : "met";
  std::printf("%-58s %9.3f %-6s %9s %9.3f  %s\n", Line.Name.c_str(),
              Line.Figure, Line.Unit.c_str(), Target.c_str(), Line.Baseline,
              Line.Kind == target_kind::None ? "-" : Verdict);
}

/** Runs the scenarios and collects the rows of the table. */
class shares_table {
public:
  shares_table(duration Length, std::uint64_t Seed) {
    Base.Length = Length;
    Base.Seed = Seed;
  }

  std::vector<table_line> lines() {
    addStrategies();
    addKills();
    addPartition();
    addOverload(SmallWorkspace, "small");
    addOverload(LargeWorkspace, "large");
    addHops();
    addWrites();
    addMessages();
    return Lines;
  }

private:
  share_result runWith(share_strategy Strategy) const {
    share_scenario Scenario = Base;
    Scenario.Strategy = Strategy;
    return runShares(Scenario);
  }

  void addPercent(const std::string &Name, double Share, double Baseline,
                  std::optional<double> Target = {}) {
    Lines.push_back({Name, "%", Share * Percent, Baseline * Percent,
                     Target ? target_kind::AtMost : target_kind::None,
                     Target.value_or(0)});
  }

  void addStrategies() {
    Static = runWith(share_strategy::StaticSplit);
    const auto Demand = runWith(share_strategy::DemandProportional);
    const auto Anywhere = runWith(share_strategy::HomeViaAnyVm);
    Quiet = runWith(share_strategy::HomeFromLookup);
    addPercent("quiet, static split: refused", Static.Refused, Static.Refused);
    addPercent("quiet, following demand: refused", Demand.Refused,
               Static.Refused);
    addPercent("quiet, home, callers at any VM: refused", Anywhere.Refused,
               Static.Refused);
    addPercent("quiet, home in the look-up: refused", Quiet.Refused,
               Static.Refused, QuietTarget);
    addPercent("quiet, home in the look-up: worst workspace",
               Quiet.RefusedWorst, Static.RefusedWorst, QuietTarget);
  }

  void addKills() {
    share_scenario Scenario = Base;
    Scenario.KillInterval = seconds(10);
    Killed = runShares(Scenario);
    addPercent("a VM killed every 10 s, back after 1 s: refused",
               Killed.Refused, Quiet.Refused, KillTarget);
    addPercent("a VM killed every 10 s, back after 1 s: worst workspace",
               Killed.RefusedWorst, Quiet.RefusedWorst, KillTarget);
  }

  void addPartition() {
    share_scenario Scenario = Base;
    Scenario.PartitionsDomain = true;
    const auto Partitioned = runShares(Scenario);
    addPercent("domain cut off: refused beyond each side's own rights",
               Partitioned.Refused, Quiet.Refused, QuietTarget);
  }

  void addOverload(std::size_t Workspace, const std::string &Size) {
    share_scenario Scenario = Base;
    Scenario.OverloadedWorkspace = Workspace;
    const auto Result = runShares(Scenario);
    addPercent("a " + Size + " workspace at 5 times its rate: others refused",
               Result.RefusedOthers, Quiet.Refused,
               Quiet.Refused * Percent + OverloadRefusedMargin);
    Lines.push_back(
        {"a " + Size + " workspace at 5 times its rate: others' p99", "ms",
         Result.WaitP99Ms, Quiet.WaitP99Ms, target_kind::AtMost,
         Quiet.WaitP99Ms + OverloadWaitMarginMs});
  }

  void addHops() {
    Lines.push_back({"quiet: requests without an extra hop", "%",
                     Quiet.LocalShare * Percent, Percent, target_kind::AtLeast,
                     LocalTarget});
    addPercent("quiet: requests that wait for another region",
               Quiet.CrossRegionShare, 0, 0);
    addPercent("kills: requests that wait for another region",
               Killed.CrossRegionShare, 0, 0);
  }

  void addWrites() {
    const auto Vms = static_cast<double>(Base.Layout.Vms);
    Lines.push_back({"kills: platform writes a second and VM", "1/s",
                     Killed.WritesPerSecond / Vms, Quiet.WritesPerSecond / Vms,
                     target_kind::AtMost, WriteTarget});
    const double PerRestart =
        static_cast<double>(Killed.Writes - Quiet.Writes) /
        static_cast<double>(Killed.Kills);
    Lines.push_back({"810 VMs, computed from writes a restart", "1/s",
                     PerRestart * FleetRestartsPerDay / SecondsPerDay,
                     PerRestart, target_kind::AtMost, FleetWriteTarget});
  }

  // Each home VM sends heartbeats to every VM, so the messages per VM grow with
  // the fleet.
  void addMessages() {
    share_scenario Scenario = Base;
    Scenario.Layout.Vms = LargerFleet;
    const auto Larger = runShares(Scenario);
    const double Slope =
        (Larger.MessagesPerVmSecond - Quiet.MessagesPerVmSecond) /
        static_cast<double>(LargerFleet - Base.Layout.Vms);
    Lines.push_back({"quiet, 8 VMs: messages a second and VM", "1/s",
                     Quiet.MessagesPerVmSecond, 0, target_kind::AtMost,
                     ControlBytesPerSecond / MessageBytes});
    Lines.push_back({"quiet, 24 VMs: messages a second and VM", "1/s",
                     Larger.MessagesPerVmSecond, Quiet.MessagesPerVmSecond});
    // At most SlotCount VMs are homes, so in larger fleets the messages of an
    // average VM no longer grow.
    const double Homes = std::min<double>(FleetVms, SlotCount);
    Lines.push_back({"810 VMs, computed: messages a second and VM", "1/s",
                     Slope * Homes, Quiet.MessagesPerVmSecond,
                     target_kind::AtMost,
                     ControlBytesPerSecond / MessageBytes});
  }

  share_scenario Base;
  share_result Static;
  share_result Quiet;
  share_result Killed;
  std::vector<table_line> Lines;
};

} // namespace

int runSharesMeasurement(std::span<char *const> Arguments) {
  constexpr lab_option Known[] = {
      {"quick", "false", "true: simulate 4 minutes instead of an hour"},
      {"seed", "1", "random seed for the arrivals"},
  };
  int ExitCode = 0;
  const auto Options = lab_options::parse(Arguments, Known, ExitCode);
  if (!Options)
    return ExitCode;
  const seconds Length(Options->flag("quick") ? 240 : 3'600);
  const auto Seed = static_cast<std::uint64_t>(Options->number("seed"));
  std::printf("%-58s %9s %-6s %9s %9s\n", "shares", "figure", "unit", "target",
              "baseline");
  bool IsMissed = false;
  for (const auto &Line : shares_table(Length, Seed).lines()) {
    print(Line);
    IsMissed |= Line.isMissed();
  }
  return IsMissed ? 1 : 0;
}

} // namespace sesamepaddle
