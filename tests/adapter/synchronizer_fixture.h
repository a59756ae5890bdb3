#ifndef SESAMEPADDLE_TESTS_ADAPTER_SYNCHRONIZER_FIXTURE_H
#define SESAMEPADDLE_TESTS_ADAPTER_SYNCHRONIZER_FIXTURE_H

#include "platform/store_synchronizer.h"
#include "support/scripted_store.h"
#include "support/slow_link.h"

#include <nlohmann/json.hpp>

#include <chrono>
#include <future>
#include <memory>
#include <optional>
#include <string>
#include <thread>

namespace sesamepaddle::adapter {

using std::chrono::milliseconds;

inline std::string configurationText(unsigned Version) {
  return R"({"version":)" + std::to_string(Version) +
         R"(,"services":[{"name":"s1"}],"limits":{},"tenants":[],"hosts":[]})";
}

inline std::string endpointText(const std::string &State, unsigned Sequence = 4,
                                unsigned Born = 1234) {
  return R"({"address":"10.128.0.9:8080","born":)" + std::to_string(Born) +
         R"(,"information":
             {"service":"s1","version":"v1","zone":"lima-a","slots":5},
             "status":{"state":")" +
         State + R"(","sequence":)" + std::to_string(Sequence) +
         R"(,"coldRemainingS":0}})";
}

/** Of the VM's process. */
constexpr incarnation FixtureIncarnation{7};

/** A fake store and the synchronizer of one VM, on a thread of their own. */
class synchronizer_fixture {
public:
  /** @param LinkBytesPerSecond  rate at which answers of the store arrive; 0:
     at once */
  explicit synchronizer_fixture(std::size_t LinkBytesPerSecond = 0)
      : Pool(Context), Store(Pool), Fleet(makeOptions()) {
    Store.put("op", "config", configurationText(3));
    Store.put("servers", "i-1", endpointText("ready"));
    platform_settings Settings;
    Settings.Ingress = makeOptions();
    Settings.StoreAddress = Store.address();
    if (LinkBytesPerSecond > 0) {
      StoreLink = std::make_unique<slow_link>(*parseEndpoint(Store.address()),
                                              LinkBytesPerSecond);
      Settings.StoreAddress = formatEndpoint(StoreLink->address());
    }
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

  /** Polls @p Condition for 20 s at most.
      @returns whether it held */
  template <typename Function> bool awaitBriefly(Function Condition) {
    const auto Until = std::chrono::steady_clock::now() + milliseconds(20'000);
    while (!onThread(Condition)) {
      if (std::chrono::steady_clock::now() >= Until)
        return false;
      std::this_thread::sleep_for(milliseconds(10));
    }
    return true;
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

  /** @returns the answer of a reader that has just read the store and found
      nothing new. */
  std::string freshRows() const {
    nlohmann::json Answer = {
        {"fresh", true}, {"lapse_ms", 0}, {"store_s", Store.secondsNow()}};
    for (const char *Table : {"op", "servers"})
      Answer[Table] = {{"schemaVersion", Store.revision()},
                       {"currentTimeS", Store.secondsNow()},
                       {"whole", false},
                       {"rows", nlohmann::json::array()}};
    return Answer.dump();
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

  std::shared_ptr<store_synchronizer> Synchronizer;

private:
  static ingress_options makeOptions() {
    ingress_options Options;
    Options.Vm.Name = vm_name("vm-1");
    Options.Vm.Incarnation = FixtureIncarnation;
    Options.Vm.Region = region_name("lima");
    Options.Vm.GossipAddress = "127.0.0.1:7740";
    Options.Vm.SeedGossipAddresses = {"127.0.0.1:7741"};
    return Options;
  }

  std::unique_ptr<slow_link> StoreLink;
  std::thread Thread;
};

} // namespace sesamepaddle::adapter

#endif
