#include "sesamepaddle/upstreams/endpoint_set.h"

#include <doctest/doctest.h>

#include <chrono>
#include <memory>
#include <vector>

using namespace sesamepaddle;
using std::chrono::milliseconds;

TEST_CASE("the endpoint chosen for the next request") {
  const failure_domain_name Near("lima-a");
  std::vector<std::shared_ptr<endpoint_state>> All;
  for (const char *Domain : {"lima-a", "lima-a", "lima-b"}) {
    All.push_back(std::make_shared<endpoint_state>());
    All.back()->FailureDomain = failure_domain_name(Domain);
    All.back()->Slots = 4;
  }
  const endpoint_set Endpoints(All);
  const time_point Now{std::chrono::seconds(100)};

  SUBCASE("is the one in the domain with the lowest share of slots in use") {
    const endpoint_lease First(All[0]);
    CHECK(Endpoints.choose(Near, {}, Now, 0) == All[1]);
  }
  SUBCASE(
      "is in another domain when those in this one were tried or are avoided") {
    CHECK(Endpoints.choose(Near, std::vector{All[0], All[1]}, Now, 0) ==
          All[2]);
    All[0]->addFailure(Now);
    All[1]->addFailure(Now);
    CHECK(Endpoints.choose(Near, {}, Now, 0) == All[2]);

    SUBCASE("until the avoidance ends, which doubles with each failure") {
      All[0]->addFailure(Now);
      CHECK(Endpoints.choose(Near, {}, Now + milliseconds(150), 0) == All[1]);
      CHECK_FALSE(All[0]->isAvoided(Now + milliseconds(250)));
      All[0]->addAnswer();
      All[0]->addFailure(Now);
      CHECK_FALSE(All[0]->isAvoided(Now + milliseconds(150)));
    }
  }
  SUBCASE("takes turns when all are equal") {
    CHECK(Endpoints.choose(Near, {}, Now, 0) == All[0]);
    CHECK(Endpoints.choose(Near, {}, Now, 1) == All[1]);
  }
  SUBCASE("may be an avoided one when there is no other") {
    for (const auto &Endpoint : All)
      Endpoint->addFailure(Now);
    CHECK(Endpoints.choose(Near, {}, Now, 0) != nullptr);
    CHECK(Endpoints.choose(Near, All, Now, 0) == nullptr);
  }
}
