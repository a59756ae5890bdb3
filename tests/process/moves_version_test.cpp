#include "process/test_bed.h"

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

#include <atomic>
#include <chrono>
#include <ctime>
#include <fstream>
#include <iterator>
#include <string>
#include <thread>
#include <vector>

using namespace sesamepaddle;
using json = nlohmann::json;

namespace {

/** @returns the time @p FromNow from now, in UTC as "finish_by" expects it. */
std::string finishBy(std::chrono::seconds FromNow) {
  const std::time_t Time = std::chrono::system_clock::to_time_t(
      std::chrono::system_clock::now() + FromNow);
  std::tm Parts{};
  gmtime_r(&Time, &Parts);
  char Text[32];
  const auto Length =
      std::strftime(Text, sizeof(Text), "%Y-%m-%dT%H:%M:%SZ", &Parts);
  return {Text, Length};
}

/** Adds version v2, with its endpoints at @p Address, and a move to it. */
std::string withMove(std::string Document, const std::string &Address) {
  const std::string Active = "active_version: v1\n";
  const std::string Second =
      "  - name: v2\n    endpoints:\n      - { address: '" + Address +
      "', failure_domain: lima-a, slots: 64 }\n      - { address: '" + Address +
      "', failure_domain: lima-b, slots: 64 }\n";
  Document.replace(Document.find(Active), Active.size(), Second + Active);
  return Document + "move: { to: v2, cap_per_minute: 90%, finish_by: '" +
         finishBy(std::chrono::minutes(3)) + "' }\n";
}

std::string readFile(const std::string &Path) {
  std::ifstream File(Path);
  return {std::istreambuf_iterator<char>(File),
          std::istreambuf_iterator<char>()};
}

/** @returns the state of the VM's first move; empty when there is none or the
    VM does not answer. */
std::string moveState(const bed_vm &Vm) {
  http_request Request;
  Request.Target = "/status";
  const auto Reply = sendRequest(Vm.ControlAddress, Request, 1'000);
  if (!Reply.ok())
    return {};
  const json Status = json::parse(Reply->Body, nullptr, false);
  for (const auto &Move : Status["moves"])
    return Move["state"];
  return {};
}

/** Sends requests to all VMs until it is destroyed. */
class live_traffic {
public:
  explicit live_traffic(const std::vector<bed_vm> &Vms) {
    for (const auto &Vm : Vms)
      Senders.emplace_back([this, Address = Vm.CallerAddress] {
        http_request Request;
        Request.Method = "GET";
        Request.Target = "/services/pedidos/x";
        Request.Headers.push_back({"Sesamepaddle-Key", BedKey});
        while (!Stop.load()) {
          const auto Reply = sendRequest(Address, Request, 2'000);
          if (Reply.ok() && Reply->Status == 500)
            ++Failed;
          std::this_thread::sleep_for(std::chrono::milliseconds(10));
        }
      });
  }

  ~live_traffic() {
    Stop.store(true);
    for (auto &Sender : Senders)
      Sender.join();
  }

  std::atomic<unsigned> Failed{0}; ///< answers with status 500

private:
  std::atomic<bool> Stop{false};
  std::vector<std::thread> Senders;
};

} // namespace

TEST_CASE("a move to a faulty version is stopped during a platform outage") {
  test_bed Bed;
  Bed.putDocumentsInForce();
  child_process Bad("sesamepaddle-lab", {"upstream", "--name", "bad", "--slots",
                                         "64", "--fail-percent", "100"});
  const std::string Address = Bad.readLine().substr(6);
  const std::string Text =
      withMove(readFile(Bed.writeDocument("pedidos")), Address);
  REQUIRE(Bed.approve("pedidos", Bed.Folder.write("move.yaml", Text)) == 0);
  for (const auto &Vm : Bed.Vms)
    REQUIRE(eventually([&] { return test_bed::isInForce(Vm, "pedidos", 2); }));

  SUBCASE("on all VMs under live traffic, and recorded after the outage") {
    Bed.setPlatformFaults("{\"out\":true}");
    {
      const live_traffic Traffic(Bed.Vms);
      for (const auto &Vm : Bed.Vms)
        CHECK(eventually([&] { return moveState(Vm) == "stopped"; }));
      const unsigned Failed = Traffic.Failed.load();
      CHECK(Failed > 0);
      CHECK(Failed < 40);
      std::this_thread::sleep_for(std::chrono::milliseconds(500));
      CHECK(Traffic.Failed.load() <= Failed + 1);
    }
    Bed.setPlatformFaults("{}");
    for (const auto &Vm : Bed.Vms)
      CHECK(eventually([&] { return moveState(Vm) == "taken back"; }));
  }
}
