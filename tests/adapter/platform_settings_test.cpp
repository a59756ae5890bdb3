#include "platform/platform_settings.h"

#include "absl/strings/str_cat.h"
#include "absl/strings/str_replace.h"

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <cmath>
#include <fstream>
#include <iterator>
#include <map>
#include <string>
#include <string_view>
#include <vector>

using namespace sesamepaddle;
using namespace sesamepaddle::adapter;
using nlohmann::json;
using std::chrono::milliseconds;

namespace {

/** The terms that the platform gives with a contract, and with no other. */
const std::map<std::string, json> &termsByContract() {
  static const std::map<std::string, json> Terms = {
      {"drain", {{"drainS", 3}, {"gracePeriodS", 6}, {"lossSlackS", 0.2}}},
      {"retry",
       {{"budgetRatio", 0.2}, {"budgetWindowS", 10}, {"budgetSlack", 192}}},
      {"quota",
       {{"quotaWindowS", 5}, {"quotaOvershoot", 0.1}, {"quotaSlack", 20}}},
      {"rollout",
       {{"exposeShare", 0.1}, {"exposeSlack", 50}, {"rollbackS", 5}}},
      {"places",
       {{"coldOvershoot", 1.5}, {"coldSlack", 8}, {"evacuationS", 5}}},
      {"recover", {{"recoveryS", 15}}},
      {"tenants", {{"revocationS", 5}, {"strictRevocation", false}}}};
  return Terms;
}

/** @returns what the platform fills the template from, on a deployment where
    @p Contracts are in force. */
json fieldsOf(const std::vector<std::string> &Contracts) {
  json Bounds = {{"touchS", 4}, {"configDeadlineS", 3}, {"maxShift", 0.15}};
  for (const auto &Contract : Contracts)
    if (const auto Found = termsByContract().find(Contract);
        Found != termsByContract().end())
      Bounds.update(Found->second);
  return {{"nodeName", "front-1"},
          {"region", "lima"},
          {"zone", "lima-a"},
          {"limits",
           {{"cpuShare", 0.2}, {"memoryMb", 260}, {"fileDescriptors", 4100}}},
          {"listenAddresses",
           {{"front", "10.1.0.35:8686"},
            {"ready", "10.1.0.35:8680"},
            {"directory", "10.1.0.35:8684"}}},
          {"internalPorts", {7740, 7755}},
          {"seeds", {"10.1.0.35:8688"}},
          {"platform", {{"address", "10.200.1.7:8682"}}},
          {"zones", {{"lima-a", "lima"}, {"trujillo-a", "trujillo"}}},
          {"contracts", Contracts},
          {"bounds", Bounds}};
}

/** @returns the value at @p Path, such as "bounds.drainS" or "seeds.0", or
    null. */
json valueAt(const json &Fields, std::string Path) {
  std::replace(Path.begin(), Path.end(), '.', '/');
  const json::json_pointer Where("/" + Path);
  return Fields.contains(Where) ? Fields.at(Where) : json();
}

/** Fills placeholders and the sections over tables, as the platform does. A
    placeholder without a value leaves nothing. */
std::string render(std::string_view Text, const json &Fields) {
  std::string Result;
  while (!Text.empty()) {
    const auto Start = Text.find("{{");
    Result += Text.substr(0, Start);
    if (Start == std::string_view::npos)
      break;
    const auto End = Text.find("}}", Start);
    std::string Name(Text.substr(Start + 2, End - Start - 2));
    Text.remove_prefix(End + 2);
    if (Name.starts_with('#')) {
      const auto Close = "{{/" + Name.substr(1) + "}}";
      const auto SectionEnd = Text.find(Close);
      const auto Section = Text.substr(0, SectionEnd);
      Text.remove_prefix(SectionEnd + Close.size());
      const json Table = valueAt(Fields, Name.substr(1));
      for (const auto &[Key, Value] : Table.items())
        Result += render(Section, {{"@", Key}, {".", Value}});
      continue;
    }
    const bool IsJson = Name.ends_with("|json");
    if (IsJson)
      Name.resize(Name.size() - std::string_view("|json").size());
    const json Value =
        Name == "." || Name == "@" ? Fields.at(Name) : valueAt(Fields, Name);
    if (Value.is_string() && !IsJson)
      Result += Value.get<std::string>();
    else if (!Value.is_null())
      Result += Value.dump();
  }
  return Result;
}

std::string templateText() {
  std::ifstream File(SESAMEPADDLE_EXAMPLES "/../deploy/settings.yaml");
  REQUIRE(File.is_open());
  return {std::istreambuf_iterator<char>(File), {}};
}

std::string settingsFor(const std::vector<std::string> &Contracts) {
  return render(templateText(), fieldsOf(Contracts));
}

std::optional<platform_settings> parse(const std::string &Text,
                                       std::string &Errors) {
  yaml_errors All;
  auto Settings = parsePlatformSettings(Text, "settings.yaml", All);
  for (const auto &Error : All)
    absl::StrAppend(&Errors, Error.describe(), "\n");
  return Settings;
}

fleet_bounds boundsFor(const std::vector<std::string> &Contracts) {
  std::string Errors;
  const auto Settings = parse(settingsFor(Contracts), Errors);
  INFO(Errors);
  REQUIRE(Settings.has_value());
  return Settings->Ingress.Bounds;
}

/** @returns the errors in @p Text, which must be refused. */
std::string errorsIn(const std::string &Text) {
  std::string Errors;
  CHECK_FALSE(parse(Text, Errors).has_value());
  return Errors;
}

/** @returns the number of the line that begins with @p Start. */
int lineOf(const std::string &Text, const std::string &Start) {
  const auto Place = Text.find("\n" + Start);
  REQUIRE(Place != std::string::npos);
  return static_cast<int>(
      std::count(Text.begin(),
                 Text.begin() + static_cast<std::ptrdiff_t>(Place) + 1, '\n') +
      1);
}

std::string withLine(std::string Text, const std::string &Old,
                     const std::string &New) {
  REQUIRE(Text.find(Old) != std::string::npos);
  return absl::StrReplaceAll(Text, {{Old, New}});
}

const std::vector<std::string> Small = {
    "base",   "drain",   "config", "cost",    "retry",   "recover",
    "places", "tenants", "quota",  "rollout", "platform"};
const std::vector<std::string> Grown = {
    "base", "drain",  "config",  "cost",  "retry",   "recover", "health",
    "pool", "places", "tenants", "quota", "rollout", "platform"};
const std::vector<std::string> WithoutRollouts = {
    "base",   "drain", "config", "cost",    "retry", "recover",
    "health", "pool",  "places", "tenants", "quota", "platform"};
const std::vector<std::string> WithLeader = {
    "base", "drain",  "config",  "cost",  "retry",   "recover", "health",
    "pool", "places", "tenants", "quota", "rollout", "leader",  "platform"};
/** What is in force on the kinds of deployments that there are. */
const std::vector<std::vector<std::string>> Kinds = {
    Small, Grown, WithoutRollouts, WithLeader};

} // namespace

TEST_CASE("a deployment without a contract's terms starts without its limit") {
  const auto HasRollouts = [](const std::vector<std::string> &Contracts) {
    return std::find(Contracts.begin(), Contracts.end(), "rollout") !=
           Contracts.end();
  };

  SUBCASE("all terms of the contracts in force are taken over") {
    for (const auto &Contracts : Kinds) {
      CAPTURE(Contracts.size());
      const auto Bounds = boundsFor(Contracts);
      CHECK(Bounds.GracePeriod == milliseconds(6'000));
      CHECK(Bounds.Rows.Orders == milliseconds(3'000));
      CHECK(Bounds.Rows.Endpoints == milliseconds(3'000));
      CHECK(Bounds.Attempts.Slack == 192);
      REQUIRE(Bounds.Quota.has_value());
      CHECK(Bounds.Quota->Slack == 20);
      CHECK(Bounds.Rollout.has_value() == HasRollouts(Contracts));
      if (Bounds.Rollout)
        CHECK(Bounds.Rollout->Slack == 50);
    }
  }

  SUBCASE("each contract that may be missing, taken away in turn") {
    for (const auto &Contracts : Kinds)
      for (const auto &Entry : termsByContract()) {
        const std::string Missing = Entry.first;
        auto Left = Contracts;
        std::erase(Left, Missing);
        CAPTURE(Missing);
        const auto Bounds = boundsFor(Left);
        CHECK(Bounds.GracePeriod.has_value() == (Missing != "drain"));
        CHECK(Bounds.Rows.Orders.has_value());
        CHECK(Bounds.Rows.Endpoints.has_value() == (Missing != "drain"));
        CHECK(std::isinf(Bounds.Attempts.Slack) == (Missing == "retry"));
        CHECK(Bounds.Quota.has_value() == (Missing != "quota"));
        CHECK(Bounds.Rollout.has_value() ==
              (HasRollouts(Contracts) && Missing != "rollout"));
      }
  }

  SUBCASE("all of them at once") {
    const auto Bounds = boundsFor({"base", "config", "platform"});
    CHECK_FALSE(Bounds.GracePeriod.has_value());
    CHECK_FALSE(Bounds.Rows.Endpoints.has_value());
    CHECK(std::isinf(Bounds.Attempts.Slack));
    CHECK_FALSE(Bounds.Quota.has_value());
    CHECK_FALSE(Bounds.Rollout.has_value());
  }

  // An operator's own file.
  SUBCASE("a file that names no contracts") {
    auto Text = settingsFor(Small);
    Text.replace(
        Text.find("contracts:"),
        Text.find('\n', Text.find("contracts:")) - Text.find("contracts:"), "");
    std::string Errors;
    const auto Settings = parse(Text, Errors);
    INFO(Errors);
    REQUIRE(Settings.has_value());
    CHECK(Settings->Ingress.Bounds.Rollout.has_value());
  }
}

TEST_CASE("limits of requests sent ahead have defaults and are checked") {
  std::string Errors;
  const auto Text = settingsFor(Small);
  const auto Default = parse(Text, Errors);
  REQUIRE(Default.has_value());
  CHECK(Default->Ingress.Ahead.ConnectionRequests == 32);
  CHECK(Default->Ingress.Ahead.VmRequests == 1'024);
  const auto Set = parse(Text + "requests_ahead:\n  connection_requests: 0\n"
                                "  vm_bytes: 1000\n",
                         Errors);
  REQUIRE(Set.has_value());
  CHECK(Set->Ingress.Ahead.ConnectionRequests == 0);
  CHECK(Set->Ingress.Ahead.VmBytes == 1'000);
  CHECK(errorsIn(Text + "requests_ahead:\n  vm_requests: -1\n")
            .find("'requests_ahead.vm_requests' can't be '-1'") !=
        std::string::npos);
}

TEST_CASE("terms that are incomplete or wrong are refused with their line") {
  SUBCASE("a term of a contract in force is missing") {
    for (const auto &[Contract, Key] :
         std::map<std::string, std::string>{{"drain", "grace_seconds"},
                                            {"retry", "retry_ratio"},
                                            {"quota", "quota_slack"},
                                            {"rollout", "rollout_share"}}) {
      auto Fields = fieldsOf(Grown);
      for (const auto &[Term, Value] : termsByContract().at(Contract).items())
        Fields["bounds"].erase(Term);
      const auto Errors = errorsIn(render(templateText(), Fields));
      INFO(Errors);
      CHECK(Errors.find("'bounds." + Key + "' is missing") !=
            std::string::npos);
    }
  }

  SUBCASE("one of several, of a contract that is not in force") {
    auto Fields = fieldsOf(WithoutRollouts);
    Fields["bounds"]["exposeSlack"] = 50;
    const auto Errors = errorsIn(render(templateText(), Fields));
    INFO(Errors);
    CHECK(Errors.find("'bounds.rollout_share' is missing") !=
          std::string::npos);
  }

  SUBCASE("a value out of range, whether its contract is in force or not") {
    for (const auto &Contracts : {Grown, WithoutRollouts}) {
      auto Fields = fieldsOf(Contracts);
      Fields["bounds"].update({{"exposeShare", 1.5}, {"exposeSlack", 50}});
      const auto Text = render(templateText(), Fields);
      const auto Errors = errorsIn(Text);
      INFO(Errors);
      CHECK(Errors.find(absl::StrCat(
                "settings.yaml:", lineOf(Text, "  rollout_share: 1.5"),
                ": 'bounds.rollout_share' can't be "
                "'1.5'")) != std::string::npos);
    }
  }

  SUBCASE("a term of a contract that is always in force is missing") {
    auto Fields = fieldsOf(Small);
    Fields["bounds"].erase("configDeadlineS");
    const auto Errors = errorsIn(render(templateText(), Fields));
    CHECK(Errors.find("'bounds.configuration_seconds' is missing") !=
          std::string::npos);
  }

  SUBCASE("an unknown key") {
    const auto Text =
        withLine(settingsFor(Small), "  rollout_share:", "  rollout_part:");
    CHECK_FALSE(errorsIn(Text).empty());
  }
}
