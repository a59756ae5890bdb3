#include "sesamepaddle/platform/http_platform.h"

#include "sesamepaddle/core/text.h"
#include "sesamepaddle/net/failures.h"
#include "sesamepaddle/platform/failures.h"

#include "absl/strings/escaping.h"
#include "absl/strings/str_cat.h"

#include <nlohmann/json.hpp>

namespace sesamepaddle {

namespace {

using json = nlohmann::json;

constexpr unsigned StatusOk = 200;
constexpr unsigned StatusNotFound = 404;
constexpr unsigned StatusConflict = 409;

/** Percent-encodes @p Text for a path or query. */
std::string encodeQuery(std::string_view Text) {
  std::string Encoded;
  for (const char Character : Text) {
    const bool IsPlain =
        absl::ascii_isalnum(static_cast<unsigned char>(Character)) ||
        Character == '/' || Character == '-' || Character == '.' ||
        Character == '_';
    if (IsPlain)
      Encoded += Character;
    else
      absl::StrAppend(
          &Encoded, "%",
          absl::Hex(static_cast<unsigned char>(Character), absl::kZeroPad2));
  }
  return Encoded;
}

absl::Status malformed(std::string_view What) {
  return makeFailure(platform_failure::MalformedAnswer, What);
}

/** Parses JSON and applies @p Reader to it; JSON exceptions become a
    platform_failure. */
template <typename Read>
auto readJson(const std::string &Text, Read Reader)
    -> absl::StatusOr<decltype(Reader(json()))> {
  try {
    return Reader(json::parse(Text));
  } catch (const json::exception &Error) {
    return malformed(Error.what());
  }
}

table_row readRow(const json &Row) {
  return {Row.at("key"), Row.at("version"), Row.at("value")};
}

listed_vm readVm(const json &Vm) {
  return {vm_name(Vm.at("name")),
          region_name(Vm.at("region")),
          failure_domain_name(Vm.at("failure_domain")),
          Vm.at("callers"),
          Vm.at("peers"),
          Vm.at("control"),
          Vm.at("state") == "leaving"};
}

json toJson(const table_transaction &Transaction) {
  json Conditions = json::array();
  for (const auto &Condition : Transaction.Conditions)
    Conditions.push_back(
        {{"key", Condition.Key}, {"version", Condition.Version}});
  json Writes = json::array();
  for (const auto &Write : Transaction.Writes)
    Writes.push_back({{"key", Write.Key},
                      {"value", Write.Value ? json(*Write.Value) : json()}});
  return {{"operation_id", Transaction.OperationId},
          {"conditions", Conditions},
          {"writes", Writes}};
}

/** Sends the requests of one platform_client; all its functions share it. */
class platform_requester {
public:
  platform_requester(std::shared_ptr<http_client> Client,
                     tcp::endpoint Platform, std::chrono::milliseconds Timeout)
      : Client(std::move(Client)), Platform(Platform), Timeout(Timeout) {}

  /** @returns the reply if its status is below 500, otherwise a failure: for a
      write that was sent and got no answer, OutcomeUnknown. */
  awaitable<absl::StatusOr<http_reply>> call(http_request Request,
                                             bool IsWrite) {
    http_call_options Options;
    Options.Timeout = Timeout;
    // Reads and commits with an operation id may be sent twice, and so may an
    // object, which is written with PUT.
    Options.Connection = connection_choice::PooledThenFresh;
    const auto Reply = co_await Client->call(Platform, Request, Options);
    if (Reply.ok() && Reply->Status < 500)
      co_return *Reply;
    const bool IsKnownNotApplied =
        Reply.ok() || isFailure(Reply.status(), net_failure::ConnectFailed);
    const std::string Detail =
        Reply.ok() ? absl::StrCat("status ", Reply->Status)
                   : std::string(toStd(Reply.status().message()));
    co_return makeFailure(IsWrite && !IsKnownNotApplied
                              ? platform_failure::OutcomeUnknown
                              : platform_failure::Unavailable,
                          Detail);
  }

  awaitable<absl::StatusOr<http_reply>> get(std::string Target) {
    http_request Request;
    Request.Target = std::move(Target);
    co_return co_await call(std::move(Request), false);
  }

private:
  std::shared_ptr<http_client> Client;
  tcp::endpoint Platform;
  std::chrono::milliseconds Timeout;
};

using requester_pointer = std::shared_ptr<platform_requester>;

awaitable<absl::StatusOr<std::optional<table_row>>>
readRowCall(requester_pointer Requester, std::string Key) {
  const auto Reply =
      co_await Requester->get("/table/row?key=" + encodeQuery(Key));
  if (!Reply.ok())
    co_return Reply.status();
  if (Reply->Status == StatusNotFound)
    co_return std::optional<table_row>();
  if (Reply->Status != StatusOk)
    co_return malformed(absl::StrCat("status ", Reply->Status));
  co_return readJson(Reply->Body, [](const json &Row) {
    return std::optional<table_row>(readRow(Row));
  });
}

awaitable<absl::StatusOr<table_listing>>
listRowsCall(requester_pointer Requester, std::string Prefix,
             table_revision After) {
  const auto Reply = co_await Requester->get(absl::StrCat(
      "/table/rows?prefix=", encodeQuery(Prefix), "&after=", After));
  if (!Reply.ok())
    co_return Reply.status();
  if (Reply->Status != StatusOk)
    co_return malformed(absl::StrCat("status ", Reply->Status));
  co_return readJson(Reply->Body, [](const json &Answer) {
    table_listing Listing;
    Listing.Revision = Answer.at("revision");
    for (const auto &Row : Answer.at("rows"))
      Listing.Rows.push_back(readRow(Row));
    return Listing;
  });
}

awaitable<absl::StatusOr<table_revision>>
commitCall(requester_pointer Requester, table_transaction Transaction) {
  http_request Request;
  Request.Method = "POST";
  Request.Target = "/table/commit";
  Request.Headers = {{"Content-Type", "application/json"}};
  Request.Body = toJson(Transaction).dump();
  const auto Reply = co_await Requester->call(std::move(Request), true);
  if (!Reply.ok())
    co_return Reply.status();
  if (Reply->Status == StatusConflict)
    co_return makeFailure(platform_failure::Conflict,
                          "another writer changed a row");
  if (Reply->Status != StatusOk)
    co_return malformed(absl::StrCat("status ", Reply->Status));
  co_return readJson(Reply->Body, [](const json &Answer) {
    return Answer.at("revision").get<table_revision>();
  });
}

awaitable<absl::StatusOr<std::optional<std::string>>>
readObjectCall(requester_pointer Requester, std::string Name) {
  const auto Reply = co_await Requester->get("/objects/" + encodeQuery(Name));
  if (!Reply.ok())
    co_return Reply.status();
  if (Reply->Status == StatusNotFound)
    co_return std::optional<std::string>();
  if (Reply->Status != StatusOk)
    co_return malformed(absl::StrCat("status ", Reply->Status));
  co_return std::optional<std::string>(Reply->Body);
}

awaitable<absl::Status> writeObjectCall(requester_pointer Requester,
                                        std::string Name, std::string Body) {
  http_request Request;
  Request.Method = "PUT";
  Request.Target = "/objects/" + encodeQuery(Name);
  Request.Body = std::move(Body);
  const auto Reply = co_await Requester->call(std::move(Request), true);
  if (!Reply.ok())
    co_return Reply.status();
  if (Reply->Status != StatusOk)
    co_return malformed(absl::StrCat("status ", Reply->Status));
  co_return absl::OkStatus();
}

awaitable<absl::StatusOr<std::vector<listed_vm>>>
listVmsCall(requester_pointer Requester) {
  const auto Reply = co_await Requester->get("/vms");
  if (!Reply.ok())
    co_return Reply.status();
  if (Reply->Status != StatusOk)
    co_return malformed(absl::StrCat("status ", Reply->Status));
  co_return readJson(Reply->Body, [](const json &Answer) {
    std::vector<listed_vm> Vms;
    for (const auto &Vm : Answer.at("vms"))
      Vms.push_back(readVm(Vm));
    return Vms;
  });
}

} // namespace

platform_client makeHttpPlatform(std::shared_ptr<http_client> Client,
                                 tcp::endpoint Platform,
                                 std::chrono::milliseconds Timeout) {
  const auto Requester = std::make_shared<platform_requester>(
      std::move(Client), Platform, Timeout);
  platform_client Functions;
  Functions.ReadRow = [Requester](std::string Key) {
    return readRowCall(Requester, std::move(Key));
  };
  Functions.ListRows = [Requester](std::string Prefix, table_revision After) {
    return listRowsCall(Requester, std::move(Prefix), After);
  };
  Functions.Commit = [Requester](table_transaction Transaction) {
    return commitCall(Requester, std::move(Transaction));
  };
  Functions.ReadObject = [Requester](std::string Name) {
    return readObjectCall(Requester, std::move(Name));
  };
  Functions.WriteObject = [Requester](std::string Name, std::string Body) {
    return writeObjectCall(Requester, std::move(Name), std::move(Body));
  };
  Functions.ListVms = [Requester] { return listVmsCall(Requester); };
  return Functions;
}

} // namespace sesamepaddle
