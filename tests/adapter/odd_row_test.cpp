#include "adapter/synchronizer_fixture.h"
#include "platform/row_codec.h"
#include "platform/table_copy.h"
#include "sesamepaddle/net/http_server.h"

#include "absl/strings/escaping.h"

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

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

TEST_CASE(
    "a row with an unusual key does not end the reading of a table at its "
    "page") {
  const std::string Key = "a &limit=1#%41+\n\xc3\xa9";
  synchronizer_fixture Fixture;
  std::size_t Pages = 0;
  const auto Server = http_server::start(
      Fixture.Pool, "127.0.0.1:0",
      [&](const http_exchange &Exchange) -> awaitable<http_reply> {
        const auto &Target = Exchange.Request.Target;
        const auto From = queryValue(Target, "from");
        const bool IsFirst = From.empty();
        const bool IsSecond = From == Key + std::string(1, '\0') &&
                              queryValue(Target, "limit") == "500";
        // Anything else would be another part of the table.
        if (++Pages > 2 || (!IsFirst && !IsSecond))
          co_return makeJsonReply(400, "{}");
        const nlohmann::json Answer = {{"rows",
                                        {{{"key", IsFirst ? Key : "b"},
                                          {"value", "aGk="},
                                          {"schemaVersion", 1}}}},
                                       {"hasMore", IsFirst},
                                       {"schemaVersion", 1}};
        co_return makeJsonReply(200, Answer.dump());
      });
  REQUIRE(Server.ok());
  store_client Client(formatEndpoint((*Server)->localEndpoint()));
  Fixture.start();
  std::promise<absl::StatusOr<store_rows>> Read;
  asio::co_spawn(
      Fixture.Context,
      [&]() -> awaitable<void> {
        Read.set_value(co_await Client.readTable("servers"));
      },
      asio::detached);
  const auto Rows = Read.get_future().get();
  REQUIRE(Rows.ok());
  REQUIRE(Rows->Rows.size() == 2);
  CHECK(Rows->Rows[0].Key == Key);
  CHECK(Rows->Rows[1].Key == "b");
}

TEST_CASE("an odd row in the store's answer does not affect the other rows") {
  for (const std::string Odd :
       {"5", "[]", "null", "{}", R"({"key":5})", R"({"key":null})",
        R"({"key":"x","schemaVersion":"two"})",
        R"({"key":"x","schemaVersion":-1})",
        R"({"key":"x","schemaVersion":1e300})",
        R"({"key":"x","schemaVersion":2,"removed":"yes"})",
        R"({"key":"x","schemaVersion":2,"value":{"a":1}})"}) {
    CAPTURE(Odd);
    const auto Rows = parseRows(
        R"({"rows":[{"key":"a","value":"aGk=","schemaVersion":1},)" + Odd +
            R"(,{"key":"z","value":"aGk=","schemaVersion":3}],
               "schemaVersion":3,"currentTimeS":1})",
        nullptr);
    REQUIRE(Rows.ok());
    CHECK(Rows->Rows.front().Key == "a");
    CHECK(Rows->Rows.back().Key == "z");
    for (const auto &Row : Rows->Rows)
      if (Row.Key == "x") {
        CHECK(Row.Revision <= 2);
        CHECK(Row.Value == "");
      }
  }
}

TEST_CASE("a negative or fractional revision of an answer is not taken for "
          "another one") {
  for (const std::string Revision : {"-1", "1e300", "1.5", "\"1\""}) {
    CAPTURE(Revision);
    CHECK(isFailure(
        parseRows(R"({"rows":[],"schemaVersion":)" + Revision + "}", nullptr)
            .status(),
        store_failure::MalformedAnswer));
  }
}

// Keys come out of JSON, whose parser refuses texts that are not UTF-8.
TEST_CASE("no key makes the answer to other VMs fail") {
  for (const std::string Key :
       {"\xff", "\xc3(", "\xed\xa0\x80", "\\ud800", "\\udc00x"})
    CHECK_FALSE(
        parseRows(R"({"rows":[{"key":")" + Key + R"("}]})", nullptr).ok());
  const auto Rows = parseRows(
      R"({"rows":[{"key":"\u0000\n\"\\\ud83d\ude00","value":"/w==",
          "schemaVersion":1}],"schemaVersion":1})",
      nullptr);
  REQUIRE(Rows.ok());
  table_copy Copy;
  Copy.apply(*Rows, true);
  bool IsWhole = false;
  const auto Passed =
      readChanges(nlohmann::json::parse(Copy.changesSince(0, 1)), IsWhole);
  REQUIRE(Passed.ok());
  REQUIRE(Passed->Rows.size() == 1);
  CHECK(Passed->Rows[0].Key == Rows->Rows[0].Key);
  CHECK(Passed->Rows[0].Value == "\xff");
}
