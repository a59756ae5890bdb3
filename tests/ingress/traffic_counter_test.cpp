#include "ingress/ingress_fixture.h"
#include "sesamepaddle/ingress/traffic_counter.h"

#include <doctest/doctest.h>

#include <string>

using namespace sesamepaddle;

namespace {

bool hasLine(const std::string &Text, const std::string &Line) {
  return ("\n" + Text).find("\n" + Line + "\n") != std::string::npos;
}

} // namespace

TEST_CASE("bytes between VMs and endpoints are not counted as one sum") {
  traffic_counter Traffic;
  CHECK(Traffic.prometheusText().empty());
  Traffic.add(traffic_kind::Gossip, traffic_distance::SameRegion, 700);
  Traffic.add(traffic_kind::Gossip, traffic_distance::SameRegion, 300);
  Traffic.add(traffic_kind::Rows, traffic_distance::Unknown, 20);
  const auto Text = Traffic.prometheusText();
  CHECK(hasLine(Text, "sesamepaddle_traffic_bytes{kind=\"gossip\","
                      "distance=\"same-region\"} 1000"));
  CHECK(hasLine(Text, "sesamepaddle_traffic_messages{kind=\"gossip\","
                      "distance=\"same-region\"} 2"));
  CHECK(hasLine(Text, "sesamepaddle_traffic_bytes{kind=\"rows\","
                      "distance=\"unknown\"} 20"));
}

TEST_CASE("a request to an endpoint is not missing in the count of bytes") {
  ingress_fixture Fixture({[](const std::string &Request) {
    return scripted_answer{makeAnswer(Request, "whole"), "", false, false,
                           std::chrono::milliseconds(0)};
  }});
  const auto Read = [&] {
    return Fixture.onVm(
        [](fleet_state &Fleet) { return Fleet.traffic().prometheusText(); });
  };
  CHECK(Read().find("endpoint-request") == std::string::npos);
  CHECK(Fixture.get("/checks/1", "r1").find("200 OK") != std::string::npos);
  const auto Text = Read();
  CHECK(Text.find("traffic_messages{kind=\"endpoint-request\"") !=
        std::string::npos);
  CHECK(Text.find("traffic_messages{kind=\"endpoint-answer\"") !=
        std::string::npos);
}
