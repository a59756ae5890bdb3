#include "sesamepaddle/settings/vm_settings.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <string>

using namespace sesamepaddle;

namespace {

// Valid settings with all required keys and no others.
const std::string ValidSettings = R"(vm:
  name: vm-a1
  region: lima
  failure_domain: lima-a
addresses:
  callers: 127.0.0.1:8080
  peers: 127.0.0.1:7000
  control: 127.0.0.1:9090
platform:
  address: 127.0.0.1:6000
peer_secret_file: peer-secret
)";

/** @returns @p Text with the first @p From replaced by @p To. */
std::string replaced(std::string Text, const std::string &From,
                     const std::string &To) {
  const auto Place = Text.find(From);
  REQUIRE(Place != std::string::npos);
  return Text.replace(Place, From.size(), To);
}

/** @returns ValidSettings with @p Line added to the platform section. */
std::string withPlatform(const std::string &Line) {
  return replaced(ValidSettings, "127.0.0.1:6000\n",
                  "127.0.0.1:6000\n  " + Line + "\n");
}

yaml_errors errorsOf(const std::string &Text) {
  yaml_errors Errors;
  const auto Settings = parseVmSettings(Text, "vm.yaml", Errors);
  CHECK(Settings.has_value() == Errors.empty());
  return Errors;
}

/** Checks that @p Text has exactly one error, at @p Line, whose texts contain
    @p Message and @p Accepted. */
void checkOneError(const std::string &Text, int Line,
                   const std::string &Message, const std::string &Accepted) {
  const auto Errors = errorsOf(Text);
  REQUIRE(Errors.size() == 1);
  const std::string Described = Errors[0].describe();
  CHECK(Errors[0].File == "vm.yaml");
  CHECK(Errors[0].Line == Line);
  CHECK_MESSAGE(Errors[0].Message.find(Message) != std::string::npos,
                Described);
  CHECK_MESSAGE(Errors[0].Accepted.find(Accepted) != std::string::npos,
                Described);
}

} // namespace

TEST_CASE("optional settings have defaults") {
  yaml_errors Errors;
  const auto Settings = parseVmSettings(ValidSettings, "vm.yaml", Errors);
  REQUIRE(Settings);
  CHECK(Settings->Name.str() == "vm-a1");
  CHECK(Settings->PollInterval == std::chrono::seconds(1));
  CHECK(Settings->BodyBytes == 1'048'576);
  CHECK(Settings->LogLevel == log_level::Info);
  CHECK(Settings->LogLayout == log_layout::Text);
}

TEST_CASE("each error is reported with its line and the accepted values") {
  SUBCASE("an unknown key") {
    checkOneError(ValidSettings + "colour: red\n", 12, "unknown key 'colour'",
                  "addresses");
  }
  SUBCASE("an unknown key in a section") {
    checkOneError(replaced(ValidSettings, "  region: lima\n",
                           "  region: lima\n  zone: x\n"),
                  4, "unknown key 'vm.zone'", "failure_domain");
  }
  SUBCASE("a key that occurs twice") {
    checkOneError(replaced(ValidSettings, "  region: lima\n",
                           "  region: lima\n  region: lima\n"),
                  4, "occurs twice", "each key once");
  }
  SUBCASE("a duration without a unit") {
    checkOneError(withPlatform("timeout: 500"), 11, "'platform.timeout'",
                  "a duration from 50ms to 30s");
  }
  SUBCASE("a duration out of range") {
    checkOneError(withPlatform("timeout: 5min"), 11, "5min",
                  "a duration from 50ms to 30s");
  }
  SUBCASE("a size without a unit") {
    checkOneError(ValidSettings + "callers:\n  body_limit: 4096\n", 13,
                  "'callers.body_limit'", "KiB");
  }
  SUBCASE("a number out of range") {
    checkOneError(replaced(ValidSettings, "  region: lima\n",
                           "  region: lima\n  workers: 0\n"),
                  4, "'vm.workers'", "a whole number from 1 to 256");
  }
  SUBCASE("an unknown choice") {
    checkOneError(ValidSettings + "logs:\n  layout: xml\n", 13, "'logs.layout'",
                  "text, json");
  }
  SUBCASE("a host name instead of an IP address") {
    checkOneError(
        replaced(ValidSettings, "127.0.0.1:6000", "platform.local:6000"), 10,
        "platform.local:6000", "an IP address and a port");
  }
  SUBCASE("a name with invalid characters") {
    checkOneError(replaced(ValidSettings, "vm-a1", "'vm a1'"), 2, "vm a1",
                  "letters");
  }
  SUBCASE("one address for two purposes") {
    checkOneError(replaced(ValidSettings, "127.0.0.1:9090", "127.0.0.1:7000"),
                  8, "are the same", "a different address");
  }
  SUBCASE("a missing section") {
    const auto Errors = errorsOf("vm: { name: a, region: b, failure_domain: c "
                                 "}\nplatform: { address: '127.0.0.1:1' }\n");
    REQUIRE_FALSE(Errors.empty());
    CHECK(Errors[0].Message == "'addresses' is missing");
  }
  SUBCASE("text that is not YAML") {
    checkOneError("vm: [\n", 2, "not YAML", "YAML");
  }
  SUBCASE("YAML that is not a mapping") {
    checkOneError("- vm\n", 1, "not a mapping", "a mapping");
  }
}

TEST_CASE("all errors are reported at once") {
  std::string Text = replaced(ValidSettings, "127.0.0.1:6000", "platform:6000");
  Text = replaced(Text, "  name: vm-a1\n", "");
  const auto Errors = errorsOf(Text + "logs: { level: loud, size: 3 }\nx: 1\n");
  CHECK(Errors.size() == 5);
  const auto Mentions = [&](const std::string &Part) {
    return std::ranges::any_of(Errors, [&](const yaml_error &Error) {
      return Error.describe().find(Part) != std::string::npos;
    });
  };
  for (const char *Part : {"vm.name", "platform.address", "logs.level",
                           "logs.size", "unknown key 'x'"})
    CHECK_MESSAGE(Mentions(Part), Part);
}
