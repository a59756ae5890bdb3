#include "shares/share_simulation.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <cstdlib>
#include <string>

using namespace sesamepaddle;

namespace {

constexpr int CasesInCi = 3'000;
constexpr int LargestScript = 40;
constexpr int LongestPauseMilliseconds = 3'000;
// Each omission must show within this many scripts.
constexpr std::uint64_t ScriptsPerOmission = 2'000;

rc::Gen<fault_step> makeStep() {
  return rc::gen::map(
      rc::gen::tuple(rc::gen::inRange(0, FaultKinds),
                     rc::gen::inRange<std::size_t>(0, 4),
                     rc::gen::inRange(0, LongestPauseMilliseconds)),
      [](const std::tuple<int, std::size_t, int> &Draw) {
        return fault_step{static_cast<fault_kind>(std::get<0>(Draw)),
                          std::get<1>(Draw),
                          std::chrono::milliseconds(std::get<2>(Draw))};
      });
}

rc::Gen<std::vector<fault_step>> makeScript() {
  return rc::gen::mapcat(rc::gen::inRange(0, LargestScript), [](int Length) {
    return rc::gen::container<std::vector<fault_step>>(
        static_cast<std::size_t>(Length), makeStep());
  });
}

/** The number of cases, from SESAMEPADDLE_FUZZ_CASES for a long run. */
int caseCount() {
  const char *Text = std::getenv("SESAMEPADDLE_FUZZ_CASES");
  return Text == nullptr ? CasesInCi : std::atoi(Text);
}

/** Runs scripts until one breaks the limit.
    @returns what the oracle said, or nothing when no script did. */
std::string findViolation(const share_rules &Rules, std::uint64_t Scripts) {
  const auto Script = makeScript();
  constexpr int FullSize = 100;
  for (std::uint64_t Seed = 1; Seed <= Scripts; ++Seed) {
    share_simulation World(Rules, Seed);
    if (!World.run(Script(rc::Random(Seed), FullSize).value()))
      return World.violation();
  }
  return {};
}

} // namespace

namespace rc {
template <> struct Arbitrary<fault_step> {
  static Gen<fault_step> arbitrary() { return makeStep(); }
};
} // namespace rc

namespace sesamepaddle {
void showValue(const fault_step &Step, std::ostream &Stream) {
  Stream << "{kind " << static_cast<int>(Step.Kind) << ", vm " << Step.Vm
         << ", " << Step.Pause.count() << " ms}";
}
} // namespace sesamepaddle

TEST_CASE("VMs that spend all they can stay within the limit") {
  SUBCASE("in quiet times, and they use most of it") {
    share_simulation World({}, 1);
    const std::vector<fault_step> Quiet(
        10, {fault_kind::Wait, 0, std::chrono::seconds(3)});
    CHECK(World.run(Quiet));
    // 46 s at 20 a second, less 6 s in which the parts find their owners.
    constexpr double RateTimesSeconds = 20.0 * 40;
    CHECK(World.tokensTaken() > 0.9 * RateTimesSeconds);
  }

  SUBCASE("through faults in any order") {
    rc::detail::TestParams Params = rc::detail::configuration().testParams;
    Params.maxSuccess = caseCount();
    const auto Property = [] {
      const auto Script = *makeScript();
      const auto Seed = *rc::gen::arbitrary<std::uint64_t>();
      share_simulation World({}, Seed);
      if (!World.run(Script))
        RC_FAIL(World.violation());
    };
    const auto Result = rc::detail::checkTestable(
        Property, rc::detail::TestMetadata{"limits hold", {}}, Params);
    rc::detail::printResultMessage(Result, std::cerr);
    CHECK(Result.template is<rc::detail::SuccessResult>());
  }
}

TEST_CASE(
    "the scripts that show an omission break no limit with all rules on") {
  constexpr std::uint64_t Scripts = 500;
  CHECK(findViolation({}, Scripts) == "");
}

TEST_CASE("the oracle notices when a rule is left out") {
  share_rules Rules;

  SUBCASE("answers to an earlier process are taken") {
    Rules.ChecksIncarnation = false;
  }
  SUBCASE("a bucket that comes in is full") { Rules.StartsEmpty = false; }
  SUBCASE("the ledger grows one part before the other has shrunk") {
    Rules.ShrinksBeforeGrow = false;
  }
  SUBCASE("deadlines are checked before the pause") {
    Rules.ChecksDeadlineAtSpend = false;
  }
  SUBCASE("a successor does not wait for its predecessor's loans") {
    Rules.WaitsOutLoans = false;
  }
  SUBCASE("handed-out tokens do not count") { Rules.CountsGrants = false; }

  const std::string Violation = findViolation(Rules, ScriptsPerOmission);
  CHECK_FALSE(Violation.empty());
  MESSAGE(Violation);
}
