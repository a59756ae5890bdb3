#include "sesamepaddle/moves/version_move.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <array>
#include <optional>
#include <random>
#include <vector>

using namespace sesamepaddle;
using namespace std::chrono_literals;

namespace {

constexpr duration Tick = 100ms;
const route_name Route("place");
const std::array<route_name, 1> Routes = {Route};
const failure_domain_name Domain("lima-a");

move_plan makePlan(double Cap = 0.5) {
  return {Cap, time_point(1h), time_point(1h) + 10min};
}

version_sample makeSample(bool IsNew, double Share, sample_result Result) {
  return {IsNew, Share, Result, 20ms, {}};
}

/** Sends requests through one move; the new version fails when @p IsBad. */
class traffic {
public:
  void run(version_move &Move, time_point From, duration For, bool IsBad) {
    for (Now = From; Now < From + For; Now += Tick) {
      Move.advance(Now);
      for (int Request = 0; Request < 10; ++Request) {
        const double Share = Move.share();
        const bool IsNew = Uniform(Random) < Share;
        SentToNew += IsNew ? 1 : 0;
        const auto Result =
            IsNew && IsBad ? sample_result::Failed : sample_result::Answered;
        Move.observe(Route, makeSample(IsNew, Share, Result), Now);
      }
    }
  }

  time_point Now;
  unsigned SentToNew = 0;

private:
  std::mt19937_64 Random{11};
  std::uniform_real_distribution<> Uniform;
};

} // namespace

TEST_CASE("a version move ends finished or stopped") {
  const auto Plan = makePlan();
  version_move Move(Plan, Routes);
  traffic Traffic;

  SUBCASE("a good version gets a small share first and all traffic in time") {
    CHECK(Move.share() <= 0.01);
    Traffic.run(Move, Plan.Start, 10min, false);
    CHECK(Move.state() == move_state::Finished);
    REQUIRE(Move.proposedRecord().has_value());
    CHECK(Move.proposedRecord()->Outcome == move_outcome::Done);

    SUBCASE("and a later record does not change the first") {
      Move.applyRecord({move_outcome::Done, std::nullopt});
      Move.applyRecord({move_outcome::RolledBack, std::nullopt});
      CHECK(Move.state() == move_state::Done);
      CHECK(Move.share() == 1);
    }
  }

  SUBCASE("a bad version is stopped on this VM before any record exists") {
    Traffic.run(Move, Plan.Start, 60s, true);
    CHECK(Move.state() == move_state::Stopped);
    CHECK(Move.share() == 0);
    CHECK(Traffic.SentToNew < 30);
    REQUIRE(Move.fault().has_value());
    CHECK(Move.fault()->Route == Route);

    SUBCASE("and its update stops the move on a peer") {
      const auto Update = Move.takeUpdate(Traffic.Now);
      REQUIRE(Update.has_value());
      version_move Peer(Plan, Routes);
      Peer.applyUpdate(Domain, *Update, Traffic.Now);
      CHECK(Peer.state() == move_state::Stopped);
      CHECK(Peer.share() == 0);

      SUBCASE("and the update is repeated for VMs that start later") {
        CHECK_FALSE(Move.takeUpdate(Traffic.Now + 100ms).has_value());
        CHECK(Move.takeUpdate(Traffic.Now + 2s).has_value());
      }
    }
  }

  SUBCASE("a version that turns bad late in the move is stopped too") {
    Traffic.run(Move, Plan.Start, 3min, false);
    REQUIRE(Move.share() > 0.2);
    Traffic.run(Move, Plan.Start + 3min, 10s, true);
    CHECK(Move.state() == move_state::Stopped);
  }

  SUBCASE("a move that can't be finished in time is rolled back") {
    version_move Slow({0.01, Plan.Start, Plan.FinishBy}, Routes);
    Traffic.run(Slow, Plan.Start, 11min, false);
    CHECK(Slow.state() == move_state::Stopped);
    CHECK_FALSE(Slow.fault().has_value());
    CHECK_FALSE(isFeasible({0.01, Plan.Start, Plan.FinishBy}));
  }

  SUBCASE("a VM that starts during the move waits before its share grows") {
    Move.advance(Plan.Start + 5min);
    CHECK(Move.share() <= 0.01);
    Move.advance(Plan.Start + 5min + 3s);
    CHECK(Move.share() > 0.5);
  }

  SUBCASE("it is not finished while a peer still has old traffic") {
    Traffic.run(Move, Plan.Start, 8min, false);
    move_update Update;
    Update.Share = 0.7;
    version_move Late(Plan, Routes);
    for (time_point Now = Plan.Start; Now < Plan.FinishBy; Now += Tick) {
      Late.applyUpdate(Domain, Update, Now);
      Late.advance(Now);
    }
    CHECK(Move.state() == move_state::Finished);
    CHECK(Late.state() == move_state::Moving);
  }
}

TEST_CASE("a move record is read back as it was written") {
  const move_record Record{move_outcome::RolledBack,
                           move_fault{Route, fault_kind::Slow}};
  const auto Read = parseMoveRecord(Record.serialize());
  REQUIRE(Read.has_value());
  CHECK(Read->Outcome == move_outcome::RolledBack);
  REQUIRE(Read->Fault.has_value());
  CHECK(Read->Fault->Route == Route);
  CHECK(Read->Fault->Kind == fault_kind::Slow);
  CHECK_FALSE(parseMoveRecord("[]").has_value());
  CHECK_FALSE(parseMoveRecord("{\"outcome\":\"perhaps\"}").has_value());
}

namespace {

/** The VMs of one move, and the stored row that says how it ended. */
struct move_fleet {
  explicit move_fleet(std::size_t Count)
      : Plan(makePlan(0.3)), Vms(Count, version_move(Plan, Routes)) {}

  double share() const {
    double Sum = 0;
    for (const auto &Vm : Vms)
      Sum += Vm.share();
    return Sum / static_cast<double>(Vms.size());
  }

  move_plan Plan;
  std::vector<version_move> Vms;
  std::optional<move_outcome> Row;
};

// Writes the record that one VM proposes, unless the row exists already, and
// applies the row to the VM.
void writeRecord(move_fleet &Fleet, version_move &Vm) {
  const auto Proposed = Vm.proposedRecord();
  if (!Proposed && !Fleet.Row)
    return;
  if (!Fleet.Row)
    Fleet.Row = Proposed->Outcome;
  Vm.applyRecord({*Fleet.Row, std::nullopt});
}

void step(move_fleet &Fleet, time_point Now) {
  auto &Vm = Fleet.Vms[*rc::gen::inRange<std::size_t>(0, Fleet.Vms.size())];
  switch (*rc::gen::inRange(0, 5)) {
  case 0: {
    const bool IsNew = *rc::gen::arbitrary<bool>();
    const auto Result = *rc::gen::element(
        sample_result::Answered, sample_result::Failed,
        sample_result::ConnectionLost, sample_result::NotReached);
    auto Sample = makeSample(IsNew, Vm.share(), Result);
    Sample.Crash = {endpoint_id(*rc::gen::inRange(1, 4)),
                    request_fingerprint(*rc::gen::inRange(1, 4))};
    Vm.observe(Route, Sample, Now);
    break;
  }
  case 1:
    if (const auto Update = Vm.takeUpdate(Now))
      for (auto &Peer : Fleet.Vms)
        if (&Peer != &Vm && *rc::gen::arbitrary<bool>())
          Peer.applyUpdate(Domain, *Update, Now);
    break;
  case 2:
    writeRecord(Fleet, Vm);
    break;
  default:
    Vm.advance(Now);
  }
}

} // namespace

TEST_CASE("fuzz: the share keeps its cap and the outcome never changes") {
  const bool Holds = rc::check([] {
    move_fleet Fleet(*rc::gen::inRange<std::size_t>(1, 5));
    auto Now = Fleet.Plan.Start;
    std::optional<move_outcome> FirstOutcome;
    for (auto &Vm : Fleet.Vms)
      Vm.advance(Now);
    const int Steps = *rc::gen::inRange(1, 300);
    for (int Index = 0; Index < Steps; ++Index) {
      Now += std::chrono::milliseconds(*rc::gen::inRange(0, 6'000));
      step(Fleet, Now);
      const std::chrono::duration<double, std::ratio<60>> Minutes =
          Now - Fleet.Plan.Start;
      RC_ASSERT(Fleet.share() <= 0.01 + 0.3 * Minutes.count() + 1e-9);
      if (!FirstOutcome)
        FirstOutcome = Fleet.Row;
      RC_ASSERT(Fleet.Row == FirstOutcome);
      for (const auto &Vm : Fleet.Vms) {
        const bool IsDone = Vm.state() == move_state::Done;
        const bool IsRolledBack = Vm.state() == move_state::RolledBack;
        RC_ASSERT(!IsDone || FirstOutcome == move_outcome::Done);
        RC_ASSERT(!IsRolledBack || FirstOutcome == move_outcome::RolledBack);
        RC_ASSERT(!IsRolledBack || Vm.share() == 0);
      }
    }
  });
  CHECK(Holds);
}
