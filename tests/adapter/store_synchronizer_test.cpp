#include "adapter/synchronizer_fixture.h"
#include "sesamepaddle/net/http_server.h"
#include "sesamepaddle/steering/rendezvous.h"

#include <doctest/doctest.h>

#include <chrono>
#include <string>
#include <vector>

using namespace sesamepaddle;
using namespace sesamepaddle::adapter;

TEST_CASE("a VM follows the store") {
  synchronizer_fixture Fixture;
  Fixture.start();
  Fixture.awaitFirstRead();
  CHECK(Fixture.version() == 3);

  SUBCASE("and writes its own row") {
    Fixture.await(
        [&] { return Fixture.Store.value("vm", "vm-1").has_value(); });
  }

  SUBCASE("a newer configuration is applied, an older one is ignored") {
    Fixture.change("op", "config", configurationText(5));
    Fixture.await(
        [&] { return Fixture.Fleet.configuration()->version() == 5; });
    Fixture.change("op", "config", configurationText(4));
    Fixture.change("op", "evacuate/lima-a", "{}");
    Fixture.await([&] { return !Fixture.Fleet.evacuated().empty(); });
    CHECK(Fixture.version() == 5);
  }

  SUBCASE("an unreadable row is ignored and does not affect other rows") {
    Fixture.change("servers", "i-2", "\xff\xfe");
    Fixture.change("servers", "i-3", endpointText("ready"));
    Fixture.await([&] { return Fixture.Fleet.endpoints().size() == 2; });
    CHECK(Fixture.endpoint("i-2") == nullptr);
    CHECK(Fixture.endpoint("i-3") != nullptr);
  }

  SUBCASE("draining and removal of an endpoint are noticed") {
    Fixture.change("servers", "i-1", endpointText("draining"));
    Fixture.await([&] {
      return Fixture.Fleet.endpoints()
          .find(endpoint_id("i-1"))
          ->Record.IsLeaving;
    });
    Fixture.change("servers", "i-1", std::nullopt);
    Fixture.await([&] { return Fixture.Fleet.endpoints().size() == 0; });
  }

  SUBCASE("after the store dropped its history, the whole table is read") {
    Fixture.onThread([&] {
      Fixture.Store.put("servers", "i-1", std::nullopt);
      Fixture.Store.put("servers", "i-4", endpointText("ready"));
      Fixture.Store.dropHistory();
      return true;
    });
    Fixture.await([&] {
      return Fixture.Fleet.endpoints().find(endpoint_id("i-4")) != nullptr &&
             Fixture.Fleet.endpoints().size() == 1;
    });
  }

  SUBCASE("during an outage of the store, known state is kept") {
    auto Behavior = store_behavior::Busy;
    SUBCASE("when the store answers 503") {}
    SUBCASE("when the store does not answer") {
      Behavior = store_behavior::Silent;
    }
    Fixture.setBehavior(Behavior);
    Fixture.await([&] { return Fixture.Fleet.isStoreLost(); });
    CHECK(Fixture.version() == 3);
    CHECK(Fixture.endpoint("i-1") != nullptr);
    Fixture.change("op", "config", configurationText(9));
    Fixture.change("servers", "i-1", std::nullopt);
    Fixture.setBehavior(store_behavior::Serving);
    Fixture.await(
        [&] { return Fixture.Fleet.configuration()->version() == 9; });
    // The missing row may have expired during the outage, so the endpoint is
    // removed only after the grace period.
    Fixture.await([&] {
      Fixture.Fleet.endpoints().expire(boot_clock::now());
      return Fixture.Fleet.endpoints().size() == 0;
    });
  }
}

// A reader may be short of processor time, as all are while a fleet starts. If
// each of its followers read the store then, a fleet of 295 VMs would make two
// thousand calls.
TEST_CASE(
    "a VM does not take the shares of VMs that the store does not list yet") {
  synchronizer_fixture Fixture;
  Fixture.Store.put("vm", "vm-2", R"({"gossip":"127.0.0.1:7742"})");
  const auto AwaitList = [&] {
    Fixture.start();
    Fixture.await([&] { return Fixture.Fleet.vmCount() == 2; });
    Fixture.await(
        [&] { return Fixture.Store.value("vm", "vm-1").has_value(); });
  };
  const auto SharingVms = [&] {
    return Fixture.onThread([&] { return Fixture.Fleet.sharingVms(); });
  };

  SUBCASE("at the first start of the fleet") {
    AwaitList();
    CHECK(SharingVms() > 1'000'000);
  }
  SUBCASE("and takes its own when it starts anew") {
    Fixture.Store.put("vm", "vm-1", R"({"gossip":"127.0.0.1:7740"})");
    AwaitList();
    CHECK(SharingVms() == 2);
  }
}

// Two VMs that do not know each other make the same tokens of a limit.
TEST_CASE("VMs that start at the same moment learn of each other") {
  synchronizer_fixture Fixture;
  // The other one writes its row after this one has read the list, and has read
  // the list itself before this one writes.
  Fixture.Store.BeforeCommit = [&] {
    Fixture.Store.put("vm", "vm-2", R"({"gossip":"127.0.0.1:7742"})");
  };
  Fixture.start();
  Fixture.await([&] { return Fixture.Store.value("vm", "vm-1").has_value(); });
  CHECK(Fixture.awaitBriefly([&] { return Fixture.Fleet.vmCount() == 2; }));
  CHECK(Fixture.onThread([&] { return Fixture.Fleet.sharingVms(); }) >
        1'000'000);
}

TEST_CASE("when its reader does not answer, a VM asks another one first") {
  synchronizer_fixture Fixture;
  std::size_t SilentPolls = 0;
  std::size_t FreshPolls = 0;
  const auto Silent = http_server::start(
      Fixture.Pool, "127.0.0.1:0",
      [&](const http_exchange &) -> awaitable<http_reply> {
        ++SilentPolls;
        asio::steady_timer Timer(co_await asio::this_coro::executor,
                                 std::chrono::seconds(5));
        co_await Timer.async_wait(asio::use_awaitable);
        co_return http_reply{};
      });
  const auto Fresh =
      http_server::start(Fixture.Pool, "127.0.0.1:0",
                         [&](const http_exchange &) -> awaitable<http_reply> {
                           ++FreshPolls;
                           co_return makeJsonReply(200, Fixture.freshRows());
                         });
  REQUIRE(Silent.ok());
  REQUIRE(Fresh.ok());
  Fixture.start();
  Fixture.awaitFirstRead();
  // The VM whose name has the lowest hash reads for the others.
  std::vector<std::string> Names;
  for (int Number = 0; Names.size() < 2; ++Number) {
    const auto Name = "reader-" + std::to_string(Number);
    if (stableHash(Name) < stableHash("vm-1"))
      Names.push_back(Name);
  }
  if (stableHash(Names[1]) < stableHash(Names[0]))
    std::swap(Names[0], Names[1]);
  const auto Introduce = [&] {
    for (std::size_t Index = 0; Index < 2; ++Index) {
      known_vm Vm;
      Vm.Name = vm_name(Names[Index]);
      Vm.Region = region_name("lima");
      Vm.PeerHttpAddress =
          formatEndpoint((Index == 0 ? *Silent : *Fresh)->localEndpoint());
      Vm.IsReady = true;
      Vm.LastHeard = boot_clock::now();
      Fixture.Fleet.applyVm(std::move(Vm));
    }
  };
  Fixture.await([&] {
    Introduce();
    return SilentPolls > 0;
  });
  const auto Calls = Fixture.onThread([&] { return Fixture.Store.Calls; });
  Fixture.await([&] {
    Introduce();
    return FreshPolls >= 3;
  });
  CHECK(Fixture.onThread([&] { return Fixture.Store.Calls; }) == Calls);
}

TEST_CASE("a VM that starts while the store is away") {
  synchronizer_fixture Fixture;
  Fixture.Store.Behavior = store_behavior::Busy;
  Fixture.start();
  Fixture.await([&] { return Fixture.Fleet.isStoreLost(); });
  CHECK(Fixture.version() == 0);

  SUBCASE("gets a configuration soon after the store recovers") {
    Fixture.setBehavior(store_behavior::Serving);
    Fixture.awaitFirstRead();
    CHECK(Fixture.version() == 3);
  }
}
