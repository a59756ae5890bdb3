#include "process/test_bed.h"

#include <doctest/doctest.h>

#include <chrono>
#include <memory>
#include <string>
#include <thread>
#include <vector>

using namespace sesamepaddle;

namespace {

/** @returns the status with the outcome, such as "422 not-run", or "lost". */
std::string send(const bed_vm &Vm, const std::string &Body) {
  http_request Request;
  Request.Method = "GET";
  Request.Target = "/services/catalogo/aprons";
  Request.Headers = {{"Sesamepaddle-Key", BedKey}};
  Request.Body = Body;
  const auto Reply = sendRequest(Vm.CallerAddress, Request);
  if (!Reply.ok())
    return "lost";
  const auto Outcome = findHeader(Reply->Headers, "Sesamepaddle-Outcome");
  return std::to_string(Reply->Status) +
         (Outcome.empty() ? "" : " " + std::string(Outcome));
}

} // namespace

TEST_CASE("a request that crashed two endpoints reaches no third one") {
  test_bed Bed;
  // Four endpoints of catalogo, two in each domain.
  std::string More;
  std::vector<std::unique_ptr<child_process>> Extra;
  for (const char *Domain : {"lima-a", "lima-b"}) {
    Extra.push_back(std::make_unique<child_process>(
        "sesamepaddle-lab", std::vector<std::string>{"upstream", "--name",
                                                     Domain, "--slots", "64"}));
    const std::string Address = Extra.back()->readLine().substr(6);
    Bed.UpstreamAddresses.push_back(Address);
    More += "      - { address: '" + Address + "', failure_domain: " + Domain +
            ", slots: 64 }\n";
  }
  Bed.ExtraEndpoints = More;
  Bed.putDocumentsInForce();
  for (std::size_t Index = 2; Index < Bed.UpstreamAddresses.size(); ++Index) {
    http_request Faults;
    Faults.Method = "POST";
    Faults.Target = "/faults";
    Faults.Body = "{\"crash_body\":\"poison\"}";
    REQUIRE(sendRequest(Bed.UpstreamAddresses[Index], Faults).ok());
  }
  const auto Alive = [&] {
    int Count = 0;
    for (std::size_t Index = 2; Index < Bed.UpstreamAddresses.size(); ++Index) {
      http_request Request;
      Request.Target = "/load";
      Count += sendRequest(Bed.UpstreamAddresses[Index], Request, 500).ok();
    }
    return Count;
  };
  REQUIRE(Alive() == 4);

  CHECK(send(Bed.Vms[0], "poison") == "422 unknown");
  CHECK(Alive() == 2);
  // Time for the report of the crashes to reach the other VM of the domain.
  std::this_thread::sleep_for(std::chrono::milliseconds(500));
  for (int Repeat = 0; Repeat < 20; ++Repeat)
    CHECK(send(Bed.Vms[Repeat % 2], "poison") == "422 not-run");
  CHECK(Alive() == 2);
  for (int Repeat = 0; Repeat < 20; ++Repeat)
    CHECK(send(Bed.Vms[Repeat % 4], "another") == "200");
}
