#include "support/scripted_store.h"

#include "absl/strings/escaping.h"

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

#include <chrono>
#include <tuple>

namespace sesamepaddle {

namespace {

using json = nlohmann::json;
using std::chrono::milliseconds;

// How often a waiting feed looks for a change.
constexpr milliseconds FeedPollInterval{10};

std::uint64_t numberIn(std::string_view Target, std::string_view Name) {
  const auto Text = queryValue(Target, Name);
  return Text.empty() ? 0 : std::stoull(Text);
}

awaitable<void> pause(std::chrono::steady_clock::duration Time) {
  asio::steady_timer Timer(co_await asio::this_coro::executor, Time);
  co_await Timer.async_wait(asio::use_awaitable);
}

} // namespace

scripted_store::scripted_store(worker_pool &Pool) {
  auto Started = http_server::start(
      Pool, "127.0.0.1:0",
      [this](const http_exchange &Exchange) -> awaitable<http_reply> {
        co_return co_await answerInEra(Exchange.Request);
      });
  REQUIRE(Started.ok());
  Server = std::move(*Started);
}

std::string scripted_store::address() const {
  return formatEndpoint(Server->localEndpoint());
}

void scripted_store::put(const std::string &Table, const std::string &Key,
                         std::optional<std::string> Value) {
  Rows[{Table, Key}] = {std::move(Value), ++Revision};
}

std::optional<std::string> scripted_store::value(const std::string &Table,
                                                 const std::string &Key) const {
  const auto Found = Rows.find({Table, Key});
  return Found == Rows.end() ? std::nullopt : Found->second.Value;
}

double scripted_store::secondsNow() const {
  return std::chrono::duration<double>(std::chrono::steady_clock::now() -
                                       StartedAt)
      .count();
}

void scripted_store::restore() {
  std::tie(Rows, Revision) = Backup;
  Era = Era.value_or(0) + 1;
}

awaitable<http_reply> scripted_store::answerInEra(const http_request &Request) {
  auto Reply = co_await answer(Request);
  if (Era)
    Reply.Headers.push_back({"Store-Era", std::to_string(*Era)});
  co_return Reply;
}

awaitable<http_reply> scripted_store::answer(const http_request &Request) {
  ++Calls;
  if (Behavior == store_behavior::Silent)
    co_await pause(std::chrono::hours(1));
  if (Behavior == store_behavior::Busy)
    co_return makeJsonReply(503, "{}");
  const auto Path = targetPath(Request.Target);
  const auto Table = queryValue(Request.Target, "table");
  if (SilentTables.contains(Table))
    co_await pause(std::chrono::hours(1));
  ++AnsweredReads[Table];
  if (Path == "/rows-get")
    co_return readRows(Request.Target);
  if (Path == "/rows-feed")
    co_return co_await readFeed(Request.Target);
  if (Path == "/rows-tx" && BeforeCommit)
    BeforeCommit();
  if (Path == "/rows-tx")
    co_return commit(Request.Body);
  co_return makeJsonReply(404, "{}");
}

std::string scripted_store::describe(const std::string &Table,
                                     std::uint64_t After,
                                     bool WithRemoved) const {
  json List = json::array();
  for (const auto &[Id, Row] : Rows) {
    if (Id.first != Table || Row.Revision <= After ||
        (!Row.Value && !WithRemoved))
      continue;
    json Described = {{"table", Table},
                      {"part", ""},
                      {"key", Id.second},
                      {"schemaVersion", Row.Revision}};
    if (Row.Value)
      Described["value"] = absl::Base64Escape(*Row.Value);
    else
      Described["removed"] = true;
    List.push_back(std::move(Described));
  }
  return json{{"rows", std::move(List)},
              {"hasMore", false},
              {"schemaVersion", Revision},
              {"currentTimeS", secondsNow()}}
      .dump();
}

http_reply scripted_store::readRows(std::string_view Target) const {
  return makeJsonReply(200, describe(queryValue(Target, "table"), 0, false));
}

awaitable<http_reply> scripted_store::readFeed(std::string Target) {
  const auto Table = queryValue(Target, "table");
  const auto After = numberIn(Target, "after");
  const auto Until = std::chrono::steady_clock::now() +
                     milliseconds(numberIn(Target, "waitMs"));
  if (After < OldestKept || After > Revision)
    co_return makeJsonReply(410, "{}");
  const auto HasChange = [&] {
    for (const auto &[Id, Row] : Rows)
      if (Id.first == Table && Row.Revision > After)
        return true;
    return false;
  };
  while (!HasChange() && std::chrono::steady_clock::now() < Until)
    co_await pause(FeedPollInterval);
  co_return makeJsonReply(200, describe(Table, After, true));
}

http_reply scripted_store::commit(const std::string &Body) {
  const auto Transaction = json::parse(Body);
  for (const auto &Condition : Transaction.at("expectedRevision")) {
    const std::string Table = Condition.at("table");
    const auto Found = Rows.find({Table, Condition.at("key")});
    const auto Current = Found == Rows.end() || !Found->second.Value
                             ? 0
                             : Found->second.Revision;
    if (Current != Condition.at("schemaVersion").get<std::uint64_t>())
      return makeJsonReply(412, describe(Table, 0, false));
  }
  for (const auto &Put : Transaction.at("puts")) {
    std::string Value;
    REQUIRE(absl::Base64Unescape(Put.at("value").get<std::string>(), &Value));
    put(Put.at("table"), Put.at("key"), std::move(Value));
  }
  return makeJsonReply(200, json{{"schemaVersion", Revision}}.dump());
}

} // namespace sesamepaddle
