#include "platform/store_clock.h"

#include <doctest/doctest.h>

using namespace sesamepaddle;
using namespace sesamepaddle::adapter;
using std::chrono::milliseconds;
using std::chrono::seconds;

TEST_CASE("the store's clock is estimated from its answers") {
  store_clock Clock;
  const time_point Start{seconds(1'000)};
  CHECK(!Clock.at(Start));

  // The store read its clock at an unknown moment of this second.
  Clock.observe(50, Start, Start + seconds(1));
  CHECK(*Clock.at(Start + seconds(1)) == doctest::Approx(50));
  CHECK(*Clock.at(Start + seconds(3)) == doctest::Approx(52));

  SUBCASE("a faster answer makes the estimate more accurate") {
    Clock.observe(52.8, Start + seconds(3),
                  Start + seconds(3) + milliseconds(20));
    CHECK(*Clock.at(Start + seconds(4)) == doctest::Approx(53.78));
    SUBCASE("which a slower one does not undo") {
      Clock.observe(53.8, Start + seconds(4), Start + seconds(9));
      CHECK(*Clock.at(Start + seconds(9)) == doctest::Approx(58.78));
    }
  }

  SUBCASE("a VM whose estimate is behind does not make rows look younger") {
    Clock.observeEstimate(51, Start + seconds(3));
    CHECK(*Clock.at(Start + seconds(3)) == doctest::Approx(52));
    Clock.observeEstimate(52.5, Start + seconds(3));
    CHECK(*Clock.at(Start + seconds(3)) == doctest::Approx(52.5));
  }

  SUBCASE("an answer without a time is left out") {
    Clock.observe(0, Start + seconds(3), Start + seconds(3));
    CHECK(*Clock.at(Start + seconds(3)) == doctest::Approx(52));
  }

  SUBCASE("a clock that has started again is followed") {
    Clock.observe(2, Start + seconds(3), Start + seconds(3) + milliseconds(20));
    const double Estimate = *Clock.at(Start + seconds(4));
    CHECK(Estimate >= 2.98);
    CHECK(Estimate <= 3.0);
  }
}
