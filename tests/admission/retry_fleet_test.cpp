#include "admission/retry_fleet.h"

#include <doctest/doctest.h>

#include <array>

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
