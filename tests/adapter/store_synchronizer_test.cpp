#include "adapter/scripted_store.h"
#include "platform/store_synchronizer.h"
#include "sesamepaddle/net/http_server.h"
#include "sesamepaddle/steering/rendezvous.h"

#include <doctest/doctest.h>

#include <chrono>
#include <future>
#include <memory>
#include <string>
#include <thread>
#include <vector>

using namespace sesamepaddle;
using namespace sesamepaddle::adapter;
using std::chrono::milliseconds;

namespace {

std::string configurationText(unsigned Version) {
  return R"({"version":)" + std::to_string(Version) +
         R"(,"services":[{"name":"s1"}],"limits":{},"tenants":[],"hosts":[]})";
}

std::string endpointText(const std::string &State) {
  return R"({"address":"10.128.0.9:8080","born":1234,"information":
             {"service":"s1","version":"v1","zone":"lima-a","slots":5},
             "status":{"state":")" +
         State + R"(","sequence":4,"coldRemainingS":0}})";
}

/** A fake store and the synchronizer of one VM, on a thread of their own. */
class synchronizer_fixture {
public:
  synchronizer_fixture() : Pool(Context), Store(Pool), Fleet(makeOptions()) {
    Store.put("op", "config", configurationText(3));
    Store.put("servers", "i-1", endpointText("ready"));
    platform_settings Settings;
    Settings.Ingress = makeOptions();
    Settings.StoreAddress = Store.address();
    Settings.Regions = {{"lima-a", "lima"}};
    Synchronizer =
        std::make_shared<store_synchronizer>(Context, Fleet, Settings);
  }
  ~synchronizer_fixture() {
    Context.stop();
    if (Thread.joinable())
      Thread.join();
  }
  synchronizer_fixture(const synchronizer_fixture &) = delete;
  synchronizer_fixture &operator=(const synchronizer_fixture &) = delete;

  void start() {
    Synchronizer->start();
    Thread = std::thread([this] { Context.run(); });
  }

  /** Runs @p Work on the fixture's thread and waits for its result. */
  template <typename Function> auto onThread(Function Work) {
    std::promise<decltype(Work())> Result;
    asio::post(Context, [&] { Result.set_value(Work()); });
    return Result.get_future().get();
  }

  /** Polls @p Condition on the fixture's thread until it holds. If it never
      does, the test's time limit ends the wait. */
  template <typename Function> void await(Function Condition) {
    while (!onThread(Condition))
      std::this_thread::sleep_for(milliseconds(10));
  }

  /** Waits for both tables, which are read independently, in any order. */
  void awaitFirstRead() {
    await([&] {
      return Fleet.endpoints().size() == 1 && Fleet.configuration() != nullptr;
    });
  }

  /** Writes a row of the store, or removes it when there is no @p Value. */
  void change(const std::string &Table, const std::string &Key,
              std::optional<std::string> Value) {
    onThread([&] {
      Store.put(Table, Key, std::move(Value));
      return true;
    });
  }

  void setBehavior(store_behavior Behavior) {
    onThread([&] {
      Store.Behavior = Behavior;
      return true;
    });
  }

  std::uint64_t version() {
    return onThread([&] {
      return Fleet.configuration() ? Fleet.configuration()->version() : 0;
    });
  }

  auto endpoint(const std::string &Id) {
    return onThread([&] { return Fleet.endpoints().find(endpoint_id(Id)); });
  }

  asio::io_context Context{1};
  worker_pool Pool;
  scripted_store Store;
  fleet_state Fleet;

private:
  static ingress_options makeOptions() {
    ingress_options Options;
    Options.Vm.Name = vm_name("vm-1");
    Options.Vm.Region = region_name("lima");
    Options.Vm.GossipAddress = "127.0.0.1:7740";
    return Options;
  }

  std::shared_ptr<store_synchronizer> Synchronizer;
  std::thread Thread;
};

} // namespace

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
  const auto Fresh = http_server::start(
      Fixture.Pool, "127.0.0.1:0",
      [&](const http_exchange &) -> awaitable<http_reply> {
        ++FreshPolls;
        co_return makeJsonReply(200, R"({"fresh":true,"lapse_ms":0})");
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
