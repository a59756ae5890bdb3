#include "process/test_bed.h"

#include "sesamepaddle/documents/signing.h"
#include "sesamepaddle/net/http_client.h"
#include "sesamepaddle/net/http_server.h"

#include <nlohmann/json.hpp>

#include <chrono>
#include <optional>
#include <stdexcept>
#include <thread>

namespace sesamepaddle {

using json = nlohmann::json;

const std::string BedKey = "key-of-the-bakery";

namespace {

constexpr std::chrono::seconds EventuallyTimeout{20};
constexpr std::chrono::milliseconds EventuallyInterval{20};

// Token buckets start empty. The workspace's burst of 400 at 400/s takes 1 s to
// fill.
constexpr std::chrono::milliseconds BucketFillTime{1'000};

/** Address and failure domain of one entry VM. */
struct vm_location {
  const char *Ip;
  const char *FailureDomain;
};

constexpr vm_location Locations[] = {{"127.0.0.11", "lima-a"},
                                     {"127.0.0.12", "lima-a"},
                                     {"127.0.0.21", "lima-b"},
                                     {"127.0.0.22", "lima-b"}};

/** @returns the address that a stand-in prints when it has started. */
std::string readReadyAddress(child_process &Child) {
  const std::string Line = Child.readLine();
  if (!Line.starts_with("ready "))
    throw std::runtime_error("a stand-in did not start");
  return Line.substr(6);
}

} // namespace

absl::StatusOr<http_reply> sendRequest(const std::string &Address,
                                       http_request Request,
                                       int TimeoutMilliseconds) {
  const auto Endpoint = parseEndpoint(Address);
  if (!Endpoint.ok())
    return Endpoint.status();
  asio::io_context Context(1);
  http_client Client;
  std::optional<absl::StatusOr<http_reply>> Reply;
  http_call_options Options;
  Options.Timeout = std::chrono::milliseconds(TimeoutMilliseconds);
  asio::co_spawn(Context, Client.call(*Endpoint, Request, Options),
                 [&](const std::exception_ptr &, auto Result) {
                   Reply = std::move(Result);
                 });
  Context.run();
  return *Reply;
}

bool eventually(const std::function<bool()> &Condition) {
  const auto Deadline = std::chrono::steady_clock::now() + EventuallyTimeout;
  while (std::chrono::steady_clock::now() < Deadline) {
    if (Condition())
      return true;
    std::this_thread::sleep_for(EventuallyInterval);
  }
  return Condition();
}

test_bed::test_bed(std::string ExtraSettings)
    : PlatformAddress(reserveAddress("127.0.0.1")),
      ExtraSettings(std::move(ExtraSettings)) {
  Platform = std::make_unique<child_process>(
      "sesamepaddle-lab",
      std::vector<std::string>{"platform", "--listen", PlatformAddress,
                               "--list-lag-ms", "100"});
  readReadyAddress(*Platform);
  startUpstreams();
  makeOwners();
  json List = json::array();
  for (const auto &Location : Locations) {
    bed_vm Vm;
    Vm.Name = std::string("vm-") + Location.Ip;
    Vm.FailureDomain = Location.FailureDomain;
    Vm.CallerAddress = reserveAddress(Location.Ip);
    Vm.PeerAddress = reserveAddress(Location.Ip);
    Vm.ControlAddress = reserveAddress(Location.Ip);
    writeSettings(Vm);
    List.push_back({{"name", Vm.Name},
                    {"region", "lima"},
                    {"failure_domain", Vm.FailureDomain},
                    {"callers", Vm.CallerAddress},
                    {"peers", Vm.PeerAddress},
                    {"control", Vm.ControlAddress},
                    {"state", "live"}});
    Vms.push_back(std::move(Vm));
  }
  http_request Request;
  Request.Method = "POST";
  Request.Target = "/vms";
  Request.Body = json({{"vms", List}}).dump();
  if (!sendRequest(PlatformAddress, Request).ok())
    throw std::runtime_error("the platform did not accept the VM list");
  for (auto &Vm : Vms)
    startVm(Vm);
}

void test_bed::startUpstreams() {
  for (const char *Name :
       {"pedidos-a", "pedidos-b", "catalogo-a", "catalogo-b"}) {
    auto Upstream = std::make_unique<child_process>(
        "sesamepaddle-lab",
        std::vector<std::string>{"upstream", "--name", Name, "--slots", "64"});
    UpstreamAddresses.push_back(readReadyAddress(*Upstream));
    Upstreams.push_back(std::move(Upstream));
  }
}

void test_bed::makeOwners() {
  for (const char *Owner : {"ana", "luis"}) {
    auto Result =
        runToEnd("sesamepaddle", {"document", "key", "--out",
                                  Folder.path(std::string(Owner) + ".pem")});
    Result.Output.pop_back();
    OwnerPublicKeys.push_back(Result.Output);
  }
}

void test_bed::writeSettings(bed_vm &Vm) const {
  Vm.SettingsFile = Folder.write(
      Vm.Name + ".yaml",
      "vm: { name: " + Vm.Name + ", region: lima, failure_domain: " +
          Vm.FailureDomain + ", workers: 2 }\naddresses: { callers: '" +
          Vm.CallerAddress + "', peers: '" + Vm.PeerAddress + "', control: '" +
          Vm.ControlAddress + "' }\nplatform: { address: '" + PlatformAddress +
          "', poll_interval: 200ms }\ncallers: { lookup_time_to_live: 500ms, "
          "drain_limit: 10s }\nlogs: { level: warning }\npeer_secret_file: " +
          Folder.write("peer-secret", "secret of the bed") + "\n" +
          ExtraSettings);
}

void test_bed::startVm(bed_vm &Vm) const {
  Vm.Process = std::make_unique<child_process>(
      "sesamepaddle",
      std::vector<std::string>{"serve", "--settings", Vm.SettingsFile});
}

std::string test_bed::writeDocument(const std::string &Service,
                                    const std::string &Extra) const {
  const std::size_t First = Service == "pedidos" ? 0 : 2;
  return Folder.write(
      Service + "-document.yaml",
      "service: " + Service + "\nowners:\n  - { name: ana, public_key: '" +
          OwnerPublicKeys[0] + "' }\n  - { name: luis, public_key: '" +
          OwnerPublicKeys[1] +
          "' }\nworkspaces:\n  - { name: bakery, rate: 400/s, burst: 400, "
          "keys: "
          "['sha256:" +
          toHex(sha256(BedKey)) +
          "'] }\nroutes:\n  - { name: check, method: GET, path: /, repeatable: "
          "true }\n  - { name: place, method: POST, path: /orders }\n  - { "
          "name: "
          "public, path: /public, open: true, repeatable: true }\nversions:\n  "
          "- "
          "name: v1\n    endpoints:\n      - { address: '" +
          UpstreamAddresses[First] +
          "', failure_domain: lima-a, slots: 64 }\n      - { address: '" +
          UpstreamAddresses[First + 1] +
          "', failure_domain: lima-b, slots: 64 }\n" +
          (Service == "catalogo" ? ExtraEndpoints : std::string()) +
          "active_version: v1\n" + Extra);
}

int test_bed::approve(const std::string &Service,
                      const std::string &File) const {
  const int Proposed =
      runToEnd("sesamepaddle",
               {"document", "propose", "--file", File, "--owner", "ana",
                "--key", Folder.path("ana.pem"), "--platform", PlatformAddress})
          .ExitCode;
  if (Proposed != 0)
    return Proposed;
  return runToEnd("sesamepaddle",
                  {"document", "sign", "--service", Service, "--owner", "luis",
                   "--key", Folder.path("luis.pem"), "--platform",
                   PlatformAddress})
      .ExitCode;
}

void test_bed::putDocumentsInForce() {
  for (const char *Service : {"pedidos", "catalogo"})
    if (approve(Service, writeDocument(Service)) != 0)
      throw std::runtime_error("a document was not approved");
  for (const auto &Vm : Vms)
    if (!eventually([&] {
          return isInForce(Vm, "pedidos", 1) && isInForce(Vm, "catalogo", 1);
        }))
      throw std::runtime_error("a document did not come into force");
  std::this_thread::sleep_for(BucketFillTime);
}

bool test_bed::isInForce(const bed_vm &Vm, const std::string &Service,
                         unsigned Number) {
  http_request Request;
  Request.Target = "/status";
  const auto Reply = sendRequest(Vm.ControlAddress, Request, 1'000);
  if (!Reply.ok())
    return false;
  const json Status = json::parse(Reply->Body, nullptr, false);
  if (!Status.is_object() || !Status.contains("documents"))
    return false;
  for (const auto &Document : Status["documents"])
    if (Document["service"] == Service && Document["number"] == Number)
      return true;
  return false;
}

void test_bed::setPlatformFaults(const std::string &Json) const {
  http_request Request;
  Request.Method = "POST";
  Request.Target = "/faults";
  Request.Body = Json;
  if (!sendRequest(PlatformAddress, Request).ok())
    throw std::runtime_error("the platform did not accept its faults");
}

} // namespace sesamepaddle
