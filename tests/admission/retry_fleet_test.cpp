#include "admission/retry_fleet.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <array>
#include <vector>

using namespace sesamepaddle;
using std::chrono::milliseconds;

namespace {

struct fleet_size {
  std::size_t Vms;
  double Slack; ///< of the budget
  double Rate;  ///< requests per second of all VMs together
};

// A small fleet, a large one, and a large one with so few requests that the
// slack is most of its budget.
constexpr std::array<fleet_size, 3> FleetSizes = {
    {{10, 56, 200}, {68, 176, 226}, {68, 176, 46}}};

attempt_limits limitsOf(const fleet_size &Size) {
  attempt_limits Limits;
  Limits.Slack = Size.Slack;
  return Limits;
}

} // namespace

// Each process of a VM knows only the retries that it made itself.
TEST_CASE("VMs that restart do not retry more than one budget allows") {
  const auto CheckAll = [](auto Play) {
    for (const auto &Size : FleetSizes) {
      CAPTURE(Size.Vms);
      CAPTURE(Size.Rate);
      retry_fleet Fleet(Size.Vms, limitsOf(Size), 1);
      Fleet.FailingShare = 0;
      Fleet.run(milliseconds(12'000), Size.Rate);
      Fleet.FailingShare = 1;
      Play(Fleet, Size.Rate);
      CHECK(Fleet.worstWindow() <= 1);
    }
  };

  SUBCASE("all at once") {
    CheckAll([](retry_fleet &Fleet, double Rate) {
      Fleet.run(milliseconds(1'500), Rate);
      Fleet.restartAll();
      Fleet.run(milliseconds(12'000), Rate);
    });
  }
  SUBCASE("all at once, several times") {
    CheckAll([](retry_fleet &Fleet, double Rate) {
      for (int Time = 0; Time < 5; ++Time) {
        Fleet.run(milliseconds(2'000), Rate);
        Fleet.restartAll();
      }
      Fleet.run(milliseconds(12'000), Rate);
    });
  }
  SUBCASE("one after the other") {
    CheckAll([](retry_fleet &Fleet, double Rate) {
      Fleet.run(milliseconds(1'500), Rate);
      for (std::size_t Vm = 0; Vm < Fleet.size(); ++Vm) {
        Fleet.restart(Vm);
        Fleet.run(milliseconds(8'000) / Fleet.size(), Rate);
      }
    });
  }
}

// A VM may retry because of requests that came long before.
TEST_CASE("retries stay within the budget when traffic moves between VMs") {
  constexpr std::size_t Vms = 10;
  constexpr double Rate = 2'000;
  retry_fleet Fleet(Vms, attempt_limits(), 1);
  const auto RatesOf = [](std::size_t First, double Total) {
    std::vector<double> Rates(Vms);
    for (std::size_t Vm = First; Vm < First + Vms / 2; ++Vm)
      Rates[Vm] = Total * 2 / Vms;
    return Rates;
  };

  SUBCASE("all requests, as all of them begin to fail") {
    Fleet.FailingShare = 0;
    Fleet.run(milliseconds(10'500), RatesOf(0, Rate));
    Fleet.FailingShare = 1;
    Fleet.MaxAttemptTime = milliseconds(0);
    Fleet.run(milliseconds(1'500), RatesOf(0, Rate));
    Fleet.run(milliseconds(12'000), RatesOf(Vms / 2, Rate));
  }
  SUBCASE("requests that come in bursts, and fail in the second one") {
    Fleet.run(milliseconds(10'500), 0);
    Fleet.FailingShare = 0;
    Fleet.run(milliseconds(500), Rate * 20);
    Fleet.run(milliseconds(8'000), 0);
    Fleet.FailingShare = 1;
    Fleet.MaxAttemptTime = milliseconds(0);
    Fleet.run(milliseconds(500), Rate * 20);
    Fleet.run(milliseconds(1'000), 0);
  }
  CHECK(Fleet.worstWindow() <= 1);
}

TEST_CASE("retries that arrive late stay within the budget of that time") {
  retry_fleet Fleet(10, attempt_limits(), 1);
  Fleet.FailingShare = 0;
  Fleet.run(milliseconds(10), 500'000);
  Fleet.run(milliseconds(9'790), 0);
  Fleet.FailingShare = 1;
  Fleet.MaxAttemptTime = milliseconds(0);
  Fleet.run(milliseconds(190), 2'600);
  Fleet.run(milliseconds(1'000), 0);
  CHECK(Fleet.worstWindow() <= 1);
}

TEST_CASE("retries stay within the budget as VMs are added") {
  for (const auto &Size : FleetSizes) {
    CAPTURE(Size.Vms);
    retry_fleet Fleet(Size.Vms, limitsOf(Size), 1);
    Fleet.FailingShare = 0;
    Fleet.run(milliseconds(12'000), Size.Rate);
    Fleet.FailingShare = 1;
    Fleet.run(milliseconds(1'500), Size.Rate);
    Fleet.grow(Size.Vms * 3);
    Fleet.run(milliseconds(12'000), Size.Rate);
    CHECK(Fleet.worstWindow() <= 1);
  }
}

TEST_CASE("fuzz: no fault lets VMs retry more than the budget allows") {
  const bool IsKept = rc::check([](std::uint64_t Seed) {
    const auto Size =
        FleetSizes[*rc::gen::inRange<std::size_t>(0, FleetSizes.size())];
    retry_fleet Fleet(Size.Vms, limitsOf(Size), Seed);
    // Traffic goes to all VMs or to some, moves, and may come in bursts.
    const auto Share = *rc::gen::element<std::size_t>(1, 1, 2, 5);
    const bool IsMoving = *rc::gen::arbitrary<bool>();
    const double PeakFactor = *rc::gen::element(1.0, 1.0, 10.0);
    std::size_t Offset = 0;
    const auto Play = [&](milliseconds Time, double Factor) {
      std::vector<double> Rates(Fleet.size());
      for (std::size_t Vm = Offset; Vm < Rates.size(); Vm += Share)
        Rates[Vm] = Factor * Size.Rate * static_cast<double>(Share) /
                    static_cast<double>(Fleet.size());
      Fleet.run(Time, Rates);
    };

    // After a calm time a VM may retry most.
    Fleet.FailingShare = 0;
    Play(milliseconds(*rc::gen::inRange(8'000, 12'000)), 1);
    Fleet.MaxAttemptTime = milliseconds(*rc::gen::element(0, 100, 1'500));
    const auto RoundTime = milliseconds(*rc::gen::inRange(200, 4'000));
    const auto UsualFault = *rc::gen::inRange(0, 6);
    const auto Rounds = *rc::gen::inRange(2, 12);
    for (int Round = 0; Round < Rounds; ++Round) {
      Fleet.FailingShare = *rc::gen::element(1.0, 1.0, 1.0, 0.1);
      const double Factor = *rc::gen::element(1.0, 1.0, PeakFactor, 0.0);
      Play(RoundTime, Factor);
      if (IsMoving)
        Offset = *rc::gen::inRange<std::size_t>(0, Share);
      const auto Vm = *rc::gen::inRange<std::size_t>(0, Fleet.size());
      const bool IsUsual = *rc::gen::inRange(0, 4) > 0;
      switch (IsUsual ? UsualFault : *rc::gen::inRange(0, 6)) {
      case 0:
      case 1:
        Fleet.restartAll();
        break;
      case 2:
        Fleet.restart(Vm);
        break;
      case 3:
        Fleet.stop(Vm);
        break;
      case 4:
        Fleet.setPaused(Vm, *rc::gen::arbitrary<bool>());
        break;
      default:
        Fleet.grow(std::min(Fleet.size() + 5, 2 * Size.Vms));
        break;
      }
    }
    RC_ASSERT(Fleet.worstWindow() <= 1);
  });
  CHECK(IsKept);
}

// What the bound costs callers while endpoints fail now and then.
TEST_CASE("a small fleet retries failures of one request in twenty") {
  for (const double Rate : {20.0, 200.0}) {
    CAPTURE(Rate);
    retry_fleet Fleet(10, attempt_limits(), 1);
    Fleet.FailingShare = 0.05;
    Fleet.run(milliseconds(12'000), Rate);
    Fleet.resetCounts();
    Fleet.run(milliseconds(30'000), Rate);
    CHECK(Fleet.refusedShare() <= 0.05);
  }
}
