#include "ingress/ingress_fixture.h"
#include "sesamepaddle/ingress/row_freshness.h"
#include "sesamepaddle/ingress/stop_schedule.h"

#include <doctest/doctest.h>

#include <chrono>
#include <future>
#include <string>

using namespace sesamepaddle;
using std::chrono::milliseconds;

namespace {

const time_point Start = time_point(std::chrono::hours(1));
const service_name Orders("orders");

fleet_state makeFleet(const fleet_bounds &Bounds) {
  ingress_options Options;
  Options.Vm.Name = vm_name("vm-1");
  Options.Bounds = Bounds;
  return fleet_state(Options);
}

} // namespace

TEST_CASE("a limit without terms does not hold") {
  fleet_bounds Bounds;

  SUBCASE("rollouts are not taken up, so no version gets a part") {
    Bounds.Rollout = std::nullopt;
    auto Fleet = makeFleet(Bounds);
    CHECK_FALSE(
        Fleet.setRollout({Orders, version_name("v2"), milliseconds(20'000)},
                         milliseconds(0), Start));
    CHECK(Fleet.rollouts().empty());
    const auto Version = Fleet.drawVersion(Orders);
    CHECK(Version.RequiredVersion.empty());
    CHECK(Version.ExcludedVersion.empty());
  }

  SUBCASE("a rollout that runs goes on when a reload takes the terms away") {
    auto Fleet = makeFleet(Bounds);
    REQUIRE(Fleet.setRollout({Orders, version_name("v2"), milliseconds(20'000)},
                             milliseconds(0), Start));
    Bounds.Rollout = std::nullopt;
    Fleet.setBounds(Bounds);
    CHECK(Fleet.rollouts().size() == 1);
  }

  SUBCASE("no workspace is limited") {
    Bounds.Quota = std::nullopt;
    auto Fleet = makeFleet(Bounds);
    workspace_terms Bakery;
    Bakery.Name = workspace_name("bakery");
    Bakery.RatePerSecond = 1;
    for (int Request = 0; Request < 100; ++Request)
      CHECK(Fleet.quota().admit(Bakery.Name, Fleet.termsOf(Bakery), Start));
  }

  SUBCASE("any number of requests is sent again") {
    Bounds.Attempts = unlimitedAttempts();
    auto Fleet = makeFleet(Bounds);
    for (int Retry = 0; Retry < 1'000; ++Retry)
      CHECK(Fleet.attempts()
                .takeRetry(Orders, Fleet.options().Bounds.Attempts, 100, Start)
                .IsAllowed);
  }

  SUBCASE("rows of the store are never too old") {
    row_freshness Rows;
    Rows.setAsOf(row_kind::Orders, Start);
    Rows.setAsOf(row_kind::Endpoints, Start);
    const auto Later = Start + std::chrono::hours(1);
    row_bounds Old;
    CHECK(Rows.outdated(Old, Later) == row_kind::Orders);
    Old.Orders = std::nullopt;
    CHECK(Rows.outdated(Old, Later) == row_kind::Endpoints);
    Old.Endpoints = std::nullopt;
    CHECK_FALSE(Rows.outdated(Old, Later).has_value());
  }

  SUBCASE("a stop refuses nothing for its end") {
    const stop_schedule Stop(Start, std::nullopt);
    const auto Late = Start + std::chrono::hours(1);
    for (const auto Kind : {request_kind::Idempotent, request_kind::AtMostOnce})
      CHECK(Stop.mayTake(Kind, Late + std::chrono::hours(1), milliseconds(800),
                         Late));
    CHECK(Stop.end() == time_point::max());
    CHECK(Stop.answersDue() == time_point::max());
  }
}

TEST_CASE("a stop without a grace period ends when nothing runs") {
  ingress_fixture Fixture({[](const std::string &Request) {
                            return scripted_answer{makeAnswer(Request, "whole"),
                                                   "", false, false,
                                                   milliseconds(300)};
                          }},
                          [](ingress_options &Options) {
                            Options.Bounds.GracePeriod = std::nullopt;
                          });
  auto Drained = Fixture.drain();
  CHECK(Fixture.post("/orders/1", "o1", "cloth").starts_with("HTTP/1.1 200 "));
  Drained.get();
}
