#include "ingress/ingress_fixture.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <atomic>
#include <future>
#include <thread>

using namespace sesamepaddle;
using std::chrono::milliseconds;

namespace {

bool isStatus(const std::string &Reply, int Status) {
  return Reply.starts_with("HTTP/1.1 " + std::to_string(Status) + " ");
}

fleet_route makeRoute(const std::string &Name, const std::string &Prefix,
                      request_kind Kind) {
  fleet_route Route;
  Route.Name = route_name(Name);
  Route.Prefix = Prefix;
  Route.Kind = Kind;
  Route.Timeout = milliseconds(3'000);
  Route.Services = {{service_name("orders"), 1}};
  Route.MaxAttempts = 3;
  return Route;
}

configuration_pointer makeConfiguration(std::uint64_t Version,
                                        std::vector<fleet_route> Routes) {
  configuration_content Content;
  Content.Version = Version;
  Content.RoutesByHost["shop.example"] = std::move(Routes);
  service_terms Service;
  Service.Name = service_name("orders");
  Content.Services = {Service};
  return std::make_shared<fleet_configuration>(std::move(Content));
}

/** Two endpoints of which the one that gets the first request answers it only
    after the configuration has been replaced; all other answers are successes.
 */
class changed_rules_bed {
public:
  /** @param First  the answer to the first request */
  explicit changed_rules_bed(scripted_endpoint::script First)
      : First(std::move(First)), Fixture({script(), script()}) {}

  /** Sends a request by @p Before and replaces the configuration by one with
      the routes @p After while an endpoint works on it.
      @returns what the caller gets */
  std::string send(std::vector<fleet_route> Before,
                   std::vector<fleet_route> After) {
    install(makeConfiguration(2, std::move(Before)));
    auto Reply = std::async(std::launch::async, [this] {
      return Fixture.post("/shop/orders/1", "r1", "one order");
    });
    const auto Until = boot_clock::now() + ingress_fixture::LongWait;
    while (!HasArrived && boot_clock::now() < Until)
      std::this_thread::sleep_for(milliseconds(5));
    install(makeConfiguration(3, std::move(After)));
    IsReplaced = true;
    return Reply.get();
  }

  /** @returns the number of requests that reached an endpoint. */
  std::size_t requests() const {
    return Fixture.endpoint(0).requests().size() +
           Fixture.endpoint(1).requests().size();
  }

  /** @returns the longest time that a later attempt was given, in
      milliseconds. */
  int longestDeadline() const { return LongestDeadline; }

private:
  scripted_endpoint::script script() {
    return [this](const std::string &Request) {
      if (HasArrived.exchange(true)) {
        LongestDeadline = std::max(LongestDeadline.load(),
                                   std::stoi(fieldOf(Request, "Deadline")));
        return scripted_answer{makeAnswer(Request, "second"), "", false, false,
                               milliseconds(0)};
      }
      auto Answer = First(Request);
      Answer.IsDue = [this] { return IsReplaced.load(); };
      return Answer;
    };
  }

  void install(configuration_pointer Configuration) {
    Fixture.onVm([&](fleet_state &Fleet) {
      return Fleet.setConfiguration(Configuration);
    });
  }

  scripted_endpoint::script First;
  std::atomic<bool> HasArrived{false};
  std::atomic<bool> IsReplaced{false};
  std::atomic<int> LongestDeadline{0};
  mutable ingress_fixture Fixture;
};

scripted_answer loseAnswer(const std::string &) {
  return {"", "", false, true, milliseconds(0)};
}

scripted_answer answerWith(const std::string &Request,
                           const std::string &Status,
                           const std::string &Fields = "") {
  return {makeAnswer(Request, "first", Status, Fields), "", false, false,
          milliseconds(0)};
}

const auto Safe = makeRoute("shop", "/shop/", request_kind::Idempotent);
const auto UnsafeBelow =
    makeRoute("orders", "/shop/orders/", request_kind::AtMostOnce);
const auto Unsafe = makeRoute("shop", "/shop/", request_kind::AtMostOnce);

/** Sends a request by a safe route that becomes unsafe, in two ways, while an
    endpoint that answers with @p First works on it.
    @param Status  that the caller has to get */
void checkSentOnce(const scripted_endpoint::script &First, int Status) {
  const std::vector<fleet_route> LongerPrefix = {Safe, UnsafeBelow};
  const std::vector<fleet_route> OtherKind = {Unsafe};
  for (const auto &After : {LongerPrefix, OtherKind}) {
    CAPTURE(After.size());
    changed_rules_bed Bed(First);
    CHECK(isStatus(Bed.send({Safe}, After), Status));
    CHECK(Bed.requests() == 1);
  }
}

} // namespace

// Guards against an order that ran twice, as a new configuration made its route
// unsafe between two attempts.
TEST_CASE("a request that may have run is not sent again by a route that "
          "forbids it") {
  SUBCASE("after its answer was lost") { checkSentOnce(loseAnswer, 502); }
  SUBCASE("after a failure of the endpoint's own, which the caller gets") {
    checkSentOnce(
        [](const std::string &Request) {
          return answerWith(Request, "500 Internal Server Error");
        },
        500);
  }
  SUBCASE("after a refusal without the promise not to have run it") {
    checkSentOnce(
        [](const std::string &Request) {
          return answerWith(Request, "503 Service Unavailable");
        },
        502);
  }
  SUBCASE("after a success without proof") {
    checkSentOnce(
        [](const std::string &Request) {
          return scripted_answer{
              "HTTP/1.1 200 OK\r\nId: " + fieldOf(Request, "Id") +
                  "\r\nContent-Length: 5\r\n\r\nfirst",
              "", false, false, milliseconds(0)};
        },
        502);
  }
}

TEST_CASE("what the configuration in force allows is sent again") {
  SUBCASE("a request that has surely not run, also by a route that forbids "
          "to repeat it") {
    changed_rules_bed Bed([](const std::string &Request) {
      return answerWith(Request, "503 Service Unavailable", "Not-Run: 1\r\n");
    });
    CHECK(isStatus(Bed.send({Safe}, {Safe, UnsafeBelow}), 200));
    CHECK(Bed.requests() == 2);
  }
  SUBCASE("a request whose route is still safe") {
    changed_rules_bed Bed(loseAnswer);
    CHECK(isStatus(Bed.send({Safe}, {Safe}), 200));
    CHECK(Bed.requests() == 2);
  }
}

TEST_CASE("a request that was sent by an unsafe route stays unsafe") {
  changed_rules_bed Bed(loseAnswer);
  CHECK(isStatus(Bed.send({Unsafe}, {Safe}), 502));
  CHECK(Bed.requests() == 1);
}

// Guards against more attempts than the route in force allows.
TEST_CASE("a route that allows fewer attempts now bounds those to come") {
  auto Once = Safe;
  Once.MaxAttempts = 1;

  SUBCASE("the request may have run") {
    changed_rules_bed Bed(loseAnswer);
    CHECK(isStatus(Bed.send({Safe}, {Once}), 502));
    CHECK(Bed.requests() == 1);
  }
  SUBCASE("it has not run, and the caller learns that") {
    changed_rules_bed Bed([](const std::string &Request) {
      return answerWith(Request, "503 Service Unavailable", "Not-Run: 1\r\n");
    });
    CHECK(isStatus(Bed.send({Safe}, {Once}), 503));
    CHECK(Bed.requests() == 1);
  }
}

TEST_CASE("a request whose route was removed meanwhile is not sent again") {
  const auto Other = makeRoute("other", "/other/", request_kind::Idempotent);

  SUBCASE("its outcome is unknown") {
    changed_rules_bed Bed(loseAnswer);
    CHECK(isStatus(Bed.send({Safe}, {Other}), 502));
    CHECK(Bed.requests() == 1);
  }
  SUBCASE("the caller gets the failure that the endpoint has answered") {
    changed_rules_bed Bed([](const std::string &Request) {
      return answerWith(Request, "500 Internal Server Error");
    });
    CHECK(isStatus(Bed.send({Safe}, {Other}), 500));
    CHECK(Bed.requests() == 1);
  }
}

// Guards against a request that is held longer than its route allows by now.
TEST_CASE("a route with a shorter time limit bounds the attempts to come") {
  auto Short = Safe;
  SUBCASE("which is over") {
    Short.Timeout = milliseconds(1);
    changed_rules_bed Bed(loseAnswer);
    CHECK(isStatus(Bed.send({Safe}, {Short}), 502));
    CHECK(Bed.requests() == 1);
  }
  SUBCASE("which is handed on to the next endpoint") {
    Short.Timeout = milliseconds(2'000);
    changed_rules_bed Bed(loseAnswer);
    CHECK(isStatus(Bed.send({Safe}, {Short}), 200));
    CHECK(Bed.longestDeadline() <= 2'000);
  }
  SUBCASE("a longer one gives no more time than the first") {
    Short.Timeout = milliseconds(60'000);
    changed_rules_bed Bed(loseAnswer);
    CHECK(isStatus(Bed.send({Safe}, {Short}), 200));
    CHECK(Bed.longestDeadline() <= 3'000);
  }
}
