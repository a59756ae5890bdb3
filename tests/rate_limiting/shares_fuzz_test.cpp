#include "rate_limiting/share_simulation.h"

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
// Each rule that is left out must cause a violation within this many scripts.
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

/** @returns the number of cases; SESAMEPADDLE_FUZZ_CASES sets it for long
    runs. */
int caseCount() {
  const char *Text = std::getenv("SESAMEPADDLE_FUZZ_CASES");
  return Text == nullptr ? CasesInCi : std::atoi(Text);
}

/** Runs scripts until one violates the limit.
    @returns the violation, or an empty string when no script violates it. */
std::string findViolation(const share_rules &Rules, std::uint64_t Scripts) {
  const auto Script = makeScript();
  constexpr int FullSize = 100;
  for (std::uint64_t Seed = 1; Seed <= Scripts; ++Seed) {
    share_simulation Simulation(Rules, Seed);
    if (!Simulation.run(Script(rc::Random(Seed), FullSize).value()))
      return Simulation.violation();
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

TEST_CASE("VMs that spend all the tokens they get stay within the limit") {
  SUBCASE("without faults, and use most of it") {
    share_simulation Simulation({}, 1);
    const std::vector<fault_step> Quiet(
        10, {fault_kind::Wait, 0, std::chrono::seconds(3)});
    CHECK(Simulation.run(Quiet));
    // 46 s at 20 tokens a second, less 6 s in which the VMs register and the
    // parts are divided among them.
    constexpr double RateTimesSeconds = 20.0 * 40;
    CHECK(Simulation.tokensTaken() > 0.9 * RateTimesSeconds);
  }

  SUBCASE("under faults in any order") {
    rc::detail::TestParams Params = rc::detail::configuration().testParams;
    Params.maxSuccess = caseCount();
    const auto Property = [] {
      const auto Script = *makeScript();
      const auto Seed = *rc::gen::arbitrary<std::uint64_t>();
      share_simulation Simulation({}, Seed);
      if (!Simulation.run(Script))
        RC_FAIL(Simulation.violation());
    };
    const auto Result = rc::detail::checkTestable(
        Property, rc::detail::TestMetadata{"limits hold", {}}, Params);
    rc::detail::printResultMessage(Result, std::cerr);
    CHECK(Result.template is<rc::detail::SuccessResult>());
  }
}

TEST_CASE("the scripts that expose a missing rule pass with all rules on") {
  constexpr std::uint64_t Scripts = 500;
  CHECK(findViolation({}, Scripts) == "");
}

TEST_CASE("the simulation detects each rule that is left out") {
  share_rules Rules;

  SUBCASE("replies to an earlier process are accepted") {
    Rules.ChecksIncarnation = false;
  }
  SUBCASE("a bucket that becomes deeper gains tokens") {
    Rules.StartsEmpty = false;
  }
  SUBCASE("the ledger grows one part before the owner of another shrinks") {
    Rules.ShrinksBeforeGrow = false;
  }
  SUBCASE("deadlines are not checked again after a pause") {
    Rules.ChecksDeadlineAtSpend = false;
  }
  SUBCASE("a successor does not wait for the loans of its predecessor") {
    Rules.WaitsOutLoans = false;
  }
  SUBCASE("granted tokens do not reduce the depth") {
    Rules.CountsGrants = false;
  }

  const std::string Violation = findViolation(Rules, ScriptsPerOmission);
  CHECK_FALSE(Violation.empty());
  MESSAGE(Violation);
}
