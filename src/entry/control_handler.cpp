#include "entry/control_handler.h"

#include <nlohmann/json.hpp>

namespace sesamepaddle {

namespace {

// Keeps the fields in the order written here, for human readers.
using json = nlohmann::ordered_json;

json describeVms(const vm_directory &Vms) {
  json List = json::array();
  for (const auto &Vm : *Vms.all())
    List.push_back({{"name", Vm.Name.str()},
                    {"region", Vm.Region.str()},
                    {"failure_domain", Vm.FailureDomain.str()},
                    {"callers", Vm.CallerAddress},
                    {"leaving", Vm.IsLeaving}});
  return List;
}

json describeMembers(const membership_driver &Members) {
  json List = json::array();
  for (const auto &[Address, Incarnation, State] : Members.view())
    List.push_back({{"name", Address.Name.str()},
                    {"failure_domain", Address.FailureDomain.str()},
                    {"incarnation", static_cast<std::uint64_t>(Incarnation)},
                    {"state", memberStateName(State)}});
  return List;
}

json describeServices(const service_directory &Services) {
  json List = json::array();
  for (const auto &[Name, Service] : *Services.all())
    List.push_back({{"service", Name},
                    {"number", Service->Number},
                    {"active_version", Service->Document.ActiveVersion.str()}});
  return List;
}

json describeMoves(const move_controller &Moves) {
  json List = json::array();
  for (const auto &Move : Moves.summaries())
    List.push_back({{"service", Move.Service.str()},
                    {"to", Move.To.str()},
                    {"state", Move.State},
                    {"share", Move.Share}});
  return List;
}

std::string describeStatus(const control_sources &Sources) {
  const auto &Settings = Sources.Settings;
  const json Status = {
      {"name", Settings.Name.str()},
      {"region", Settings.Region.str()},
      {"failure_domain", Settings.FailureDomain.str()},
      {"leaving", Sources.Vms.isLeaving()},
      {"platform_reached", Sources.Poller.isPlatformReached()},
      {"freshness",
       freshnessName(Sources.Documents.freshnessAt(boot_clock::now()))},
      {"vms", describeVms(Sources.Vms)},
      {"members", describeMembers(Sources.Members)},
      {"documents", describeServices(Sources.Services)},
      {"moves", describeMoves(Sources.Moves)},
      {"owned_parts",
       Sources.Shares == nullptr ? 0 : Sources.Shares->ownedParts()},
      {"histograms", json::parse(Sources.Metrics.jsonSummary())}};
  return Status.dump(2) + "\n";
}

} // namespace

http_reply answerControl(const control_sources &Sources,
                         const http_request &Request) {
  const auto Path = targetPath(Request.Target);
  if (Request.Method == "GET" && Path == "/status")
    return makeJsonReply(200, describeStatus(Sources));
  if (Request.Method == "GET" && Path == "/metrics")
    return {200,
            {{"Content-Type", "text/plain; version=0.0.4"}},
            Sources.Metrics.prometheusText()};
  if (Request.Method == "POST" && Path == "/drain") {
    Sources.RequestStop();
    return makeJsonReply(202, "{\"state\":\"leaving\"}\n");
  }
  return makeJsonReply(404, "{\"error\":\"unknown-target\"}\n");
}

} // namespace sesamepaddle
