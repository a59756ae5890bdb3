#include "process/test_bed.h"

#include "sesamepaddle/documents/signing.h"
#include "sesamepaddle/net/http_message.h"

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

#include <chrono>
#include <csignal>
#include <fstream>
#include <sstream>
#include <string>

using namespace sesamepaddle;
using json = nlohmann::json;

namespace {

json readJson(const std::string &Address, const std::string &Target) {
  http_request Request;
  Request.Target = Target;
  const auto Reply = sendRequest(Address, Request, 1'000);
  return Reply.ok() ? json::parse(Reply->Body, nullptr, false) : json();
}

/** @returns true when a look-up at @p Asked returns the entry VM at
    @p Address. */
bool isNamed(const bed_vm &Asked, const std::string &Address) {
  const json Answer = readJson(Asked.CallerAddress, "/lookup");
  return Answer.dump().find("\"" + Address + "\"") != std::string::npos;
}

std::string freshnessOf(const bed_vm &Vm) {
  return readJson(Vm.ControlAddress, "/status").value("freshness", "");
}

/** @returns the HTTP status, or 0 when there was no answer. */
unsigned statusOf(const bed_vm &Vm, const std::string &Method,
                  const std::string &Target) {
  http_request Request;
  Request.Method = Method;
  Request.Target = Target;
  Request.Headers.push_back({"Sesamepaddle-Key", BedKey});
  const auto Reply = sendRequest(Vm.CallerAddress, Request);
  return Reply.ok() ? Reply->Status : 0;
}

std::string textOf(const std::string &Path) {
  const std::ifstream File(Path);
  std::ostringstream Text;
  Text << File.rdbuf();
  return Text.str();
}

/** @returns the service's document without the callers' API key. */
std::string withoutKey(const test_bed &Bed, const std::string &Service) {
  std::string Text = textOf(Bed.writeDocument(Service));
  const std::string Key = "'sha256:" + toHex(sha256(BedKey)) + "'";
  return Text.replace(Text.find(Key), Key.size(), "");
}

/** @returns true when @p Is eventually holds on each VM. */
bool allOf(const test_bed &Bed, const std::function<bool(const bed_vm &)> &Is) {
  for (const auto &Vm : Bed.Vms)
    if (!eventually([&] { return Is(Vm); }))
      return false;
  return true;
}

} // namespace

TEST_CASE("a signed document comes into force on every VM") {
  test_bed Bed;
  Bed.putDocumentsInForce();

  SUBCASE("a withdrawn key is refused by every VM") {
    const std::string File =
        Bed.Folder.write("withdrawn.yaml", withoutKey(Bed, "pedidos"));
    REQUIRE(Bed.approve("pedidos", File) == 0);
    const auto Signed = std::chrono::steady_clock::now();
    CHECK(allOf(Bed, [](const bed_vm &Vm) {
      return statusOf(Vm, "GET", "/services/pedidos/x") == 401;
    }));
    const auto Passed = std::chrono::duration_cast<std::chrono::milliseconds>(
        std::chrono::steady_clock::now() - Signed);
    // The target is 3 s; a busy machine gets more before the test fails.
    MESSAGE("withdrawn on four VMs after " << Passed.count() << " ms");
    CHECK(Passed < std::chrono::seconds(10));
  }

  SUBCASE("a VM that starts during an outage gets documents from its peers") {
    Bed.setPlatformFaults("{\"out\":true}");
    Bed.Vms[1].Process->signal(SIGKILL);
    Bed.Vms[1].Process->wait();
    Bed.startVm(Bed.Vms[1]);
    CHECK(eventually([&] {
      return test_bed::isInForce(Bed.Vms[1], "pedidos", 1) &&
             test_bed::isInForce(Bed.Vms[1], "catalogo", 1);
    }));
    CHECK_FALSE(
        readJson(Bed.Vms[1].ControlAddress, "/status")["platform_reached"]
            .get<bool>());
  }
}

TEST_CASE("VMs that leave or freeze are not named in look-ups") {
  test_bed Bed;
  Bed.putDocumentsInForce();
  const std::string Address = Bed.Vms[1].CallerAddress;
  REQUIRE(allOf(Bed, [&](const bed_vm &Vm) { return isNamed(Vm, Address); }));

  SUBCASE("a leaving VM is not named although the platform lists it as live") {
    Bed.Vms[1].Process->signal(SIGTERM);
    for (const std::size_t Other : {0U, 2U, 3U})
      CHECK(eventually([&] { return !isNamed(Bed.Vms[Other], Address); }));
    CHECK(Bed.Vms[1].Process->wait() == 0);

    SUBCASE("its replacement on the same address is named") {
      Bed.startVm(Bed.Vms[1]);
      for (const std::size_t Other : {0U, 2U, 3U})
        CHECK(eventually([&] { return isNamed(Bed.Vms[Other], Address); }));
    }
  }

  SUBCASE("a frozen VM is not named until it resumes") {
    Bed.Vms[1].Process->signal(SIGSTOP);
    for (const std::size_t Other : {0U, 2U, 3U})
      CHECK(eventually([&] { return !isNamed(Bed.Vms[Other], Address); }));
    Bed.Vms[1].Process->signal(SIGCONT);
    for (const std::size_t Other : {0U, 2U, 3U})
      CHECK(eventually([&] { return isNamed(Bed.Vms[Other], Address); }));
  }
}

TEST_CASE("without the platform a VM tells an outage from a cut") {
  test_bed Bed;
  Bed.putDocumentsInForce();
  Bed.Platform->signal(SIGSTOP);

  SUBCASE("when no domain reaches the platform, keys stay valid") {
    CHECK(
        eventually([&] { return freshnessOf(Bed.Vms[0]) == "platform-out"; }));
    CHECK(statusOf(Bed.Vms[0], "POST", "/services/pedidos/orders") == 200);
  }

  SUBCASE("when its domain is cut off, each route follows its document") {
    Bed.Vms[2].Process->signal(SIGSTOP);
    Bed.Vms[3].Process->signal(SIGSTOP);
    CHECK(eventually([&] { return freshnessOf(Bed.Vms[0]) == "cut-off"; }));
    CHECK(statusOf(Bed.Vms[0], "POST", "/services/pedidos/orders") == 503);
    CHECK(statusOf(Bed.Vms[0], "GET", "/services/pedidos/x") == 200);
    CHECK(statusOf(Bed.Vms[0], "GET", "/services/pedidos/public/x") == 200);
    Bed.Vms[2].Process->signal(SIGCONT);
    Bed.Vms[3].Process->signal(SIGCONT);
  }
  Bed.Platform->signal(SIGCONT);
  CHECK(eventually([&] { return freshnessOf(Bed.Vms[0]) == "fresh"; }));
}
