#include "platform/table_copy.h"

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

#include <string>
#include <vector>

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

TEST_CASE("changes that were encoded for one VM are not repeated to another "
          "after newer ones") {
  table_copy Copy;
  const auto Apply = [&](std::uint64_t Revision) {
    store_rows Rows;
    Rows.Revision = Revision;
    Rows.Rows = {{"a", "r" + std::to_string(Revision), Revision}};
    Copy.apply(std::move(Rows), false);
  };
  const auto RevisionsSince = [&](std::uint64_t Since) {
    bool IsWhole = false;
    const auto Rows = readChanges(
        nlohmann::json::parse(Copy.changesSince(Since, 7.5)), IsWhole);
    REQUIRE(Rows.ok());
    CHECK(Rows->StoreSeconds == 7.5);
    CHECK(IsWhole == (Since == 0));
    std::vector<std::uint64_t> Revisions;
    for (const auto &Row : Rows->Rows)
      Revisions.push_back(Row.Revision);
    return Revisions;
  };
  Apply(1);
  for (int Vm = 0; Vm < 2; ++Vm)
    CHECK(RevisionsSince(0) == std::vector<std::uint64_t>{1});
  CHECK(RevisionsSince(1).empty());
  Apply(2);
  CHECK(RevisionsSince(0) == std::vector<std::uint64_t>{2});
  CHECK(RevisionsSince(1) == std::vector<std::uint64_t>{2});
}
