#include "sesamepaddle/settings/units.h"

#include <doctest/doctest.h>

using namespace sesamepaddle;
using std::chrono::milliseconds;

TEST_CASE("values are read with their units") {
  SUBCASE("durations") {
    CHECK(parseDuration("250ms") == milliseconds(250));
    CHECK(parseDuration("3s") == milliseconds(3'000));
    CHECK(parseDuration("1.5s") == milliseconds(1'500));
    CHECK(parseDuration("5min") == milliseconds(300'000));
    CHECK(parseDuration("2h") == milliseconds(7'200'000));
  }
  SUBCASE("sizes") {
    CHECK(parseBytes("512B") == 512U);
    CHECK(parseBytes("64KiB") == 65'536U);
    CHECK(parseBytes("4MiB") == 4'194'304U);
  }
  SUBCASE("rates and percentages") {
    CHECK(parseRate("50/s") == 50.0);
    CHECK(parsePercent("12.5%") == doctest::Approx(0.125));
  }
}

TEST_CASE("values without a unit and malformed values are rejected") {
  for (const char *Text :
       {"", "3", "s", "-1s", "3 parsecs", "nans", "infs", "1e300h", "3s3s"})
    CHECK_FALSE_MESSAGE(parseDuration(Text), Text);
  for (const char *Text : {"", "512", "-1B", "1KB", "1e300GiB"})
    CHECK_FALSE_MESSAGE(parseBytes(Text), Text);
  for (const char *Text : {"", "50", "50/min", "-1/s", "nan/s"})
    CHECK_FALSE_MESSAGE(parseRate(Text), Text);
}

TEST_CASE("an address is an IP address and a port") {
  for (const char *Text : {"127.0.0.1:8080", "10.1.2.3:1", "::1:65535"})
    CHECK_MESSAGE(isSocketAddress(Text), Text);
  for (const char *Text :
       {"", "8080", "127.0.0.1", "127.0.0.1:", "127.0.0.1:0", "127.0.0.1:65536",
        "127.0.0.1:-1", "127.0.0.1:80a", "127.0.0.1: 80", "127.0.0.256:80",
        "localhost:80", "127.1:80"})
    CHECK_FALSE_MESSAGE(isSocketAddress(Text), Text);
}

TEST_CASE("a name has 1 to 64 letters, digits, '-', '_' and '.'") {
  CHECK(isName("vm-127.0.0.1_b"));
  CHECK_FALSE(isName(""));
  CHECK_FALSE(isName("two words"));
  CHECK_FALSE(isName("quote\""));
  CHECK_FALSE(isName(std::string(65, 'x')));
}
