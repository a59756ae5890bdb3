#include "sesamepaddle/moves/version_comparison.h"

#include <doctest/doctest.h>

#include <random>

using namespace sesamepaddle;

namespace {

constexpr double UsualRate = 0.01;

/** Adds requests with the given fault rates until the test rejects.
    @returns the number of requests before that, or @p Most when it does not
             reject. */
unsigned requestsUntilRejected(version_comparison &Test, double OldRate,
                               double NewRate, double Share, unsigned Most,
                               std::uint64_t Seed) {
  std::mt19937_64 Random(Seed);
  std::uniform_real_distribution<> Uniform;
  for (unsigned Count = 0; Count < Most; ++Count) {
    const bool IsNew = Uniform(Random) < Share;
    const bool IsFault = Uniform(Random) < (IsNew ? NewRate : OldRate);
    Test.add(IsFault, IsNew, Share, UsualRate);
    if (Test.isRejected())
      return Count;
  }
  return Most;
}

} // namespace

TEST_CASE("the comparison rejects bad versions only") {
  constexpr unsigned Most = 5'000;

  SUBCASE("equally good versions are rejected no more often than stated") {
    constexpr double StatedRate = 0.05;
    constexpr unsigned Runs = 400;
    unsigned Rejected = 0;
    for (unsigned Run = 0; Run < Runs; ++Run) {
      version_comparison Test(StatedRate, 100);
      if (requestsUntilRejected(Test, 0.05, 0.05, 0.3, 2'000, Run) < 2'000)
        ++Rejected;
    }
    CHECK(Rejected <= StatedRate * Runs);
  }

  SUBCASE("versions that both fail nearly always are not rejected") {
    version_comparison Test(1e-3, 100);
    CHECK(requestsUntilRejected(Test, 0.9, 0.9, 0.2, Most, 3) == Most);
  }

  SUBCASE("a version that always fails is rejected after a few requests") {
    version_comparison Test(1e-3, 100);
    CHECK(requestsUntilRejected(Test, 0.001, 1.0, 0.5, Most, 4) < 40);
  }

  SUBCASE("a fault that begins late is found too") {
    version_comparison Test(1e-3, 100);
    REQUIRE(requestsUntilRejected(Test, 0.01, 0.01, 0.5, Most, 5) == Most);
    Test.restart();

    SUBCASE("because a restart adds weight to it") {
      CHECK(requestsUntilRejected(Test, 0.01, 0.6, 0.5, Most, 6) < 100);
    }
  }

  SUBCASE("takePending() holds all evidence of this VM") {
    version_comparison Here(1e-3, 100);
    version_comparison There(1e-3, 100);
    requestsUntilRejected(Here, 0.001, 1.0, 0.5, Most, 7);
    REQUIRE(Here.isRejected());
    There.addRatios(Here.takePending());
    CHECK(There.isRejected());
    CHECK(Here.pendingRise() == 0);
  }
}
