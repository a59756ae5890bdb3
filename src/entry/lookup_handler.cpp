#include "entry/lookup_handler.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <cmath>
#include <string_view>
#include <utility>

namespace sesamepaddle {

namespace {

using json = nlohmann::json;

// A workspace needs one VM per this many requests per second of its rate limit,
// rounded up.
constexpr double RequestsPerSecondPerVm = 400;

/** @returns the value of the query parameter @p Name as sent, without percent
    decoding, or an empty text. */
std::string_view parameter(std::string_view Target, std::string_view Name) {
  const auto Question = Target.find('?');
  if (Question == std::string_view::npos)
    return {};
  Target.remove_prefix(Question + 1);
  while (!Target.empty()) {
    const auto Pair = Target.substr(0, Target.find('&'));
    const auto Equals = Pair.find('=');
    if (Equals != std::string_view::npos && Pair.substr(0, Equals) == Name)
      return Pair.substr(Equals + 1);
    Target.remove_prefix(std::min(Target.size(), Pair.size() + 1));
  }
  return {};
}

json describeChoices(const std::vector<entry_choice> &Choices) {
  json List = json::array();
  for (const auto &Choice : Choices)
    List.push_back({{"address", Choice.Address},
                    {"failure_domain", Choice.FailureDomain.str()},
                    {"weight", Choice.Weight}});
  return List;
}

std::size_t countVmsNeeded(const service_snapshot &Service,
                           const workspace_name &Name) {
  const auto *Workspace = Service.Document.findWorkspace(Name);
  if (Workspace == nullptr)
    return 1;
  return static_cast<std::size_t>(
      std::ceil(Workspace->RatePerSecond / RequestsPerSecondPerVm));
}

} // namespace

lookup_handler::lookup_handler(failure_domain_name OwnDomain,
                               std::chrono::milliseconds TimeToLive,
                               const service_directory &Services,
                               vm_directory &Vms)
    : OwnDomain(std::move(OwnDomain)), TimeToLive(TimeToLive),
      Services(Services), Vms(Vms), Table(build()) {
  Vms.Changed = [this] { rebuild(); };
}

http_reply lookup_handler::answer(const http_request &Request) const {
  lookup_query Query;
  Query.Service = parameter(Request.Target, "service");
  Query.Workspace = parameter(Request.Target, "workspace");
  const auto Client = parameter(Request.Target, "client");
  Query.Client = parseClientAddress(Client);
  if (!Client.empty() && !Query.Client)
    return makeJsonReply(400, "{\"error\":\"invalid-client\"}\n");
  const workspace_name Workspace{std::string(Query.Workspace)};
  vm_name Home;
  if (const auto Service = Services.find(Query.Service)) {
    Query.Spread = countVmsNeeded(*Service, Workspace);
    if (HomeOf && !Workspace.empty())
      Home = HomeOf(Service->Document.Service, Workspace);
  }
  Query.Home = Home.view();
  const lookup_answer Answer = Table.read(
      [&](const lookup_table &Current) { return Current.find(Query); });
  const json Body = {{"entries", describeChoices(Answer.Choices)},
                     {"fallbacks", describeChoices(Answer.Fallbacks)},
                     {"ttl_ms", Answer.TimeToLive.count()}};
  return makeJsonReply(200, Body.dump() + "\n");
}

void lookup_handler::setBlocks(std::shared_ptr<const block_map> NewBlocks,
                               std::vector<lookup_site> NewSites) {
  {
    const std::lock_guard Lock(RebuildMutex);
    Blocks = std::move(NewBlocks);
    Sites = std::move(NewSites);
  }
  rebuild();
}

std::shared_ptr<const lookup_table> lookup_handler::build() const {
  const auto List = Vms.all();
  return std::make_shared<const lookup_table>(
      Blocks, Sites.empty() ? sitesOfDomains(*List) : Sites, *List, OwnDomain,
      TimeToLive);
}

void lookup_handler::rebuild() {
  const std::lock_guard Lock(RebuildMutex);
  Table.publish(build());
}

} // namespace sesamepaddle
