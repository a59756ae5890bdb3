#include "sesamepaddle/ingress/refresh_schedule.h"

#include <doctest/doctest.h>

using namespace sesamepaddle;
using std::chrono::milliseconds;
using std::chrono::seconds;

TEST_CASE("old rows are read from the store, whatever the readers answer") {
  refresh_schedule Schedule;
  const time_point Start{seconds(100)};
  // In a region of 98 VMs one that is turned away tries every 4.9 s.
  const milliseconds RetryInterval{4'900};
  const auto IsDue = [&](milliseconds RowAge, duration After) {
    return Schedule.isReadDue(
        {false, RowAge, milliseconds(1'500), RetryInterval}, Start + After);
  };
  CHECK(IsDue(milliseconds::max(), seconds(0)));

  SUBCASE("a VM that the store answers reads whenever its rows are old") {
    Schedule.recordRead(true, Start);
    CHECK(!IsDue(milliseconds(900), seconds(1)));
    CHECK(IsDue(milliseconds(1'600), milliseconds(1'600)));
    SUBCASE("but not without a pause") {
      CHECK(!IsDue(milliseconds(1'600), milliseconds(100)));
    }
  }

  SUBCASE("one lost answer does not stop the reads of a VM") {
    Schedule.recordRead(false, Start);
    CHECK(IsDue(milliseconds(2'000), milliseconds(600)));
  }

  SUBCASE("a VM that the store turns away does not flood it") {
    Schedule.recordRead(false, Start - seconds(1));
    Schedule.recordRead(false, Start);
    CHECK(!IsDue(milliseconds(4'000), seconds(4)));
    CHECK(IsDue(milliseconds(5'000), seconds(5)));
  }

  SUBCASE("a VM that is to read for others tries again at times") {
    const auto IsTrialDue = [&](duration After) {
      return Schedule.isReadDue({false, milliseconds(900), milliseconds(1'500),
                                 milliseconds(250), true},
                                Start + After);
    };
    Schedule.recordRead(false, Start - seconds(1));
    Schedule.recordRead(false, Start);
    CHECK(!IsTrialDue(seconds(1)));
    CHECK(IsTrialDue(seconds(2)));
  }

  SUBCASE("a VM without a reader reads at its own pace") {
    Schedule.recordRead(true, Start);
    CHECK(Schedule.isReadDue(
        {true, milliseconds(0), milliseconds(1'500), RetryInterval}, Start));
    Schedule.recordRead(false, Start);
    CHECK(!Schedule.isReadDue(
        {true, milliseconds(0), milliseconds(1'500), RetryInterval}, Start));
    Schedule.recordRead(false, Start);
    CHECK(!Schedule.isReadDue(
        {true, milliseconds(0), milliseconds(1'500), RetryInterval},
        Start + seconds(4)));
  }
}
