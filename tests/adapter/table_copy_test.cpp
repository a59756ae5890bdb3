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

TEST_CASE(
    "a removal reaches other VMs also through one that never saw the row") {
  table_copy Reader;
  const auto Apply = [](table_copy &Copy, store_rows Rows, bool IsWhole) {
    Copy.apply(std::move(Rows), IsWhole);
  };
  const auto Known = [](const table_copy &Copy) {
    bool IsWhole = false;
    return readChanges(nlohmann::json::parse(Copy.changesSince(0, 0)), IsWhole)
        ->Rows.size();
  };
  table_copy Follower;
  store_rows First;
  First.Revision = 10;
  First.Rows = {{"a", "r", 9}};
  Apply(Follower, First, true);
  store_rows Gone;
  Gone.Revision = 12;
  Gone.Rows = {{"a", std::nullopt, 12}};

  SUBCASE("when it reads of the removal alone") {
    store_rows Empty;
    Empty.Revision = 5;
    Apply(Reader, Empty, true);
    Apply(Reader, Gone, false);
    bool IsWhole = false;
    Apply(Follower,
          *readChanges(nlohmann::json::parse(Reader.changesSince(10, 0)),
                       IsWhole),
          IsWhole);
    CHECK(Known(Follower) == 0);
  }

  SUBCASE("and an older answer that comes later does not undo it") {
    table_copy Late;
    Apply(Late, Gone, false);
    Apply(Late, First, false);
    CHECK(Known(Late) == 0);
  }
}

TEST_CASE("a removal before a VM's first read reaches the VMs that follow it") {
  table_copy Follower;
  store_rows First;
  First.Revision = 10;
  First.Rows = {{"a", "r", 9}, {"b", "r", 8}};
  Follower.apply(First, true);
  // It starts after the removal of "a" at revision 12.
  table_copy Reader;
  store_rows Later;
  Later.Revision = 20;
  Later.Rows = {{"b", "r", 8}};
  Reader.apply(Later, true);
  bool IsWhole = false;
  const auto Changes =
      readChanges(nlohmann::json::parse(Reader.changesSince(10, 0)), IsWhole);
  Follower.apply(*Changes, IsWhole);
  const auto Left =
      readChanges(nlohmann::json::parse(Follower.changesSince(0, 0)), IsWhole);
  CHECK(Left->Rows.size() == 1);
}
