#include "platform/platform_settings.h"
#include "platform/row_codec.h"
#include "platform/store_client.h"

#include <doctest/doctest.h>

#include <string>
#include <utility>
#include <vector>

using namespace sesamepaddle;
using namespace sesamepaddle::adapter;

namespace {

const region_map Regions = {{"lima-a", "lima"}};

constexpr std::string_view Endpoint =
    R"({"address":"10.128.0.9:8080","born":1234,
        "information":{"service":"s1","version":"v1","zone":"lima-a","slots":5},
        "status":{"state":"ready","sequence":4,"coldRemainingS":1.5}})";

/** @returns @p Text with the first @p What replaced by @p By. */
std::string replaced(std::string_view Text, std::string_view What,
                     std::string_view By) {
  std::string Copy(Text);
  const auto Start = Copy.find(What);
  REQUIRE(Start != std::string::npos);
  return Copy.replace(Start, What.size(), By);
}

} // namespace

TEST_CASE("the row that an endpoint writes about itself is decoded") {
  const auto Record = decodeEndpoint("i-1", Endpoint, Regions);
  REQUIRE(Record.ok());
  CHECK(Record->Id.str() == "i-1");
  CHECK(Record->Region.str() == "lima");
  CHECK(Record->Slots == 5);
  CHECK(Record->StartedAt == 1234);
  CHECK(Record->ColdRemaining == std::chrono::milliseconds(1'500));
  CHECK_FALSE(Record->IsLeaving);

  SUBCASE("a draining endpoint is leaving") {
    const auto Leaving =
        decodeEndpoint("i-1", replaced(Endpoint, "ready", "draining"), Regions);
    REQUIRE(Leaving.ok());
    CHECK(Leaving->IsLeaving);
  }

  SUBCASE("an unreadable row is refused") {
    for (const auto &Text :
         {std::string("\xff\xfe"), std::string("[]"), std::string("{}"),
          replaced(Endpoint, "\"slots\":5", "\"slots\":\"five\""),
          replaced(Endpoint, "\"ready\"", "\"resting\""),
          replaced(Endpoint, "\"lima-a\"", "\"cusco-a\""),
          replaced(Endpoint, "\"address\"", "\"addr\"")}) {
      CAPTURE(Text);
      const auto Unreadable = decodeEndpoint("i-1", Text, Regions);
      CHECK(isFailure(Unreadable.status(), store_failure::MalformedAnswer));
    }
  }
}

TEST_CASE("a number or a port out of range in an endpoint's row is not taken "
          "for another one") {
  const std::string Huge(400, '9');
  for (const auto &Change : std::vector<std::pair<std::string, std::string>>{
           {"\"slots\":5", "\"slots\":0"},
           {"\"slots\":5", "\"slots\":-1"},
           {"\"slots\":5", "\"slots\":4294967301"},
           {"\"slots\":5", "\"slots\":18446744073709551615"},
           {"\"slots\":5", "\"slots\":1e300"},
           {"\"slots\":5", "\"slots\":5.5"},
           {"\"slots\":5", "\"slots\":true"},
           {"\"slots\":5", "\"slots\":" + Huge},
           {"1.5", "1e300"},
           {"1.5", "-1e300"},
           {"1.5", "9223372036854775807"},
           {"1.5", Huge},
           {"1.5", "null"},
           {"1.5", "false"},
           {"1234", "1e300"},
           {"1234", "1234.5"},
           {"1234", "-1"},
           {"1234", "9223372036854775807"},
           {"1234", "18446744073709551615"},
           {"1234", Huge},
           {":8080", ":0"},
           {":8080", ":65536"},
           {":8080", ":99999"},
           {":8080", ":-1"},
           {":8080", ":+80"},
           {":8080", ": 80"},
           {":8080", ":80\\r\\n"},
           {":8080", ":4294975376"},
           {":8080", ":"},
           {":8080", ""},
           {"10.128.0.9", "10.128.0.999"},
           {"10.128.0.9", "10.128.0.9\\u0000"},
           {"10.128.0.9", "host.example"},
           {"10.128.0.9", "0.0.0.0"},
           {"10.128.0.9", "::"},
           {"10.128.0.9", "239.0.0.1"},
           {"10.128.0.9", ""}}) {
    CAPTURE(Change.first);
    CAPTURE(Change.second);
    const auto Odd = decodeEndpoint(
        "i-1", replaced(Endpoint, Change.first, Change.second), Regions);
    CHECK(isFailure(Odd.status(), store_failure::MalformedAnswer));
  }
  for (const auto &Change : std::vector<std::pair<std::string, std::string>>{
           {":8080", ":1"},
           {":8080", ":65535"},
           {"10.128.0.9", "fd00::9"},
           {"1.5", "0"},
           {"1.5", "-0.001"},
           {"1234", "1796443200000"}}) {
    CAPTURE(Change.second);
    CHECK(decodeEndpoint("i-1", replaced(Endpoint, Change.first, Change.second),
                         Regions)
              .ok());
  }
}

TEST_CASE("an id that would break the head of a request names no endpoint") {
  for (const std::string &Id :
       {std::string(), std::string("i-1\r\nX-Tenant: t2"), std::string("i 1"),
        std::string("i\0", 2), std::string("i-\xc3\xa9")}) {
    CAPTURE(Id);
    CHECK(isFailure(decodeEndpoint(Id, Endpoint, Regions).status(),
                    store_failure::MalformedAnswer));
  }
}

TEST_CASE("a duration out of range in the operator's rows is refused") {
  const auto Order = [](const std::string &Seconds) {
    return decodeRollout(R"({"service":"s1","to":"v2","durationS":)" + Seconds +
                         "}");
  };
  CHECK(Order("90.5").ok());
  for (const std::string Seconds : {"1e300", "-1e300", "1e12"}) {
    CAPTURE(Seconds);
    CHECK(isFailure(Order(Seconds).status(), store_failure::MalformedAnswer));
  }
}

TEST_CASE("the operator's configuration is decoded") {
  const auto Content = decodeConfiguration(
      R"({"version":7,"services":[{"name":"s1","coldStartS":3.0,"coldPerS":4.4,
           "connectionLimit":360},{"name":"s2"}],
          "limits":{"headerBytes":1000,"bodyBytes":2000,"headerTimeoutS":3,
           "idleTimeoutS":0.5},
          "tenants":[{"name":"t1","apiKeys":["k1"],"priority":1,"ratePerS":99,
           "burst":9,"homeRegions":["lima"]}],
          "hosts":[{"host":"h.example","paths":[{"name":"r1","prefix":"/a/",
           "kind":"safe","timeoutS":1,"targetLatencyS":0.4,"priority":2,
           "split":[{"service":"s1","weight":90},{"service":"s2","weight":10}],
           "maxAttempts":2,"public":false,"sticky":true,"homeRegions":[]},
           {"name":"r2","prefix":"/b/","kind":"other","timeoutS":1.2,
           "service":"s2"}]}]})");
  REQUIRE(Content.ok());
  CHECK(Content->Version == 7);
  CHECK(Content->Limits.IdleTimeout == std::chrono::milliseconds(500));
  const auto &Routes = Content->RoutesByHost.at("h.example");
  REQUIRE(Routes.size() == 2);
  CHECK(Routes[0].Services.size() == 2);
  CHECK(Routes[0].Kind == request_kind::Idempotent);

  SUBCASE("requests of an unknown kind are sent at most once") {
    CHECK(Routes[1].Kind == request_kind::AtMostOnce);
  }
  SUBCASE("a truncated configuration is refused as malformed") {
    CHECK(isFailure(decodeConfiguration(R"({"version":7,"hosts":[)").status(),
                    store_failure::MalformedAnswer));
  }
}

TEST_CASE("a rollout status is unchanged after encoding and decoding") {
  rollout_status Status;
  Status.To = "v2";
  Status.SinceStoreSeconds = 12.5;
  Status.Outcome = rollout_outcome::RolledBack;
  const auto Read = decodeRolloutStatus(encodeRolloutStatus(Status));
  REQUIRE(Read.ok());
  CHECK(Read->To == "v2");
  CHECK(Read->Outcome == rollout_outcome::RolledBack);
  CHECK(Read->SinceStoreSeconds == doctest::Approx(12.5));
}

TEST_CASE("an answer with rows of the store is parsed") {
  bool HasMore = false;
  const auto Rows = parseRows(
      R"({"rows":[{"table":"op","part":"","key":"a","value":"aGk=",
          "schemaVersion":5},{"key":"b","removed":true,"schemaVersion":6},
          {"key":"c","value":"%%","schemaVersion":7}],
          "hasMore":true,"schemaVersion":9,"currentTimeS":1.5})",
      &HasMore);
  REQUIRE(Rows.ok());
  CHECK(HasMore);
  CHECK(Rows->Revision == 9);
  REQUIRE(Rows->Rows.size() == 3);
  CHECK(Rows->Rows[0].Value == "hi");
  CHECK_FALSE(Rows->Rows[1].Value);

  SUBCASE("an undecodable value becomes an empty one") {
    CHECK(Rows->Rows[2].Value == "");
  }
  SUBCASE("an answer that is not JSON is refused as malformed") {
    CHECK(isFailure(parseRows("nope", nullptr).status(),
                    store_failure::MalformedAnswer));
  }
}

TEST_CASE("settings filled in by the platform are parsed") {
  const std::string Text = R"(
vm: { name: "front-1", region: "lima", failure_domain: "lima-a", cores: 0.2, memory_megabytes: 260 }
addresses: { callers: "10.1.0.4:8346", readiness: "10.1.0.4:8340", directory: "10.1.0.4:8344",
  first_peer_port: 7000, metrics_port: 9464, seeds: ["10.1.0.5:8342"] }
store: "10.200.1.7:8341"
failure_domains:
  - name: lima-a
    region: "lima"
bounds: { grace_seconds: 6, retry_ratio: 0.2, retry_window_seconds: 10, retry_slack: 60,
  quota_window_seconds: 5, quota_overshoot: 0.1, quota_slack: 20, rollout_share: 0.1,
  rollout_slack: 50 }
)";
  yaml_errors Errors;
  const auto Settings = parsePlatformSettings(Text, "vm.yaml", Errors);
  REQUIRE(Settings);
  CHECK(Settings->Ingress.Vm.GossipAddress == "10.1.0.4:7000");
  CHECK(Settings->Ingress.Vm.SeedGossipAddresses ==
        std::vector<std::string>{"10.1.0.5:7000"});
  CHECK(Settings->Regions.at("lima-a") == "lima");

  SUBCASE("all errors are reported at once") {
    CHECK_FALSE(parsePlatformSettings("vm: { name: 1 }", "vm.yaml", Errors));
    CHECK(Errors.size() > 5);
  }
}

// A reader of a large fleet's endpoints compares several hundred rows a second;
// parsing each of them twice took most of the time of a small VM.
TEST_CASE("a heartbeat is told from other changes without parsing") {
  const auto Row = [](const std::string &State, const std::string &Sequence,
                      const std::string &Cold) {
    return R"({"born":1,"status":{"state":")" + State + R"(","sequence":)" +
           Sequence + R"(,"coldRemainingS":)" + Cold + R"(},"information":1})";
  };
  const auto Before = Row("ready", "9", "0");
  CHECK(isPlainHeartbeat(Before, Row("ready", "10", "0")));
  CHECK_FALSE(isPlainHeartbeat(Before, Row("draining", "10", "0")));
  CHECK_FALSE(isPlainHeartbeat(Before, Row("ready", "10", "1.5")));
  CHECK_FALSE(
      isPlainHeartbeat(Row("ready", "9", "0.5"), Row("ready", "10", "0.5")));
  CHECK_FALSE(isPlainHeartbeat(Before, Row("ready", "10", "0") + " "));
  // Unusual texts are left to the parser.
  CHECK_FALSE(isPlainHeartbeat("", ""));
  CHECK_FALSE(isPlainHeartbeat(Before, ""));
  CHECK_FALSE(isPlainHeartbeat(Before, Row("ready", "\"x\"", "0")));
  CHECK_FALSE(isPlainHeartbeat(Before, Row("ready", "007", "0")));
  CHECK_FALSE(
      isPlainHeartbeat(Before, Row("ready", std::string(400, '9'), "0")));
  CHECK_FALSE(
      isPlainHeartbeat(Row("ready", std::string(400, '9'), "0"), Before));
  CHECK_FALSE(isPlainHeartbeat(R"({"sequence":1,"b":{"sequence":2}})",
                               R"({"sequence":2,"b":{"sequence":2}})"));
  CHECK_FALSE(isPlainHeartbeat(R"({"sequence":1})", R"({"sequence":2})"));
}

TEST_CASE("the field in which an endpoint says that it leaves") {
  CHECK(wireFieldNames().Leaving == "Server-Leaving");
}
