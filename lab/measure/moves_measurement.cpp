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
    {{"kind", "", "only kinds whose name holds this text"},
     {"moves", "0", "moves of each kind; 0: as the run is long"},
     {"quick", "false", "fewer moves, under 40 s"},
     {"seed", "1", "seed of traffic and faults"},
     {"threads", "4", "threads"}}};

constexpr unsigned MovesOfLongRun = 1'000;
constexpr unsigned MovesOfQuickRun = 12;
constexpr double SmallestGoodShare = 0.99;
constexpr double LargestSpent = 0.01;
constexpr double Cap = 0.25;
constexpr double CapTolerance = 1e-6;

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

/** What the moves of one kind came to. */
struct kind_summary {
  double Share = 0; ///< finished on time, or taken back
  double MedianSpent = 0;
  double HighSpent = 0; ///< the 99th percentile
  double LargestGrowth = 0;
  double News = 0; ///< a second and VM
};

bool isGood(const model_kind &Kind) { return Kind.Fault == None; }

kind_summary summarise(const model_kind &Kind,
                       std::vector<model_result> Moves) {
  kind_summary Summary;
  std::vector<double> Spent;
  for (const auto &Move : Moves) {
    const bool IsRight = isGood(Kind) ? Move.FinishedOnTime : Move.RolledBack;
    Summary.Share += IsRight ? 1 : 0;
    Summary.LargestGrowth =
        std::max(Summary.LargestGrowth, Move.LargestGrowthPerMinute);
    Summary.News += Move.UpdatesPerVmSecond / static_cast<double>(Moves.size());
    Spent.push_back(Move.ExposureAfterFault);
  }
  Summary.Share /= static_cast<double>(Moves.size());
  std::ranges::sort(Spent);
  Summary.MedianSpent = Spent[Spent.size() / 2];
  Summary.HighSpent = Spent[Spent.size() * 99 / 100];
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

bool printRow(const model_kind &Kind, const kind_summary &Chosen,
              const kind_summary &Threshold, const kind_summary &Static) {
  const bool IsMet = Chosen.Share >= SmallestGoodShare &&
                     (isGood(Kind) || Chosen.HighSpent < LargestSpent) &&
                     Chosen.LargestGrowth <= Cap + CapTolerance;
  std::cout << std::left << std::setw(28) << Kind.Name << std::right
            << std::fixed << std::setprecision(1) << std::setw(9)
            << Chosen.Share * 100 << std::setw(9) << ">=99" << std::setw(9)
            << Threshold.Share * 100 << std::setw(9) << Static.Share * 100
            << std::setprecision(2) << std::setw(10) << Chosen.MedianSpent * 100
            << "%" << std::setw(10) << Chosen.HighSpent * 100 << "%"
            << std::setw(9) << (isGood(Kind) ? "-" : "<1%") << std::setw(10)
            << Threshold.HighSpent * 100 << "%" << std::setw(8)
            << Chosen.LargestGrowth * 100 << "%" << std::setw(7) << Cap * 100
            << "%" << std::setw(8) << Chosen.News << "  "
            << (IsMet ? "met" : "MISSED") << std::endl;
  return IsMet;
}

} // namespace

int runMovesMeasurement(std::span<char *const> Arguments) {
  int ExitCode = 0;
  const auto Given = lab_options::parse(Arguments, Options, ExitCode);
  if (!Given)
    return ExitCode;
  const auto Wanted = static_cast<unsigned>(Given->number("moves"));
  const unsigned Usual =
      Given->flag("quick") ? MovesOfQuickRun : MovesOfLongRun;
  const unsigned Count = Wanted > 0 ? Wanted : Usual;
  // The baselines' figures are settled with fewer moves.
  const unsigned BaselineCount = std::max(MovesOfQuickRun / 2, Count / 20);
  const auto Threads = static_cast<unsigned>(Given->number("threads"));
  const auto Seed = static_cast<std::uint64_t>(Given->number("seed"));
  bool AreMet = true;
  for (const auto &User : Users) {
    printHeader(User, Count);
    for (const auto &Kind : Kinds) {
      if (Kind.Name.find(Given->text("kind")) == std::string_view::npos)
        continue;
      const auto Run = [&](const policy_factory &Policy, unsigned Moves) {
        return summarise(Kind,
                         runMoves(User, Kind, Policy, Moves, Threads, Seed));
      };
      const auto Chosen = Run(makeProductPolicies, Count);
      const auto Threshold = Run(makeThresholdPolicies, BaselineCount);
      const auto Static = Run(makeStaticPolicies, BaselineCount);
      AreMet = printRow(Kind, Chosen, Threshold, Static) && AreMet;
    }
  }
  return AreMet ? 0 : 1;
}

} // namespace sesamepaddle
