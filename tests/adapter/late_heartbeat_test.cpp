#include "adapter/synchronizer_fixture.h"
#include "platform/row_codec.h"
#include "platform/table_copy.h"

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>
#include <rapidcheck.h>

#include <cstddef>
#include <optional>
#include <string>
#include <utility>
#include <vector>

using namespace sesamepaddle;
using namespace sesamepaddle::adapter;

namespace {

/** @returns whether VMs may use endpoint i-1; false when it is unknown. */
bool isUsed(synchronizer_fixture &Fixture) {
  const auto Endpoint = Fixture.endpoint("i-1");
  return Endpoint != nullptr && !Endpoint->Record.IsLeaving;
}

/** Writes a row after all others and waits until the VM has it, and so also
    what was written before. */
void awaitRows(synchronizer_fixture &Fixture) {
  Fixture.change("servers", "marker", endpointText("ready"));
  Fixture.await([&] {
    return Fixture.Fleet.endpoints().find(endpoint_id("marker")) != nullptr;
  });
  Fixture.change("servers", "marker", std::nullopt);
  Fixture.await([&] {
    return Fixture.Fleet.endpoints().find(endpoint_id("marker")) == nullptr;
  });
}

} // namespace

// The store may carry out a write that it did not answer seconds later, after
// the endpoint has written again. Its row then says less than VMs know already.
TEST_CASE("a heartbeat that is carried out late does not put an endpoint back "
          "into use") {
  synchronizer_fixture Fixture;
  Fixture.start();
  Fixture.awaitFirstRead();
  REQUIRE(isUsed(Fixture));

  SUBCASE("when the endpoint has said that it drains") {
    Fixture.change("servers", "i-1", endpointText("draining", 7));
    Fixture.await([&] {
      return Fixture.Fleet.endpoints()
          .find(endpoint_id("i-1"))
          ->Record.IsLeaving;
    });
    Fixture.change("servers", "i-1", endpointText("ready", 6));
    awaitRows(Fixture);
    CHECK_FALSE(isUsed(Fixture));

    SUBCASE("and a heartbeat that follows does not either") {
      Fixture.change("servers", "i-1", endpointText("draining", 8));
      awaitRows(Fixture);
      CHECK_FALSE(isUsed(Fixture));
    }

    SUBCASE("but a new start under its id does") {
      Fixture.change("servers", "i-1", endpointText("ready", 1, 1235));
      awaitRows(Fixture);
      CHECK(isUsed(Fixture));
    }
  }

  SUBCASE("when its row was removed") {
    Fixture.change("servers", "i-1", endpointText("ready", 7));
    awaitRows(Fixture);
    Fixture.change("servers", "i-1", std::nullopt);
    awaitRows(Fixture);
    REQUIRE(Fixture.endpoint("i-1") == nullptr);

    SUBCASE("by the endpoint") {
      Fixture.change("servers", "i-1", endpointText("ready", 6));
      awaitRows(Fixture);
      CHECK(Fixture.endpoint("i-1") == nullptr);
    }

    SUBCASE("also of an earlier start") {
      Fixture.change("servers", "i-1", endpointText("ready", 99, 1233));
      awaitRows(Fixture);
      CHECK(Fixture.endpoint("i-1") == nullptr);
    }

    SUBCASE("but one that is alive and writes again is used") {
      Fixture.change("servers", "i-1", endpointText("ready", 8));
      awaitRows(Fixture);
      CHECK(isUsed(Fixture));
    }
  }
}

namespace {

/** What a copy holds of one endpoint's row. */
struct held_state {
  unsigned Born = 0;
  unsigned Sequence = 0;
  bool IsReady = false;

  bool isBefore(const held_state &Other) const {
    return std::pair(Born, Sequence) < std::pair(Other.Born, Other.Sequence);
  }
};

std::optional<held_state> heldState(const table_copy &Copy) {
  bool IsWhole = false;
  const auto Rows =
      readChanges(nlohmann::json::parse(Copy.changesSince(0, 0)), IsWhole);
  RC_ASSERT(Rows.ok());
  if (Rows->Rows.empty())
    return std::nullopt;
  const auto Row = nlohmann::json::parse(*Rows->Rows.front().Value);
  return held_state{Row.at("born"), Row.at("status").at("sequence"),
                    Row.at("status").at("state") == "ready"};
}

} // namespace

// An endpoint writes heartbeats, drains, is removed and starts again; any of
// its writes may be carried out late. One VM reads the store, another follows
// it.
TEST_CASE("fuzz: no late heartbeat undoes what a VM knows of an endpoint") {
  const bool IsKept = rc::check([] {
    const auto MakeCopy = [] {
      return table_copy(
          [](const std::string &Before, const std::string &After) {
            return !isPlainHeartbeat(Before, After);
          },
          [](const std::string &, const std::string &Known,
             const std::string &Row) {
            return isOutdatedEndpoint(Known, Row);
          });
    };
    auto Reader = MakeCopy();
    auto Follower = MakeCopy();
    std::uint64_t Revision = 0;
    const auto Write = [&](std::optional<std::string> Value) {
      store_rows Rows;
      Rows.Revision = ++Revision;
      Rows.Rows = {{"i-1", std::move(Value), Revision}};
      Reader.apply(std::move(Rows), false);
    };
    unsigned Born = 1;
    unsigned Sequence = 0;
    std::string State = "ready";
    std::vector<std::string> Lost;
    std::optional<held_state> LeavingAtReader;
    std::optional<held_state> LeavingAtFollower;
    // Once a copy has the word that the endpoint leaves, only a later start
    // makes it usable.
    const auto Check = [](const table_copy &Copy,
                          std::optional<held_state> &Leaving) {
      const auto Held = heldState(Copy);
      if (Held && !Held->IsReady && (!Leaving || Leaving->isBefore(*Held)))
        Leaving = Held;
      if (Held && Held->IsReady && Leaving)
        RC_ASSERT(Held->Born > Leaving->Born);
    };
    const auto Steps =
        *rc::gen::container<std::vector<int>>(40, rc::gen::inRange(0, 10));
    for (const int Step : Steps) {
      if (Step < 4) { // a heartbeat
        Write(endpointText(State, ++Sequence, Born));
      } else if (Step < 6) { // one that is lost, and may be carried out late
        Lost.push_back(endpointText(State, ++Sequence, Born));
      } else if (Step == 6 && !Lost.empty()) {
        const auto Index = *rc::gen::inRange<std::size_t>(0, Lost.size());
        Write(Lost[Index]);
        Lost.erase(Lost.begin() + static_cast<std::ptrdiff_t>(Index));
      } else if (Step == 7) {
        State = "draining";
        Write(endpointText(State, ++Sequence, Born));
      } else if (Step == 8 && State == "draining") {
        Write(std::nullopt);
      } else if (Step == 9 && State == "draining") {
        ++Born;
        Sequence = 0;
        State = "ready";
        Write(endpointText(State, ++Sequence, Born));
      }
      Check(Reader, LeavingAtReader);
      if (*rc::gen::inRange(0, 2) == 0) {
        bool IsWhole = false;
        auto Changes = readChanges(
            nlohmann::json::parse(Reader.changesSince(Follower.revision(), 0)),
            IsWhole);
        RC_ASSERT(Changes.ok());
        Follower.apply(std::move(*Changes), IsWhole);
        Check(Follower, LeavingAtFollower);
      }
    }
  });
  CHECK(IsKept);
}
