#include "measure/steering_measurement.h"

#include "lab_command.h"
#include "measure/steering_model.h"

#include <algorithm>
#include <array>
#include <iomanip>
#include <sstream>
#include <string>

namespace sesamepaddle {

namespace {

constexpr std::array<lab_option, 2> Options = {
    {{"quick", "false", "true: fewer repetitions, under 40 s"},
     {"seed", "1", "random seed for traffic and faults"}}};

constexpr unsigned RunsOfLongRun = 20;
constexpr unsigned RunsOfQuickRun = 2;

constexpr std::array<steering_user, 2> Users = {
    {{"Quispe", 3, 800, 500e6, 200e3, 25},
     {"Strihova", 3, 450, 35e6, 100e3, 40}}};

/** @returns the worst value of each figure over several runs. */
steering_result worstOf(const steering_user &User, steering_policy Policy,
                        unsigned Runs, std::uint64_t Seed) {
  steering_result Worst = runSteering(User, Policy, Seed);
  for (unsigned Run = 1; Run < Runs; ++Run) {
    const auto Next = runSteering(User, Policy, Seed + Run);
    const auto Raise = [](double &Figure, double Other) {
      Figure = std::max(Figure, Other);
    };
    Raise(Worst.RegionOvershoot, Next.RegionOvershoot);
    Raise(Worst.LinkOvershoot, Next.LinkOvershoot);
    Raise(Worst.MedianMilliseconds, Next.MedianMilliseconds);
    Raise(Worst.P99Milliseconds, Next.P99Milliseconds);
    Raise(Worst.RefusedDespiteCapacity, Next.RefusedDespiteCapacity);
    Raise(Worst.UnsettledShare, Next.UnsettledShare);
    Worst.Headroom = std::min(Worst.Headroom, Next.Headroom);
    Worst.WorstWorkspace = std::min(Worst.WorstWorkspace, Next.WorstWorkspace);
  }
  return Worst;
}

/** @returns the text of the baseline column. */
std::string baselines(double Static, double LeastLoad) {
  std::ostringstream Text;
  Text << std::fixed << std::setprecision(3) << "static " << Static
       << ", least load " << LeastLoad;
  return Text.str();
}

/** Prints the table of one user. @returns true if all targets are met. */
bool measureLimits(const steering_user &User, unsigned Runs,
                   std::uint64_t Seed) {
  const auto Static = worstOf(User, steering_policy::StaticWeights, Runs, Seed);
  const auto Least = worstOf(User, steering_policy::LeastLoad, Runs, Seed);
  const auto Product = worstOf(User, steering_policy::Product, Runs, Seed);
  figure_table Table(std::string(User.Name) +
                     ": a step in load, a region lost, an overload");
  const auto Add = [&](std::string_view Name, double steering_result::*Figure,
                       target_bound Side, double Target) {
    Table.add(Name, Product.*Figure, Side, Target,
              baselines(Static.*Figure, Least.*Figure));
  };
  Add("overshoot of a region, worst second", &steering_result::RegionOvershoot,
      target_bound::AtMost, 0);
  Add("overshoot of a link, worst second", &steering_result::LinkOvershoot,
      target_bound::AtMost, 0);
  Add("headroom, smallest margin", &steering_result::Headroom,
      target_bound::AtLeast, 0);
  Add("latency p50, ms", &steering_result::MedianMilliseconds,
      target_bound::AtMost,
      std::min(Static.MedianMilliseconds, Least.MedianMilliseconds) * 1.1);
  Add("latency p99, ms", &steering_result::P99Milliseconds,
      target_bound::AtMost,
      std::min(Static.P99Milliseconds, Least.P99Milliseconds));
  Add("refused although there was room",
      &steering_result::RefusedDespiteCapacity, target_bound::AtMost, 0.01);
  Add("settled late, part of traffic", &steering_result::UnsettledShare,
      target_bound::None, 0);
  Add("worst-served workspace in an overload", &steering_result::WorstWorkspace,
      target_bound::AtLeast, 0.95);
  const auto Overclaiming =
      worstOf(User, steering_policy::ProductWithOverclaimingVm, Runs, Seed);
  Table.add("a VM lies: overshoot of a region", Overclaiming.RegionOvershoot,
            target_bound::AtMost, 0, "-");
  Table.add("a VM lies: overshoot of a link", Overclaiming.LinkOvershoot,
            target_bound::AtMost, 0, "-");
  Table.add("a VM lies: refused although there was room",
            Overclaiming.RefusedDespiteCapacity, target_bound::None, 0, "-");
  Table.add("a VM lies: worst-served workspace", Overclaiming.WorstWorkspace,
            target_bound::None, 0, "-");
  return Table.areTargetsMet();
}

} // namespace

int runSteeringMeasurement(std::span<char *const> Arguments) {
  int ExitCode = 0;
  const auto Parsed = lab_options::parse(Arguments, Options, ExitCode);
  if (!Parsed)
    return ExitCode;
  const auto Seed = static_cast<std::uint64_t>(Parsed->number("seed"));
  figure_table Table("Look-ups: 260,000 blocks, 140 sites, 810 VMs");
  measureLookups(Seed, Table);
  bool AreMet = Table.areTargetsMet();
  const unsigned Runs = Parsed->flag("quick") ? RunsOfQuickRun : RunsOfLongRun;
  for (const auto &User : Users)
    AreMet = measureLimits(User, Runs, Seed) && AreMet;
  return AreMet ? 0 : 1;
}

} // namespace sesamepaddle
