#include "adapter/synchronizer_fixture.h"
#include "platform/row_codec.h"

#include <doctest/doctest.h>

#include <string>
#include <vector>

using namespace sesamepaddle;
using namespace sesamepaddle::adapter;

namespace {

// Deeper than the store's limit on the size of a row allows.
constexpr std::size_t ManyLevels = 100'000;

std::string nested(std::size_t Levels) {
  return std::string(Levels, '[') + std::string(Levels, ']');
}

/** @returns the text of a proper row with @p Name set to @p Value. */
std::string withField(const std::string &Name, const std::string &Value,
                      unsigned Sequence = 4) {
  return R"({")" + Name + R"(":)" + Value +
         R"(,"address":"10.128.0.9:8080","born":1234,"information":
             {"service":"s1","version":"v1","zone":"lima-a","slots":5},
             "status":{"state":"ready","sequence":)" +
         std::to_string(Sequence) + R"(,"coldRemainingS":0}})";
}

/** @returns rows that name no usable endpoint. */
std::vector<std::string> oddRows() {
  const std::string Proper = endpointText("ready");
  const auto With = [&](const std::string &What, const std::string &By) {
    std::string Text = Proper;
    return Text.replace(Text.find(What), What.size(), By);
  };
  return {withField("extra", nested(ManyLevels)),
          nested(ManyLevels),
          std::string(ManyLevels, '['),
          With("\"slots\":5", "\"slots\":1e300"),
          With("\"sequence\":4", "\"sequence\":" + std::string(400, '9')),
          With("\"sequence\":4", "\"sequence\":07"),
          With("\"sequence\":4", "\"sequence\":\"5\""),
          With("\"sequence\":4", "\"sequence\":1e300"),
          With(":8080", ":65536"),
          With(":8080", ":0"),
          With("1234", "1e300"),
          With("\"coldRemainingS\":0", "\"coldRemainingS\":1e300"),
          "\xff\xfe",
          ""};
}

} // namespace

TEST_CASE("an odd row among those of the endpoints neither ends the process "
          "nor affects other rows") {
  synchronizer_fixture Fixture;
  Fixture.start();
  Fixture.awaitFirstRead();
  std::size_t Number = 0;
  for (const auto &Odd : oddRows()) {
    CAPTURE(Odd.substr(0, 300));
    // The same content again is a heartbeat.
    Fixture.change("servers", "odd", Odd);
    Fixture.change("servers", "odd-too", Odd);
    const auto Proper = "proper-" + std::to_string(++Number);
    Fixture.change("servers", Proper, endpointText("ready"));
    Fixture.await([&] {
      return Fixture.Fleet.endpoints().find(endpoint_id(Proper)) != nullptr;
    });
    CHECK(Fixture.endpoint("odd") == nullptr);
    CHECK(Fixture.endpoint("i-1") != nullptr);
    Fixture.change("servers", Proper, std::nullopt);
    Fixture.await([&] {
      return Fixture.Fleet.endpoints().find(endpoint_id(Proper)) == nullptr;
    });
  }
}

TEST_CASE("an endpoint whose row becomes odd is out of use until the row is "
          "proper again") {
  synchronizer_fixture Fixture;
  Fixture.start();
  Fixture.awaitFirstRead();
  for (const auto &Odd : oddRows()) {
    CAPTURE(Odd.substr(0, 300));
    Fixture.change("servers", "i-1", Odd);
    Fixture.change("servers", "marker", endpointText("ready"));
    Fixture.await([&] {
      return Fixture.Fleet.endpoints().find(endpoint_id("marker")) != nullptr;
    });
    CHECK(Fixture.endpoint("i-1") == nullptr);
    Fixture.change("servers", "i-1", endpointText("ready"));
    Fixture.change("servers", "marker", std::nullopt);
    Fixture.await([&] {
      return Fixture.Fleet.endpoints().find(endpoint_id("marker")) == nullptr;
    });
    CHECK(Fixture.endpoint("i-1") != nullptr);
  }
}

TEST_CASE("a row nested too deeply is unreadable") {
  const region_map Regions = {{"lima-a", "lima"}};
  CHECK(decodeEndpoint("i-1", withField("extra", nested(20)), Regions).ok());
  for (const std::size_t Levels : {100, 30'000, 1'000'000}) {
    CAPTURE(Levels);
    const auto Status =
        decodeEndpoint("i-1", withField("extra", nested(Levels)), Regions)
            .status();
    CHECK(isFailure(Status, store_failure::MalformedAnswer));
  }
  SUBCASE("brackets in a text are no nesting") {
    const auto Text = "\"\\\"" + nested(100) + "\"";
    CHECK(decodeEndpoint("i-1", withField("extra", Text), Regions).ok());
  }
}

TEST_CASE("the comparison of deeply nested rows does not overflow the stack") {
  synchronizer_fixture Fixture;
  Fixture.start();
  Fixture.awaitFirstRead();
  const auto Deep = nested(400'000);
  for (unsigned Sequence = 1; Sequence <= 3; ++Sequence) {
    Fixture.change("servers", "deep",
                   withField("extra", Deep, Sequence) +
                       std::string(Sequence, ' '));
    const auto Marker = "marker-" + std::to_string(Sequence);
    Fixture.change("servers", Marker, endpointText("ready"));
    Fixture.await([&] {
      return Fixture.Fleet.endpoints().find(endpoint_id(Marker)) != nullptr;
    });
  }
  CHECK(Fixture.endpoint("deep") == nullptr);
}
