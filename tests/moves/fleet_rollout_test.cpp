#include "sesamepaddle/moves/fleet_rollout.h"

#include <doctest/doctest.h>

#include <functional>
#include <random>
#include <vector>

using namespace sesamepaddle;
using std::chrono::milliseconds;

namespace {

const time_point Start = time_point(std::chrono::hours(1));
const rollout_order Order{service_name("charts"), version_name("v2"),
                          milliseconds(16'000)};

/** How likely the new version fails, by the time since the order and the share
    of all requests that it gets. */
using fault_model = std::function<double(milliseconds, double)>;

struct played_rollout {
  std::size_t Requests = 0;
  std::size_t SentToNew = 0;
  std::size_t SentAfterFiftyBad = 0;
  std::optional<rollout_outcome> Outcome;
};

/** Plays one order on eight VMs that tell each other every 150 ms. */
played_rollout playRollout(double RatePerSecond, const fault_model &Fault,
                           double UsualFault = 0.01) {
  constexpr std::size_t Vms = 8;
  constexpr milliseconds Step{10};
  constexpr milliseconds AnswerTime{250};
  std::vector<fleet_rollout> Rollouts(Vms, fleet_rollout(Order, {}, Start));
  std::mt19937_64 Random(11);
  std::uniform_real_distribution<> Uniform;
  struct answer {
    milliseconds At;
    std::size_t Vm;
    bool IsNew;
    bool IsBad;
  };
  std::deque<answer> UnderWay;
  played_rollout Played;
  std::size_t Bad = 0;
  milliseconds FiftiethBad = Order.Duration * 2;
  double RecentNew = 0; // share of the latest requests
  for (milliseconds Age{0}; Age < Order.Duration; Age += Step) {
    const int Requests = std::poisson_distribution<int>(
        RatePerSecond * std::chrono::duration<double>(Step).count())(Random);
    for (int Request = 0; Request < Requests; ++Request) {
      const auto Vm = Random() % Vms;
      const bool IsNew = Rollouts[Vm].drawNew(Uniform(Random), Vms);
      RecentNew += 0.05 * ((IsNew ? 1.0 : 0.0) - RecentNew);
      const double Chance = IsNew ? Fault(Age, RecentNew) : UsualFault;
      UnderWay.push_back(
          {Age + AnswerTime, Vm, IsNew, Uniform(Random) < Chance});
      ++Played.Requests;
      Played.SentToNew += IsNew;
      Played.SentAfterFiftyBad +=
          IsNew && Age > FiftiethBad + milliseconds(5'000);
    }
    while (!UnderWay.empty() && UnderWay.front().At <= Age) {
      const auto &Answer = UnderWay.front();
      Rollouts[Answer.Vm].observe(route_name("chart"), Answer.IsNew,
                                  Answer.IsBad);
      Bad += Answer.IsNew && Answer.IsBad;
      if (Bad == 50 && FiftiethBad > Order.Duration)
        FiftiethBad = Age;
      UnderWay.pop_front();
    }
    if (Age.count() % 150 == 0)
      for (std::size_t From = 0; From < Vms; ++From)
        for (std::size_t To = 0; To < Vms; ++To)
          if (From != To)
            Rollouts[To].applyPeer(std::to_string(From),
                                   Rollouts[From].report());
    for (auto &Rollout : Rollouts)
      if (Age.count() % 100 == 0)
        Rollout.advance(Start + Age, true);
    if (const auto Proposal = Rollouts[0].proposal();
        Proposal && !Played.Outcome) {
      Played.Outcome = Proposal;
      for (auto &Rollout : Rollouts)
        Rollout.record(*Proposal);
    }
  }
  return Played;
}

/** @returns the users' bound: a tenth of the requests and 50 more. */
double mostAllowed(const played_rollout &Played) {
  return 0.1 * static_cast<double>(Played.Requests) + 50;
}

} // namespace

TEST_CASE("a good version is completed within its time") {
  for (const double Rate : {15.0, 60.0, 110.0}) {
    CAPTURE(Rate);
    const auto Played =
        playRollout(Rate, [](milliseconds, double) { return 0.01; });
    CHECK(Played.Outcome == rollout_outcome::Completed);
  }

  SUBCASE("also while both versions lose a quarter of their answers") {
    const auto Played = playRollout(
        60, [](milliseconds, double) { return 0.25; }, 0.25);
    CHECK(Played.Outcome == rollout_outcome::Completed);
  }
}

TEST_CASE("a bad version gets a small part and is taken back") {
  const auto CheckTakenBack = [](double Rate, const fault_model &Fault) {
    CAPTURE(Rate);
    const auto Played = playRollout(Rate, Fault);
    CHECK(Played.Outcome == rollout_outcome::RolledBack);
    CHECK(static_cast<double>(Played.SentToNew) <= mostAllowed(Played));
    CHECK(Played.SentAfterFiftyBad == 0);
  };
  for (const double Rate : {30.0, 60.0, 110.0}) {
    SUBCASE("that fails from the start") {
      CheckTakenBack(Rate, [](milliseconds, double) { return 0.4; });
    }
    SUBCASE("that fails late") {
      CheckTakenBack(Rate, [](milliseconds Age, double) {
        return Age > milliseconds(9'000) ? 0.5 : 0.01;
      });
    }
    SUBCASE("that fails under load alone") {
      CheckTakenBack(Rate, [](milliseconds, double Share) {
        return Share > 0.3 ? 0.4 : 0.01;
      });
    }
  }
}

TEST_CASE("what one VM finds, all follow") {
  fleet_rollout Rollout(Order, {}, Start);
  rollout_report Report;
  Report.IsFaulty = true;
  Rollout.applyPeer("other", Report);
  CHECK_FALSE(Rollout.drawNew(0, 8));

  SUBCASE("and a record stands, whatever comes after") {
    Rollout.record(rollout_outcome::Completed);
    CHECK(Rollout.drawNew(0.99, 8));
    CHECK_FALSE(Rollout.proposal());
  }
}

TEST_CASE("without the store all traffic does not move") {
  fleet_rollout Rollout(Order, {}, Start);
  for (int Answer = 0; Answer < 100; ++Answer)
    Rollout.observe(route_name("chart"), true, false);
  Rollout.advance(Start + Order.Duration - milliseconds(1'000), false);
  CHECK_FALSE(Rollout.proposal());
  for (int Request = 0; Request < 100; ++Request)
    Rollout.drawNew(0.9, 8);
  CHECK_FALSE(Rollout.drawNew(0.9, 8));
}
