#include "lab_command.h"
#include "platform/table_store.h"
#include "sesamepaddle/net/http_server.h"

#include <nlohmann/json.hpp>

#include <chrono>
#include <deque>
#include <iostream>
#include <utility>

namespace sesamepaddle {

namespace {

using json = nlohmann::json;
using steady = std::chrono::steady_clock;

// Callers time out long before this, so a delayed answer counts as dropped.
constexpr std::chrono::minutes DroppedAnswerDelay{10};

/** Faults that are currently injected; set through POST /faults. */
struct platform_faults {
  bool IsUnavailable = false;      ///< calls fail and have no effect
  bool DropsAnswers = false;       ///< calls take effect but get no answer
  bool DropsCommitAnswers = false; ///< the same for table commits only
  int DelayMilliseconds = 0;       ///< delay before a call takes effect
};

/** Serves the table service, the object store and the VM list from memory.
    Not thread-safe: it runs on a single worker thread.
*/
class platform_stand_in {
public:
  /** @param ListLag  age at which a VM list becomes visible to readers */
  explicit platform_stand_in(std::chrono::milliseconds ListLag)
      : ListLag(ListLag) {}

  /** Answers one request. Faults don't affect POST /faults and POST /vms. */
  awaitable<http_reply> answer(const http_request &Request) {
    const auto Path = targetPath(Request.Target);
    if (Path == "/faults")
      co_return setFaults(Request);
    if (Path == "/vms" && Request.Method == "POST")
      co_return setVms(Request);
    if (Faults.DelayMilliseconds > 0)
      co_await pause(std::chrono::milliseconds(Faults.DelayMilliseconds));
    if (Faults.IsUnavailable)
      co_return makeJsonReply(503, "{\"error\":\"out\"}");
    http_reply Reply = serve(Request, Path);
    const bool IsDropped = Faults.DropsAnswers || (Faults.DropsCommitAnswers &&
                                                   Path == "/table/commit");
    if (IsDropped)
      co_await pause(DroppedAnswerDelay);
    co_return Reply;
  }

private:
  static awaitable<void> pause(steady::duration Time) {
    asio::steady_timer Timer(co_await asio::this_coro::executor, Time);
    co_await Timer.async_wait(asio::use_awaitable);
  }

  http_reply serve(const http_request &Request, std::string_view Path) {
    try {
      if (Path == "/table/row")
        return readRow(queryValue(Request.Target, "key"));
      if (Path == "/table/rows")
        return listRows(Request.Target);
      if (Path == "/table/commit")
        return commit(json::parse(Request.Body));
      if (Path.starts_with("/objects/"))
        return serveObject(Request, std::string(Path));
      if (Path == "/vms")
        return makeJsonReply(200, laggedVmList());
    } catch (const json::exception &Error) {
      return makeJsonReply(400, json({{"error", Error.what()}}).dump());
    }
    return makeJsonReply(404, "{\"error\":\"unknown target\"}");
  }

  static json describe(const table_row &Row) {
    return {{"key", Row.Key}, {"version", Row.Version}, {"value", Row.Value}};
  }

  http_reply readRow(const std::string &Key) const {
    const auto Row = Table.find(Key);
    return Row ? makeJsonReply(200, describe(*Row).dump())
               : makeJsonReply(404, "{\"error\":\"no such row\"}");
  }

  http_reply listRows(std::string_view Target) const {
    const std::string After = queryValue(Target, "after");
    const auto Listing = Table.list(
        queryValue(Target, "prefix"),
        After.empty() ? 0 : std::strtoull(After.c_str(), nullptr, 10));
    json Rows = json::array();
    for (const auto &Row : Listing.Rows)
      Rows.push_back(describe(Row));
    return makeJsonReply(
        200, json({{"revision", Listing.Revision}, {"rows", Rows}}).dump());
  }

  http_reply commit(const json &Body) {
    table_transaction Transaction;
    Transaction.OperationId = Body.at("operation_id");
    for (const auto &Condition : Body.at("conditions"))
      Transaction.Conditions.push_back(
          {Condition.at("key"), Condition.at("version")});
    for (const auto &Write : Body.at("writes")) {
      std::optional<std::string> Value;
      if (!Write.at("value").is_null())
        Value = Write.at("value").get<std::string>();
      Transaction.Writes.push_back({Write.at("key"), std::move(Value)});
    }
    const auto Revision = Table.commit(Transaction);
    return Revision ? makeJsonReply(200, json({{"revision", *Revision}}).dump())
                    : makeJsonReply(409, "{\"error\":\"conflict\"}");
  }

  http_reply serveObject(const http_request &Request, const std::string &Name) {
    if (Request.Method == "PUT") {
      Objects[Name] = Request.Body;
      return makeJsonReply(200, "{}");
    }
    const auto Found = Objects.find(Name);
    if (Found == Objects.end())
      return makeJsonReply(404, "{\"error\":\"no such object\"}");
    return {200, {}, Found->second};
  }

  http_reply setFaults(const http_request &Request) {
    const json Body = json::parse(Request.Body, nullptr, false);
    if (!Body.is_object())
      return makeJsonReply(400, "{\"error\":\"not JSON\"}");
    Faults.IsUnavailable = Body.value("out", false);
    Faults.DropsAnswers = Body.value("drop_answers", false);
    Faults.DropsCommitAnswers = Body.value("drop_commit_answers", false);
    Faults.DelayMilliseconds = Body.value("delay_ms", 0);
    return makeJsonReply(200, "{}");
  }

  http_reply setVms(const http_request &Request) {
    VmHistory.emplace_back(steady::now(), Request.Body);
    return makeJsonReply(200, "{}");
  }

  /** @returns the VM list as it was ListLag ago; an empty list if there was
      none yet. */
  std::string laggedVmList() {
    const auto VisibleUntil = steady::now() - ListLag;
    while (VmHistory.size() > 1 && VmHistory[1].first <= VisibleUntil)
      VmHistory.pop_front();
    const bool IsKnown =
        !VmHistory.empty() && VmHistory.front().first <= VisibleUntil;
    return IsKnown ? VmHistory.front().second : "{\"vms\":[]}";
  }

  std::chrono::milliseconds ListLag;
  table_store Table;
  std::map<std::string, std::string> Objects;
  platform_faults Faults;
  /** VM lists as JSON with the time of their arrival, oldest first. */
  std::deque<std::pair<steady::time_point, std::string>> VmHistory;
};

constexpr std::array<lab_option, 2> Options = {
    {{"listen", "127.0.0.1:0", "address to listen on"},
     {"list-lag-ms", "500",
      "delay in ms until a new VM list becomes visible"}}};

} // namespace

int runPlatformCommand(std::span<char *const> Arguments) {
  int ExitCode = 0;
  const auto Given = lab_options::parse(Arguments, Options, ExitCode);
  if (!Given)
    return ExitCode;
  platform_stand_in StandIn{std::chrono::milliseconds(
      static_cast<long>(Given->number("list-lag-ms")))};
  worker_pool Pool(1);
  http_server_limits Limits;
  Limits.BodyBytes = 64 * 1024 * 1024;
  const auto Server = http_server::start(
      Pool, Given->text("listen"),
      [&](const http_exchange &Exchange) -> awaitable<http_reply> {
        co_return co_await StandIn.answer(Exchange.Request);
      },
      Limits);
  if (!Server.ok()) {
    std::cerr << Server.status().message() << "\n";
    return 1;
  }
  std::cout << "ready " << formatEndpoint((*Server)->localEndpoint())
            << std::endl;
  waitForStopSignal();
  Pool.stop();
  return 0;
}

} // namespace sesamepaddle
