#include "ingress/ingress_fixture.h"

#include <doctest/doctest.h>

#include <string>

using namespace sesamepaddle;

namespace {

scripted_endpoint::script answerWithLoad(const std::string &Load) {
  return [Load](const std::string &Request) {
    return scripted_answer{
        makeAnswer(Request, "whole", "200 OK", "Load: " + Load + "\r\n"), "",
        false, false, std::chrono::milliseconds(0)};
  };
}

} // namespace

TEST_CASE("a VM uses the load that an endpoint reports with four figures") {
  ingress_fixture Fixture({answerWithLoad("3,2,4,250,1")});
  REQUIRE(Fixture.get("/checks/1", "c1").starts_with("HTTP/1.1 200 "));
  Fixture.onVm([&](fleet_state &Fleet) {
    const auto Endpoint = Fleet.endpoints().find(endpoint_id("i-0"));
    CHECK(Endpoint->Load.Running == 3);
    CHECK(Endpoint->Load.Waiting == 2);
    CHECK(Endpoint->knownLoad(Endpoint->LoadReportedAt) == 5);
    CHECK(Endpoint->Pace == 2.5);
    CHECK(Endpoint->PaceReportedAt == Endpoint->LoadReportedAt);
    CHECK(Fleet.loadReports().of(load_report_kind::MoreFigures) == 1);
    return true;
  });
}

TEST_CASE("a load report that is invalid changes nothing and is counted") {
  ingress_fixture Fixture({answerWithLoad("3,x,4,250")});
  REQUIRE(Fixture.get("/checks/1", "c1").starts_with("HTTP/1.1 200 "));
  Fixture.onVm([&](fleet_state &Fleet) {
    const auto Endpoint = Fleet.endpoints().find(endpoint_id("i-0"));
    CHECK(Endpoint->LoadReportedAt == time_point{});
    CHECK(Endpoint->Pace == 1);
    CHECK(Fleet.loadReports().of(load_report_kind::Invalid) == 1);
    return true;
  });
}

TEST_CASE("an answer without a load report is not counted as an invalid one") {
  ingress_fixture Fixture({[](const std::string &Request) {
    return scripted_answer{makeAnswer(Request, "whole")};
  }});
  REQUIRE(Fixture.get("/checks/1", "c1").starts_with("HTTP/1.1 200 "));
  Fixture.onVm([&](fleet_state &Fleet) {
    CHECK(Fleet.loadReports().of(load_report_kind::Invalid) == 0);
    return true;
  });
}
