#include "process/test_bed.h"
#include "sesamepaddle/core/failure.h"

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

#include <atomic>
#include <chrono>
#include <csignal>
#include <future>
#include <string>
#include <thread>
#include <vector>

using namespace sesamepaddle;
using json = nlohmann::json;

namespace {

/** Sends orders to the service pedidos of a test bed. */
class order_client {
public:
  order_client() {
    Bed.putDocumentsInForce();
    for (const auto &Address : Bed.UpstreamAddresses)
      Upstreams.push_back(Address);
  }

  /** @returns the addresses of the entry VMs that a look-up at @p Vm names. */
  std::vector<std::string> lookUp(std::size_t Vm) const {
    http_request Request;
    Request.Target = "/lookup";
    const auto Reply = sendRequest(Bed.Vms[Vm].CallerAddress, Request);
    std::vector<std::string> Addresses;
    const json Answer = Reply.ok() ? json::parse(Reply->Body) : json::object();
    const json Entries = Answer.value("entries", json::array());
    for (const auto &Entry : Entries)
      Addresses.push_back(Entry["address"]);
    return Addresses;
  }

  /** @returns a new request identifier from a VM, or "no identifier". */
  std::string issue(std::size_t Vm) const {
    return issueAt(Bed.Vms[Vm].CallerAddress);
  }

  std::string issueAt(const std::string &Entry) const {
    http_request Request;
    Request.Method = "POST";
    Request.Target = "/identifiers/pedidos";
    Request.Headers = {{"Sesamepaddle-Key", BedKey}};
    const auto Reply = sendRequest(Entry, Request);
    if (!Reply.ok() || Reply->Status != 201)
      return "no identifier";
    return json::parse(Reply->Body)["identifier"];
  }

  /** @returns the status and, if there is one, the outcome, such as
      "502 unknown"; "lost, " and the failure's name without an answer. */
  std::string place(std::size_t Vm, const std::string &Header,
                    const std::string &Value,
                    const std::string &Body = "forty aprons") const {
    return placeAt(Bed.Vms[Vm].CallerAddress, Header, Value, Body);
  }

  std::string placeAt(const std::string &Entry, const std::string &Header,
                      const std::string &Value,
                      const std::string &Body = "forty aprons") const {
    http_request Request;
    Request.Method = "POST";
    Request.Target = "/services/pedidos/orders/7";
    Request.Headers = {{"Sesamepaddle-Key", BedKey}, {Header, Value}};
    Request.Body = Body;
    const auto Reply = sendRequest(Entry, Request);
    if (!Reply.ok())
      return "lost, " + failureName(Reply.status());
    const auto Outcome = findHeader(Reply->Headers, "Sesamepaddle-Outcome");
    return std::to_string(Reply->Status) +
           (Outcome.empty() ? "" : " " + std::string(Outcome));
  }

  std::string place(std::size_t Vm, const std::string &Identifier) const {
    return place(Vm, "Sesamepaddle-Identifier", Identifier);
  }

  /** @returns the number of requests that ran at the service's upstreams. */
  std::uint64_t runs() const {
    std::uint64_t Sum = 0;
    for (const std::size_t Upstream : {0U, 1U}) {
      http_request Request;
      Request.Target = "/runs";
      const auto Reply = sendRequest(Upstreams[Upstream], Request);
      REQUIRE(Reply.ok());
      Sum += json::parse(Reply->Body)["runs"].get<std::uint64_t>();
    }
    return Sum;
  }

  /** Sets the faults of both endpoints of pedidos.
      @param Json  the body of their POST /faults; "{}" ends all faults */
  void setUpstreamFaults(const std::string &Json) const {
    for (const std::size_t Upstream : {0U, 1U}) {
      http_request Request;
      Request.Method = "POST";
      Request.Target = "/faults";
      Request.Body = Json;
      const auto Reply = sendRequest(Upstreams[Upstream], Request);
      REQUIRE(Reply.ok());
      REQUIRE(Reply->Status == 200);
    }
  }

  test_bed Bed;
  std::vector<std::string> Upstreams;
};

} // namespace

TEST_CASE("an order with an issued identifier runs at most once") {
  order_client Client;
  const std::string Identifier = Client.issue(0);

  SUBCASE("when sent concurrently through all VMs") {
    std::vector<std::future<std::string>> Answers;
    for (std::size_t Index = 0; Index < 24; ++Index)
      Answers.push_back(std::async(std::launch::async, [&, Index] {
        return Client.place(Index % 4, Identifier);
      }));
    for (auto &Answer : Answers)
      CHECK(Answer.get() == "200");
    CHECK(Client.runs() == 1);
  }

  SUBCASE("during a platform outage") {
    Client.Bed.setPlatformFaults("{\"out\":true}");
    CHECK(Client.place(2, Identifier) == "200");
    CHECK(Client.place(0, Identifier) == "200");
    CHECK(Client.runs() == 1);
  }

  SUBCASE("when the upstream resets the connection at any stage") {
    std::uint64_t Before = 0;
    for (const char *Fault :
         {"reset-before-reading", "reset-after-reading", "reset-after-running",
          "reset-mid-answer", "cut-short"}) {
      CAPTURE(Fault);
      const std::string Fresh = Client.issue(0);
      Client.setUpstreamFaults(json({{"fault", Fault}, {"count", 1}}).dump());
      CHECK(Client.place(0, Fresh) == "502 unknown");
      CHECK(Client.place(1, Fresh) == "502 unknown");
      CHECK(Client.place(3, Fresh) == "502 unknown");
      CHECK(Client.runs() <= Before + 1);
      Before = Client.runs();
    }
  }

  SUBCASE("when the issuing VM is killed during the order and restarted") {
    Client.setUpstreamFaults("{\"fault\":\"late\",\"late_ms\":800}");
    auto First = std::async(std::launch::async,
                            [&] { return Client.place(0, Identifier); });
    REQUIRE(eventually([&] { return Client.runs() == 1; }));
    Client.Bed.Vms[0].Process->signal(SIGKILL);
    CHECK(First.get().starts_with("lost"));
    Client.Bed.Vms[0].Process->wait();
    CHECK(Client.place(1, Identifier) == "502 unknown");
    Client.Bed.startVm(Client.Bed.Vms[0]);
    REQUIRE(eventually(
        [&] { return test_bed::isInForce(Client.Bed.Vms[0], "pedidos", 1); }));
    CHECK(Client.place(0, Identifier) == "502 unknown");
    CHECK(Client.place(2, Identifier) == "502 unknown");
    CHECK(Client.runs() == 1);
  }

  SUBCASE("an identifier whose order was refused stays refused") {
    Client.setUpstreamFaults("{\"shedding\":true}");
    CHECK(Client.place(0, Identifier) == "503 not-run");
    Client.setUpstreamFaults("{}");
    CHECK(Client.place(3, Identifier) == "409 not-run");
    CHECK(Client.runs() == 0);
  }

  SUBCASE("an identifier is refused for another order or when altered") {
    CHECK(Client.place(0, Identifier) == "200");
    CHECK(Client.place(1, "Sesamepaddle-Identifier", Identifier, "fifty") ==
          "422 not-run");
    CHECK(Client.place(1, Identifier + "0") == "400 not-run");
    CHECK(Client.runs() == 1);
  }
}

TEST_CASE("an order with a caller's idempotency key runs at most once") {
  order_client Client;
  const auto Place = [&](std::size_t Vm) {
    return Client.place(Vm, "Idempotency-Key", "order 7 of the bakery");
  };

  SUBCASE("when sent concurrently through all VMs") {
    std::vector<std::future<std::string>> Answers;
    for (std::size_t Index = 0; Index < 16; ++Index)
      Answers.push_back(std::async(std::launch::async,
                                   [&, Index] { return Place(Index % 4); }));
    for (auto &Answer : Answers)
      CHECK(Answer.get() == "200");
    CHECK(Client.runs() == 1);
  }

  SUBCASE("it does not run during an outage, and once afterwards") {
    Client.Bed.setPlatformFaults("{\"out\":true}");
    CHECK(Place(0) == "503 unknown");
    CHECK(Client.runs() == 0);
    Client.Bed.setPlatformFaults("{}");
    CHECK(Place(1) == "200");
    CHECK(Place(2) == "200");
    CHECK(Client.runs() == 1);
  }

  SUBCASE("a key whose request was refused can be used again") {
    Client.setUpstreamFaults("{\"shedding\":true}");
    CHECK(Place(0) == "503 not-run");
    Client.setUpstreamFaults("{}");
    CHECK(Place(3) == "200");
    CHECK(Place(0) == "200");
    CHECK(Client.runs() == 1);
  }
}

TEST_CASE("a VM that drains under load interrupts no order") {
  order_client Client;
  std::atomic<bool> IsOver{false};
  std::atomic<unsigned> Orders{0};
  std::vector<std::future<std::string>> Callers;
  for (std::size_t Caller = 0; Caller < 4; ++Caller)
    Callers.push_back(std::async(std::launch::async, [&]() -> std::string {
      std::size_t Turn = 0;
      while (!IsOver) {
        // Callers cache the answer to a look-up; 400 ms is most of its time to
        // live of 500 ms.
        const auto Entries = Client.lookUp(1);
        if (Entries.empty())
          return "no look-up";
        const auto KeepUntil =
            std::chrono::steady_clock::now() + std::chrono::milliseconds(400);
        while (!IsOver && std::chrono::steady_clock::now() < KeepUntil) {
          const std::string &Entry = Entries[++Turn % Entries.size()];
          const std::string Answer = Client.placeAt(
              Entry, "Sesamepaddle-Identifier", Client.issueAt(Entry));
          // Look-ups may still name the VM that left. A connection that was
          // never opened interrupted no request.
          if (Answer == "lost, net/connect-failed")
            continue;
          if (Answer != "200")
            return Answer;
          ++Orders;
          std::this_thread::sleep_for(std::chrono::milliseconds(40));
        }
      }
      return "all answered";
    }));
  std::this_thread::sleep_for(std::chrono::milliseconds(700));
  Client.Bed.Vms[0].Process->signal(SIGTERM);
  CHECK(Client.Bed.Vms[0].Process->wait() == 0);
  std::this_thread::sleep_for(std::chrono::milliseconds(300));
  IsOver = true;
  for (auto &Caller : Callers)
    CHECK(Caller.get() == "all answered");
  CHECK(Orders > 50);
  CHECK(Client.runs() == Orders);
}
