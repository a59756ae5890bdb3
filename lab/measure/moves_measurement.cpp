#include "measure/moves_measurement.h"

#include "lab_command.h"
#include "measure/moves_model.h"

#include <algorithm>
#include <array>
#include <atomic>
#include <iomanip>
#include <iostream>
#include <string>
#include <thread>

namespace sesamepaddle {

namespace {

constexpr std::array<lab_option, 5> Options = {
    {{"kind", "", "run only kinds of move whose name contains this text"},
     {"moves", "0", "moves of each kind; 0 for 1000, or 12 in a quick run"},
     {"quick", "false", "true: fewer moves, under 40 s"},
     {"seed", "1", "random seed for traffic and faults"},
     {"threads", "4", "threads"}}};

constexpr unsigned MovesOfLongRun = 1'000;
constexpr unsigned MovesOfQuickRun = 12;
// Targets. Shares are fractions of 1.
// Moves with the right outcome: a good version finishes, a bad one rolls back.
constexpr double MinRightShare = 0.99;
// Exposure to a faulty version, 99th percentile; see ExposureAfterFault.
constexpr double MaxExposure = 0.01;
// Growth of the new version's traffic share per minute.
constexpr double MaxGrowthPerMinute = 0.25;
// Allows for rounding errors of the summed shares.
constexpr double GrowthTolerance = 1e-6;

const std::array<model_user, 2> Users = {
    {{"Quispe", {2, 2, 1, 1, 1, 1}, {400, 150, 50}, 25, 2, 4},
     {"Strihova", {2, 2, 2, 2, 1, 1}, {240, 90, 30}, 40, 2, 3}}};

using enum model_fault;
using enum model_onset;

constexpr std::array<model_kind, 15> Kinds = {
    {{"good"},
     {"good, poison request", None, AtOnce, model_disturbance::Poison},
     {"good, dying domain", None, AtOnce, model_disturbance::FailingDomain},
     {"fails at once", Fail, AtOnce},
     {"fails later", Fail, Later},
     {"fails under load", Fail, UnderLoad},
     {"fails on one route", Fail, OneRoute},
     {"fails later, poison", Fail, Later, model_disturbance::Poison},
     {"fails later, dying domain", Fail, Later,
      model_disturbance::FailingDomain},
     {"slow at once", Slow, AtOnce},
     {"slow later", Slow, Later},
     {"slow under load", Slow, UnderLoad},
     {"slow on one route", Slow, OneRoute},
     {"slow later, poison", Slow, Later, model_disturbance::Poison},
     {"slow later, dying domain", Slow, Later,
      model_disturbance::FailingDomain}}};

/** Statistics over all moves of one kind. */
struct kind_summary {
  double RightShare = 0;       ///< of moves with the right outcome
  double MedianExposure = 0;   ///< of ExposureAfterFault
  double P99Exposure = 0;      ///< the 99th percentile
  double LargestGrowth = 0;    ///< of the new version's share, per minute
  double UpdatesPerSecond = 0; ///< updates sent per VM and second
};

bool isGood(const model_kind &Kind) { return Kind.Fault == None; }

kind_summary summarise(const model_kind &Kind,
                       std::vector<model_result> Moves) {
  kind_summary Summary;
  std::vector<double> Exposures;
  for (const auto &Move : Moves) {
    const bool IsRight = isGood(Kind) ? Move.FinishedOnTime : Move.RolledBack;
    Summary.RightShare += IsRight ? 1 : 0;
    Summary.LargestGrowth =
        std::max(Summary.LargestGrowth, Move.LargestGrowthPerMinute);
    Summary.UpdatesPerSecond +=
        Move.UpdatesPerVmSecond / static_cast<double>(Moves.size());
    Exposures.push_back(Move.ExposureAfterFault);
  }
  Summary.RightShare /= static_cast<double>(Moves.size());
  std::ranges::sort(Exposures);
  Summary.MedianExposure = Exposures[Exposures.size() / 2];
  Summary.P99Exposure = Exposures[Exposures.size() * 99 / 100];
  return Summary;
}

std::vector<model_result> runMoves(const model_user &User,
                                   const model_kind &Kind,
                                   const policy_factory &Policy, unsigned Count,
                                   unsigned Threads, std::uint64_t Seed) {
  std::vector<model_result> Results(Count);
  std::atomic<unsigned> Next{0};
  std::vector<std::jthread> Workers;
  for (unsigned Worker = 0; Worker < Threads; ++Worker)
    Workers.emplace_back([&] {
      for (unsigned Move = Next++; Move < Count; Move = Next++)
        Results[Move] = runMove(User, Kind, Policy, Seed * 1'000'003 + Move);
    });
  Workers.clear();
  return Results;
}

void printHeader(const model_user &User, unsigned Moves) {
  std::cout << "\n"
            << User.Name << ", " << Moves << " moves of each kind\n"
            << std::left << std::setw(28) << "kind" << std::right
            << std::setw(9) << "right %" << std::setw(9) << "target"
            << std::setw(9) << "thresh." << std::setw(9) << "static"
            << std::setw(11) << "spent p50" << std::setw(11) << "spent p99"
            << std::setw(9) << "target" << std::setw(11) << "thresh p99"
            << std::setw(9) << "growth" << std::setw(8) << "cap" << std::setw(8)
            << "news/s"
            << "\n";
}

bool printRow(const model_kind &Kind, const kind_summary &Product,
              const kind_summary &Threshold, const kind_summary &Static) {
  const bool IsMet =
      Product.RightShare >= MinRightShare &&
      (isGood(Kind) || Product.P99Exposure < MaxExposure) &&
      Product.LargestGrowth <= MaxGrowthPerMinute + GrowthTolerance;
  std::cout << std::left << std::setw(28) << Kind.Name << std::right
            << std::fixed << std::setprecision(1) << std::setw(9)
            << Product.RightShare * 100 << std::setw(9) << ">=99"
            << std::setw(9) << Threshold.RightShare * 100 << std::setw(9)
            << Static.RightShare * 100 << std::setprecision(2) << std::setw(10)
            << Product.MedianExposure * 100 << "%" << std::setw(10)
            << Product.P99Exposure * 100 << "%" << std::setw(9)
            << (isGood(Kind) ? "-" : "<1%") << std::setw(10)
            << Threshold.P99Exposure * 100 << "%" << std::setw(8)
            << Product.LargestGrowth * 100 << "%" << std::setw(7)
            << MaxGrowthPerMinute * 100 << "%" << std::setw(8)
            << Product.UpdatesPerSecond << "  " << (IsMet ? "met" : "MISSED")
            << std::endl;
  return IsMet;
}

} // namespace

int runMovesMeasurement(std::span<char *const> Arguments) {
  int ExitCode = 0;
  const auto Parsed = lab_options::parse(Arguments, Options, ExitCode);
  if (!Parsed)
    return ExitCode;
  const auto RequestedMoves = static_cast<unsigned>(Parsed->number("moves"));
  const unsigned DefaultMoves =
      Parsed->flag("quick") ? MovesOfQuickRun : MovesOfLongRun;
  const unsigned Count = RequestedMoves > 0 ? RequestedMoves : DefaultMoves;
  // Fewer moves are enough to estimate the baselines' figures.
  const unsigned BaselineCount = std::max(MovesOfQuickRun / 2, Count / 20);
  const auto Threads = static_cast<unsigned>(Parsed->number("threads"));
  const auto Seed = static_cast<std::uint64_t>(Parsed->number("seed"));
  bool AreMet = true;
  for (const auto &User : Users) {
    printHeader(User, Count);
    for (const auto &Kind : Kinds) {
      if (Kind.Name.find(Parsed->text("kind")) == std::string_view::npos)
        continue;
      const auto Run = [&](const policy_factory &Policy, unsigned Moves) {
        return summarise(Kind,
                         runMoves(User, Kind, Policy, Moves, Threads, Seed));
      };
      const auto Product = Run(makeProductPolicies, Count);
      const auto Threshold = Run(makeThresholdPolicies, BaselineCount);
      const auto Static = Run(makeStaticPolicies, BaselineCount);
      AreMet = printRow(Kind, Product, Threshold, Static) && AreMet;
    }
  }
  return AreMet ? 0 : 1;
}

} // namespace sesamepaddle
