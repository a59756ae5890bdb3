#include "adapter/synchronizer_fixture.h"
#include "platform/store_revision.h"
#include "platform/table_copy.h"

#include <doctest/doctest.h>

#include <optional>
#include <string>
#include <utility>

using namespace sesamepaddle;
using namespace sesamepaddle::adapter;

namespace {

/** A store with a backup, and a VM that has seen it. */
class backup_fixture : public synchronizer_fixture {
public:
  backup_fixture() {
    Store.Era = 4;
    Store.put("op", "evacuate/lima-b", "{}");
    Store.put("servers", "i-5", endpointText("ready", 9));
    start();
    await([&] {
      return Fleet.endpoints().size() == 2 && !Fleet.evacuated().empty() &&
             Store.value("vm", "vm-1").has_value();
    });
  }

  void backUp() {
    onThread([&] {
      Store.backUp();
      return true;
    });
  }

  /** Takes the store back to the backup, and lets @p Write run before anyone
      else calls it. */
  template <typename Function> void restore(Function Write) {
    onThread([&] {
      Store.restore();
      Write();
      return true;
    });
  }

  bool isKnown(const std::string &Id) { return endpoint(Id) != nullptr; }
};

} // namespace

// The store gives out the versions after its backup a second time.
TEST_CASE("after the store went back to a backup, a VM sees what is written "
          "there with versions that it has seen") {
  backup_fixture Fixture;
  Fixture.backUp();
  Fixture.change("servers", "i-2", endpointText("ready"));
  Fixture.change("servers", "i-3", endpointText("ready"));
  Fixture.await([&] { return Fixture.Fleet.endpoints().size() == 4; });
  Fixture.restore([&] {
    Fixture.Store.put("servers", "i-6", endpointText("ready"));
    Fixture.Store.put("servers", "i-1", endpointText("draining", 5));
    Fixture.Store.put("op", "config", configurationText(8));
  });
  CHECK(Fixture.awaitBriefly([&] {
    const auto &Endpoints = Fixture.Fleet.endpoints();
    const auto Leaving = Endpoints.find(endpoint_id("i-1"));
    return Endpoints.find(endpoint_id("i-6")) != nullptr &&
           Leaving != nullptr && Leaving->Record.IsLeaving &&
           Fixture.Fleet.configuration()->version() == 8;
  }));

  SUBCASE("and forgets endpoints that are not written again") {
    Fixture.change("servers", "i-2", endpointText("ready", 6));
    CHECK(Fixture.awaitBriefly([&] {
      Fixture.Fleet.endpoints().expire(boot_clock::now());
      return Fixture.Fleet.endpoints().find(endpoint_id("i-3")) == nullptr;
    }));
    CHECK(Fixture.isKnown("i-2"));
  }
}

TEST_CASE("a backup of the store does not undo what VMs know") {
  backup_fixture Fixture;
  Fixture.backUp();

  SUBCASE("an endpoint that left is not used again") {
    Fixture.change("servers", "i-5", std::nullopt);
    Fixture.await([&] { return Fixture.Fleet.endpoints().size() == 1; });
    Fixture.restore(
        [&] { Fixture.Store.put("servers", "i-6", endpointText("ready")); });
    Fixture.await([&] { return Fixture.Fleet.endpoints().size() == 2; });
    CHECK_FALSE(Fixture.isKnown("i-5"));

    SUBCASE("until it has written again") {
      Fixture.change("servers", "i-5", endpointText("ready", 10));
      CHECK(Fixture.awaitBriefly(
          [&] { return Fixture.Fleet.endpoints().size() == 3; }));
    }
  }

  SUBCASE("nor one that drains") {
    Fixture.change("servers", "i-5", endpointText("draining", 10));
    const auto IsLeaving = [&] {
      return Fixture.Fleet.endpoints()
          .find(endpoint_id("i-5"))
          ->Record.IsLeaving;
    };
    Fixture.await(IsLeaving);
    Fixture.restore(
        [&] { Fixture.Store.put("servers", "i-6", endpointText("ready")); });
    Fixture.await([&] { return Fixture.Fleet.endpoints().size() == 3; });
    CHECK(Fixture.onThread(IsLeaving));
  }

  SUBCASE("an older configuration does not come into force") {
    Fixture.change("op", "config", configurationText(7));
    Fixture.await(
        [&] { return Fixture.Fleet.configuration()->version() == 7; });
    Fixture.restore([&] { Fixture.Store.put("op", "evacuate/lima-a", "{}"); });
    Fixture.await([&] { return Fixture.Fleet.evacuated().size() == 2; });
    CHECK(Fixture.version() == 7);
  }

  SUBCASE("an evacuation that the backup lacks holds until it is written "
          "again") {
    Fixture.change("op", "evacuate/lima-a", "{}");
    Fixture.await([&] { return Fixture.Fleet.evacuated().size() == 2; });
    Fixture.restore(
        [&] { Fixture.Store.put("op", "config", configurationText(8)); });
    Fixture.await(
        [&] { return Fixture.Fleet.configuration()->version() == 8; });
    CHECK(Fixture.onThread([&] { return Fixture.Fleet.evacuated().size(); }) ==
          2);
    // The operator does not: it has been taken back.
    CHECK(Fixture.awaitBriefly(
        [&] { return Fixture.Fleet.evacuated().size() == 1; }));
  }
}

TEST_CASE("VMs write again what a backup of the store lacks") {
  synchronizer_fixture Fixture;
  Fixture.Store.Era = 1;
  Fixture.Store.backUp();
  Fixture.start();
  Fixture.awaitFirstRead();
  const auto WriteOrder = [&] {
    Fixture.Store.put("op", "rollout/s1",
                      R"({"service":"s1","to":"v2","durationS":60})");
  };
  const auto HasRow = [&](const char *Table, const char *Key) {
    return Fixture.awaitBriefly(
        [&] { return Fixture.Store.value(Table, Key).has_value(); });
  };
  Fixture.onThread([&] {
    WriteOrder();
    return true;
  });
  REQUIRE(HasRow("vm", "vm-1"));
  REQUIRE(HasRow("status", "rollout/s1"));
  const auto State = Fixture.onThread(
      [&] { return Fixture.Store.value("status", "rollout/s1"); });
  Fixture.onThread([&] {
    Fixture.Store.restore();
    WriteOrder();
    return true;
  });
  CHECK(HasRow("vm", "vm-1"));
  CHECK(HasRow("status", "rollout/s1"));
  CHECK(Fixture.onThread([&] {
    return Fixture.Store.value("status", "rollout/s1");
  }) == State);
}

// Without it a write could replace a row that it does not know.
TEST_CASE("a version that was given before the store went back to a backup is "
          "no condition for a write") {
  synchronizer_fixture Fixture;
  Fixture.Store.Era = 1;
  Fixture.Store.put("status", "a", "first");
  store_client Client(Fixture.Store.address());
  std::optional<write_result> Before;
  std::optional<write_result> After;
  asio::co_spawn(
      Fixture.Context,
      [&]() -> awaitable<void> {
        const auto Rows = co_await Client.readTable("status");
        REQUIRE(Rows.ok());
        const auto Known = Rows->Rows.front().Revision;
        CHECK(eraOf(Known) == 1);
        Fixture.Store.backUp();
        Fixture.Store.restore();
        CHECK((co_await Client.readTable("status")).ok());
        auto Result = co_await Client.writeRow("status", "a", "second", Known);
        REQUIRE(Result.ok());
        Before = *Result;
        Result = co_await Client.writeRow("status", "a", "second",
                                          makeRevision(2, versionOf(Known)));
        REQUIRE(Result.ok());
        After = *Result;
        Fixture.Context.stop();
      },
      asio::detached);
  Fixture.Context.run();
  CHECK_FALSE(Before->IsDone);
  CHECK(After->IsDone);
  CHECK(eraOf(After->Revision) == 2);
}

TEST_CASE("a VM that has no orders yet writes its row again as well") {
  synchronizer_fixture Fixture;
  Fixture.Store.Era = 1;
  Fixture.Store.backUp();
  Fixture.Store.SilentTables = {"op"};
  Fixture.start();
  // Its row is written, and then read with the list.
  REQUIRE(Fixture.awaitBriefly(
      [&] { return Fixture.Store.AnsweredReads["vm"] >= 2; }));
  Fixture.onThread([&] {
    Fixture.Store.restore();
    Fixture.Store.SilentTables.clear();
    return true;
  });
  CHECK(Fixture.awaitBriefly(
      [&] { return Fixture.Store.value("vm", "vm-1").has_value(); }));
}
