#include "sesamepaddle/admission/attempt_budget.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <random>
#include <vector>

using namespace sesamepaddle;
using std::chrono::milliseconds;

TEST_CASE("retries of all VMs stay within the budget of a service") {
  const service_name Orders("orders");
  const attempt_limits Limits;
  const time_point Start = time_point(std::chrono::hours(1));
  constexpr std::size_t Vms = 10;
  // Processes that have run for a window.
  std::vector<attempt_budget> Budgets(Vms,
                                      attempt_budget(Start - Limits.Window));
  std::vector<time_point> Requests;
  std::vector<time_point> Retries;
  std::mt19937 Random(7);

  SUBCASE("every request fails and is to be retried") {
    for (int Step = 0; Step < 6'000; ++Step) {
      const auto Now = Start + milliseconds(5) * Step;
      auto &Budget = Budgets[Random() % Vms];
      Budget.addRequest(Orders, Now);
      Requests.push_back(Now);
      if (Budget.takeRetry(Orders, Limits, Vms, Now).IsAllowed)
        Retries.push_back(Now);
    }
    CHECK_FALSE(Retries.empty());
    const auto CountIn = [&](const std::vector<time_point> &Times,
                             time_point From) {
      return std::count_if(Times.begin(), Times.end(), [&](time_point Time) {
        return Time >= From && Time < From + Limits.Window;
      });
    };
    for (const auto &First : Retries)
      CHECK(static_cast<double>(CountIn(Retries, First)) <=
            Limits.Ratio * static_cast<double>(CountIn(Requests, First)) +
                Limits.Slack);
  }

  SUBCASE("the slack allows a few retries without any request") {
    CHECK(Budgets[0].takeRetry(Orders, Limits, Vms, Start).IsAllowed);
  }

  SUBCASE("retries to one service do not use the budget of another") {
    while (Budgets[0].takeRetry(Orders, Limits, Vms, Start).IsAllowed) {
    }
    CHECK(Budgets[0]
              .takeRetry(service_name("other"), Limits, Vms, Start)
              .IsAllowed);
  }
}
