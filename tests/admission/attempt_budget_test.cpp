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
  std::vector<attempt_budget> Budgets(Vms);
  std::vector<time_point> Requests;
  std::vector<time_point> Retries;
  std::mt19937 Random(7);

  SUBCASE("when every request fails and asks for a retry") {
    for (int Step = 0; Step < 6'000; ++Step) {
      const auto Now = Start + milliseconds(5) * Step;
      auto &Budget = Budgets[Random() % Vms];
      Budget.addRequest(Orders, Now);
      Requests.push_back(Now);
      if (Budget.takeRetry(Orders, Limits, Vms, Now))
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

  SUBCASE("a few retries are there without any request before") {
    CHECK(Budgets[0].takeRetry(Orders, Limits, Vms, Start));
  }

  SUBCASE("and one service's retries cost another one nothing") {
    while (Budgets[0].takeRetry(Orders, Limits, Vms, Start)) {
    }
    CHECK(Budgets[0].takeRetry(service_name("other"), Limits, Vms, Start));
  }
}
