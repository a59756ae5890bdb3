#include "process/test_bed.h"

#include "sesamepaddle/net/http_message.h"

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

#include <csignal>
#include <future>
#include <string>
#include <vector>

using namespace sesamepaddle;
using json = nlohmann::json;

namespace {

http_request makeRequest(const std::string &Method, const std::string &Target,
                         const std::string &Key) {
  http_request Request;
  Request.Method = Method;
  Request.Target = Target;
  if (!Key.empty())
    Request.Headers.push_back({"Sesamepaddle-Key", Key});
  return Request;
}

} // namespace

TEST_CASE("a caller's request goes the whole path") {
  test_bed Bed;
  Bed.putDocumentsInForce();

  SUBCASE("a look-up returns the VMs of the domain, others as fallbacks") {
    const auto Reply = sendRequest(Bed.Vms[0].CallerAddress,
                                   makeRequest("GET", "/lookup", ""));
    REQUIRE(Reply.ok());
    const json Answer = json::parse(Reply->Body);
    CHECK(Answer["ttl_ms"] == 500);
    CHECK(Answer["entries"].size() == 2);
    CHECK(Answer["fallbacks"].size() == 2);
    CHECK(Answer["entries"][0]["weight"] > 0);

    SUBCASE("the returned VM passes on the upstream's whole answer") {
      const std::string Entry = Answer["entries"][0]["address"];
      auto Request =
          makeRequest("POST", "/services/pedidos/orders/7?paid=1", BedKey);
      Request.Body = "forty aprons";
      const auto Served = sendRequest(Entry, Request);
      REQUIRE(Served.ok());
      CHECK(Served->Status == 200);
      const json Seen = json::parse(Served->Body);
      CHECK(Seen["upstream"] == "pedidos-a");
      CHECK(Seen["target"] == "/orders/7?paid=1");
      CHECK(Seen["body"] == "forty aprons");
      CHECK(Seen["headers"].dump().find(BedKey) == std::string::npos);
    }
  }

  SUBCASE("a request without a valid key is refused before it runs") {
    const auto Missing =
        sendRequest(Bed.Vms[2].CallerAddress,
                    makeRequest("GET", "/services/catalogo/aprons", ""));
    REQUIRE(Missing.ok());
    CHECK(Missing->Status == 401);
    CHECK(findHeader(Missing->Headers, "Sesamepaddle-Outcome") == "not-run");
    const auto Wrong =
        sendRequest(Bed.Vms[2].CallerAddress,
                    makeRequest("GET", "/services/catalogo/aprons", "other"));
    REQUIRE(Wrong.ok());
    CHECK(Wrong->Status == 401);

    SUBCASE("an open route needs no key") {
      const auto Open =
          sendRequest(Bed.Vms[2].CallerAddress,
                      makeRequest("GET", "/services/catalogo/public/x", ""));
      REQUIRE(Open.ok());
      CHECK(Open->Status == 200);
    }
  }

  SUBCASE("SIGTERM interrupts no request") {
    std::vector<std::future<std::string>> Answers;
    Answers.reserve(20);
    for (int Index = 0; Index < 20; ++Index)
      Answers.push_back(std::async(std::launch::async, [&] {
        const auto Reply =
            sendRequest(Bed.Vms[1].CallerAddress,
                        makeRequest("GET", "/services/pedidos/x", BedKey));
        if (Reply.ok() && Reply->Status == 200)
          return std::string("answered");
        return Reply.ok() ? Reply->Body : Reply.status().ToString();
      }));
    Bed.Vms[1].Process->signal(SIGTERM);
    for (auto &Answer : Answers)
      CHECK(Answer.get() == "answered");
    CHECK(Bed.Vms[1].Process->wait() == 0);
  }
}
