#include "sesamepaddle/moves/fleet_rollout.h"

#include <doctest/doctest.h>

#include <functional>
#include <map>
#include <random>
#include <vector>

using namespace sesamepaddle;
using std::chrono::milliseconds;

namespace {

const time_point Start = time_point(std::chrono::hours(1));
const rollout_order Order{service_name("charts"), version_name("v2"),
                          milliseconds(16'000)};

/** Probability that a request on the new version fails, from the time since the
    order and the new version's share of recent requests. */
using fault_model = std::function<double(milliseconds, double)>;

/** A day around one order. */
struct rollout_day {
  double RatePerSecond = 60;
  /** The first answer for an object takes longer. */
  milliseconds AnswerTime{250};
  /** When the store does not answer, since the order. */
  milliseconds AwayFrom{0};
  milliseconds AwayTo{0};
  /** When half of the VMs lose power and what they have counted. */
  std::optional<milliseconds> LossAt;
  milliseconds Duration{16'000};
  unsigned Seed = 11;
  double UsualFault = 0.01;
};

/** Result of a simulated rollout. */
struct simulated_rollout {
  std::size_t Requests = 0;
  std::size_t SentToNew = 0;
  /** To the new version, more than 5 s after its 50th bad answer. */
  std::size_t SentAfterFiftyBad = 0;
  std::optional<rollout_outcome> Outcome;
};

/** Simulates one order on eight VMs that exchange reports every 150 ms. */
simulated_rollout simulateRollout(const rollout_day &Day,
                                  const fault_model &Fault) {
  constexpr std::size_t Vms = 8;
  constexpr milliseconds Step{10};
  auto Order = ::Order;
  Order.Duration = Day.Duration;
  rollout_terms Terms;
  Terms.Start = Start;
  // Objectives leave room for the queue and for unknown objects.
  Terms.AnswerTime = 2 * Day.AnswerTime;
  std::vector<fleet_rollout> Rollouts(Vms, fleet_rollout(Order, {}, Terms));
  std::mt19937_64 Random(Day.Seed);
  std::uniform_real_distribution<> Uniform;
  struct answer {
    std::size_t Vm;
    rollout_draw Drawn;
    bool IsBad;
  };
  std::multimap<milliseconds, answer> InFlight;
  simulated_rollout Result;
  std::size_t Bad = 0;
  milliseconds FiftiethBad = Order.Duration * 2;
  double RecentNew = 0; // moving average over recent requests
  const double Weight = 2 / Day.RatePerSecond; // over about half a second
  // The outcome may be written a little after the end of the order.
  const auto End = Order.Duration + milliseconds(500);
  for (milliseconds Age{0}; Age < End; Age += Step) {
    if (Age == Day.LossAt)
      for (std::size_t Vm = 0; Vm < Vms; Vm += 2) {
        auto Late = Terms;
        Late.LearnedAfter = Age;
        Rollouts[Vm] = fleet_rollout(Order, {}, Late);
        std::erase_if(InFlight,
                      [&](const auto &Entry) { return Entry.second.Vm == Vm; });
      }
    const int Requests = std::poisson_distribution<int>(
        Day.RatePerSecond *
        std::chrono::duration<double>(Step).count())(Random);
    for (int Request = 0; Request < Requests; ++Request) {
      const auto Vm = Random() % Vms;
      const auto Drawn = Rollouts[Vm].drawVersion(Uniform(Random), Vms);
      RecentNew +=
          std::min(Weight, 0.2) * ((Drawn.IsNew ? 1.0 : 0.0) - RecentNew);
      const double Chance =
          Drawn.IsNew ? Fault(Age, RecentNew) : Day.UsualFault;
      const auto Took = std::chrono::duration_cast<milliseconds>(
          Day.AnswerTime * (0.6 + 0.8 * Uniform(Random)));
      InFlight.emplace(Age + Took, answer{Vm, Drawn, Uniform(Random) < Chance});
      ++Result.Requests;
      Result.SentToNew += Drawn.IsNew;
      Result.SentAfterFiftyBad +=
          Drawn.IsNew && Age > FiftiethBad + milliseconds(5'000);
    }
    while (!InFlight.empty() && InFlight.begin()->first <= Age) {
      const auto &Answer = InFlight.begin()->second;
      auto &Rollout = Rollouts[Answer.Vm];
      Rollout.endTrial(Answer.Drawn.Trial, Answer.IsBad);
      Rollout.observe(route_name("chart"), Answer.Drawn.IsNew, Answer.IsBad);
      Bad += Answer.Drawn.IsNew && Answer.IsBad;
      if (Bad == 50 && FiftiethBad > Order.Duration)
        FiftiethBad = Age;
      InFlight.erase(InFlight.begin());
    }
    if (Age.count() % 150 == 0)
      for (std::size_t From = 0; From < Vms; ++From)
        for (std::size_t To = 0; To < Vms; ++To)
          if (From != To)
            Rollouts[To].applyPeer(std::to_string(From),
                                   Rollouts[From].report());
    // Rows are fresh for 2.5 s, and read again soon after the store's return.
    const bool IsStoreFresh = Age < Day.AwayFrom + milliseconds(2'500) ||
                              Age >= Day.AwayTo + milliseconds(300);
    const bool IsAway = Age >= Day.AwayFrom && Age < Day.AwayTo;
    for (auto &Rollout : Rollouts)
      if (Age.count() % 100 == 0)
        Rollout.advance(Start + Age, IsStoreFresh);
    if (IsAway || Result.Outcome)
      continue;
    // Any VM may be the first one to write.
    for (const auto &Writer : Rollouts)
      if (const auto Proposal = Writer.proposal(); Proposal) {
        Result.Outcome = Proposal;
        for (auto &Rollout : Rollouts)
          Rollout.record(*Proposal);
        break;
      }
  }
  return Result;
}

simulated_rollout simulateRollout(double RatePerSecond,
                                  const fault_model &Fault,
                                  double UsualFault = 0.01) {
  rollout_day Day;
  Day.RatePerSecond = RatePerSecond;
  Day.UsualFault = UsualFault;
  return simulateRollout(Day, Fault);
}

/** Works until it has had more than half of the requests for some time. */
double faultUnderLoad(milliseconds, double RecentShare) {
  return RecentShare > 0.5 ? 0.5 : 0.01;
}

/** @returns the users' bound: a tenth of the requests and 50 more. */
double mostAllowedOnNew(const simulated_rollout &Result) {
  return 0.1 * static_cast<double>(Result.Requests) + 50;
}

} // namespace

TEST_CASE("a good version is completed within its time") {
  for (const double Rate : {15.0, 60.0, 110.0}) {
    CAPTURE(Rate);
    const auto Result =
        simulateRollout(Rate, [](milliseconds, double) { return 0.01; });
    CHECK(Result.Outcome == rollout_outcome::Completed);
  }

  SUBCASE("also while a quarter of the requests fail on both versions") {
    const auto Result = simulateRollout(
        60, [](milliseconds, double) { return 0.25; }, 0.25);
    CHECK(Result.Outcome == rollout_outcome::Completed);
  }
}

TEST_CASE("a bad version gets few requests and is rolled back") {
  const auto CheckRolledBack = [](double Rate, const fault_model &Fault) {
    CAPTURE(Rate);
    const auto Result = simulateRollout(Rate, Fault);
    CHECK(Result.Outcome == rollout_outcome::RolledBack);
    CHECK(static_cast<double>(Result.SentToNew) <= mostAllowedOnNew(Result));
    CHECK(Result.SentAfterFiftyBad == 0);
  };
  for (const double Rate : {30.0, 60.0, 110.0}) {
    SUBCASE("a version that fails from the start") {
      CheckRolledBack(Rate, [](milliseconds, double) { return 0.4; });
    }
    SUBCASE("a version that fails late") {
      CheckRolledBack(Rate, [](milliseconds Age, double) {
        return Age > milliseconds(9'000) ? 0.5 : 0.01;
      });
    }
    SUBCASE("a version that fails only under load") {
      CheckRolledBack(Rate, [](milliseconds, double Share) {
        return Share > 0.3 ? 0.4 : 0.01;
      });
    }
  }
}

// Guards against a bad version that is completed (review/7): the state was
// written when its time had come, before any answer of the new version under
// load could have arrived. RULES.md, EXPOSURE: a tenth of the requests and 50.
TEST_CASE("a version that is bad under load is not completed unproven") {
  rollout_day Day;
  SUBCASE("the store is back shortly before the end of the order") {
    Day.AwayTo = milliseconds(14'000);
    SUBCASE("2 s before") {}
    SUBCASE("3 s before") { Day.AwayTo = milliseconds(13'000); }
    SUBCASE("1 s before") { Day.AwayTo = milliseconds(15'000); }
    SUBCASE("after another outage") { Day.AwayTo = milliseconds(11'500); }
    Day.AwayFrom = Day.AwayTo - milliseconds(4'500);
  }
  SUBCASE("its requests take long") {
    Day.RatePerSecond = 18;
    Day.AnswerTime = milliseconds(1'000);
  }
  SUBCASE("it is rarely asked") { Day.RatePerSecond = 4; }
  SUBCASE("half of the VMs lose power in the trial") {
    Day.LossAt = milliseconds(12'500);
  }
  SUBCASE("nothing else happens") {}
  for (unsigned Seed = 1; Seed <= 40; ++Seed) {
    CAPTURE(Seed);
    Day.Seed = Seed;
    const auto Result = simulateRollout(Day, faultUnderLoad);
    CHECK((Result.Outcome == rollout_outcome::RolledBack));
    CHECK(static_cast<double>(Result.SentToNew) <= mostAllowedOnNew(Result));
    CHECK(Result.SentAfterFiftyBad == 0);
  }
}

// The price of the proof: a good version of which too little is known in time
// is rolled back.
TEST_CASE("a good version is completed where there is time to prove it") {
  rollout_day Day;
  SUBCASE("often asked") { Day.RatePerSecond = 120; }
  SUBCASE("requests that take long") {
    Day.RatePerSecond = 18;
    Day.AnswerTime = milliseconds(1'000);
  }
  SUBCASE("rarely asked") { Day.RatePerSecond = 4; }
  SUBCASE("a short order") { Day.Duration = milliseconds(10'000); }
  SUBCASE("an outage until 4 s before the end") {
    Day.AwayFrom = milliseconds(7'500);
    Day.AwayTo = milliseconds(12'000);
  }
  int Completed = 0;
  for (unsigned Seed = 1; Seed <= 40; ++Seed) {
    Day.Seed = Seed;
    const auto Result =
        simulateRollout(Day, [](milliseconds, double) { return 0.01; });
    Completed += Result.Outcome == rollout_outcome::Completed ? 1 : 0;
  }
  CHECK(Completed >= 38);
}

// With more load than both versions can carry, most requests are late.
TEST_CASE("errors of a version show while the old one is late more often") {
  fleet_rollout Rollout(Order, {}, {Start});
  const route_name Route("chart");
  const auto Answer = [&](bool IsNew, int Good, int Late, int Errors) {
    for (int Count = 0; Count < Good; ++Count)
      Rollout.observe(Route, IsNew, false);
    for (int Count = 0; Count < Late; ++Count)
      Rollout.observe(Route, IsNew, true);
    for (int Count = 0; Count < Errors; ++Count)
      Rollout.observeError(Route, IsNew);
  };
  const auto IsFaulty = [&] {
    Rollout.advance(Start + milliseconds(5'000), true);
    return Rollout.proposal() == rollout_outcome::RolledBack;
  };
  Answer(false, 440, 550, 10);

  SUBCASE("the new one fails") {
    Answer(true, 60, 10, 30);
    CHECK(IsFaulty());
  }
  SUBCASE("the new one is late as well") {
    Answer(true, 44, 55, 1);
    CHECK_FALSE(IsFaulty());
  }
  SUBCASE("both fail") {
    Answer(false, 0, 0, 300);
    Answer(true, 60, 10, 30);
    CHECK_FALSE(IsFaulty());
  }
}

// Guards against a good version that is rolled back for a route whose requests
// always fail, as they last longer than the route allows.
TEST_CASE("a route that always fails says nothing of the new version") {
  fleet_rollout Rollout(Order, {}, {Start});
  for (int Count = 0; Count < 20; ++Count) {
    Rollout.observe(route_name("report"), false, true);
    Rollout.observe(route_name("report"), true, true);
    Rollout.observe(route_name("chart"), false, false);
    Rollout.observe(route_name("chart"), true, false);
  }
  Rollout.advance(Start + milliseconds(5'000), true);
  CHECK_FALSE(Rollout.proposal());
}

TEST_CASE("a fault found by one VM stops the rollout on its peers") {
  fleet_rollout Rollout(Order, {}, {Start});
  rollout_report Report;
  Report.IsFaulty = true;
  Rollout.applyPeer("other", Report);
  CHECK_FALSE(Rollout.drawVersion(0, 8).IsNew);

  SUBCASE("and a recorded outcome overrides it") {
    Rollout.record(rollout_outcome::Completed);
    CHECK(Rollout.drawVersion(0.99, 8).IsNew);
    CHECK_FALSE(Rollout.proposal());
  }
}

TEST_CASE("traffic does not shift while the store is unavailable") {
  fleet_rollout Rollout(Order, {}, {Start});
  for (int Answer = 0; Answer < 100; ++Answer)
    Rollout.observe(route_name("chart"), true, false);
  Rollout.advance(Start + Order.Duration - milliseconds(1'000), false);
  CHECK_FALSE(Rollout.proposal());
  for (int Request = 0; Request < 100; ++Request)
    Rollout.drawVersion(0.9, 8);
  CHECK_FALSE(Rollout.drawVersion(0.9, 8).IsNew);
}

// A version may answer everything, several times more slowly. Its requests end
// at their callers' deadlines only at times, too seldom to show before all
// traffic moves to it.
TEST_CASE("a version that is several times slower is bad") {
  constexpr milliseconds Known{95};
  constexpr milliseconds Unknown{240};
  std::mt19937_64 Random(5);
  std::lognormal_distribution<> Spread(0, 0.15);
  const auto Draw = [&](milliseconds Mean, double Factor) {
    return duration(static_cast<std::int64_t>(
        Factor * Spread(Random) * static_cast<double>(duration(Mean).count())));
  };
  fleet_rollout Rollout(Order, {}, {Start});
  const route_name Route("chart");
  time_point Now = Start;
  const auto AnswerOld = [&](int Count, double Factor) {
    for (int Answer = 0; Answer < Count; ++Answer)
      Rollout.observeLatency(Route, false, true, Draw(Known, Factor));
  };
  /** The first half for objects that the new endpoints have not handled. */
  const auto AnswerNew = [&](int Count, double Factor) {
    for (int Answer = 0; Answer < Count; ++Answer) {
      const bool IsKnown = 2 * Answer >= Count;
      Rollout.observeLatency(Route, true, IsKnown,
                             Draw(IsKnown ? Known : Unknown, Factor));
    }
  };
  const auto IsFaulty = [&] {
    Now += milliseconds(500);
    Rollout.advance(Now, true);
    return Rollout.proposal() == rollout_outcome::RolledBack;
  };

  SUBCASE("it is found within some answers") {
    AnswerOld(200, 1);
    AnswerNew(10, 4);
    CHECK(IsFaulty());
  }
  SUBCASE("a good version whose endpoints know no object yet is not") {
    for (int Round = 0; Round < 20; ++Round) {
      AnswerOld(200, 1);
      AnswerNew(20, 1);
      CHECK_FALSE(IsFaulty());
    }
  }
  SUBCASE("a load that slows both versions is no fault of the new one") {
    AnswerOld(200, 1);
    for (int Round = 0; Round < 20; ++Round) {
      AnswerOld(200, 3);
      AnswerNew(20, 3);
      CHECK_FALSE(IsFaulty());
    }
  }
  SUBCASE("the queues while all traffic moves are no fault either") {
    AnswerOld(200, 1);
    AnswerNew(20, 1);
    Now = Start + Order.Duration - milliseconds(3'400);
    CHECK_FALSE(IsFaulty());
    for (int Round = 0; Round < 4; ++Round) {
      AnswerNew(100, 4);
      CHECK_FALSE(IsFaulty());
    }
  }
  SUBCASE("nothing is called slow while the usual time is not known") {
    AnswerOld(5, 1);
    AnswerNew(20, 4);
    CHECK_FALSE(IsFaulty());
  }
}
