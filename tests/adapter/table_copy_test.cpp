#include "platform/table_copy.h"

#include <doctest/doctest.h>

using namespace sesamepaddle::adapter;

TEST_CASE("a table copy returns the rows that changed significantly") {
  table_copy Copy([](const std::string &Before, const std::string &After) {
    return Before[0] != After[0];
  });
  const auto Apply = [&](const std::string &Key,
                         std::optional<std::string> Value,
                         std::uint64_t Revision) {
    store_rows Rows;
    Rows.Revision = Revision;
    Rows.Rows = {{Key, std::move(Value), Revision}};
    return Copy.apply(std::move(Rows), false).size();
  };
  CHECK(Apply("a", "r1", 1) == 1);
  // A heartbeat: kept, but neither applied nor passed on.
  CHECK(Apply("a", "r2", 2) == 0);
  CHECK_FALSE(Copy.hasSignificantChangeSince(1));
  CHECK(Apply("a", "d2", 3) == 1);
  CHECK(Copy.hasSignificantChangeSince(2));
  CHECK(Apply("a", std::nullopt, 4) == 1);
  // The endpoint is back under its id.
  CHECK(Apply("a", "r1", 5) == 1);
  CHECK(Apply("a", "d1", 4) == 0);
}
