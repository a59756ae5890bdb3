#include "entry/request_handler.h"

#include "sesamepaddle/core/text.h"
#include "sesamepaddle/documents/signing.h"

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"

#include <openssl/rand.h>

#include <algorithm>
#include <string>
#include <utility>

namespace sesamepaddle {

namespace {

using std::chrono::milliseconds;

constexpr std::string_view ServicePrefix = "/services/";
constexpr std::string_view IdentifierPrefix = "/identifiers/";
// Length of the key of the tags by which this process recognises the
// identifiers that it issued.
constexpr std::size_t SecretBytes = 32;

/** Splits /services/NAME/rest into NAME and /rest.
    @returns false if the target has another form. */
bool splitTarget(std::string_view Target, std::string_view &Service,
                 std::string_view &Rest) {
  if (!Target.starts_with(ServicePrefix))
    return false;
  Target.remove_prefix(ServicePrefix.size());
  const auto Slash = Target.find('/');
  if (Slash == std::string_view::npos)
    return false;
  Service = Target.substr(0, Slash);
  Rest = Target.substr(Slash);
  return true;
}

std::string generateSecret() {
  std::string Secret(SecretBytes, '\0');
  RAND_bytes(reinterpret_cast<unsigned char *>(Secret.data()),
             static_cast<int>(Secret.size()));
  return Secret;
}

/** @returns the time allowed for the request: the route's deadline, or the
    caller's if that is shorter. */
milliseconds timeLeft(const http_request &Request,
                      const document_route &Route) {
  std::int64_t Wanted = 0;
  const auto Text = findHeader(Request.Headers, DeadlineHeader);
  if (!absl::SimpleAtoi(toAbsl(Text), &Wanted) || Wanted <= 0)
    return Route.Deadline;
  return std::min(Route.Deadline, milliseconds(Wanted));
}

std::string fingerprintOf(const http_request &Request,
                          const workspace_name &Workspace) {
  return sha256(absl::StrCat(Workspace.str(), "\n", Request.Method, "\n",
                             Request.Target, "\n", Request.Body));
}

/** @returns true if the route refuses requests while this VM may have missed
    that a key was withdrawn. */
bool needsFreshKey(const document_route &Route) {
  return !Route.IsOpen && Route.WhenCutOff == cut_off_rule::Refuse;
}

/** @returns true if the request may be a repeat of one that ran. */
bool mayBeRepeat(const http_request &Request) {
  return !findHeader(Request.Headers, IdentifierHeader).empty() ||
         !findHeader(Request.Headers, IdempotencyKeyHeader).empty();
}

} // namespace

request_handler::request_handler(const vm_identity &Self,
                                 failure_domain_name OwnDomain,
                                 service_directory &Services, metrics &Metrics,
                                 request_handler_hooks GivenHooks)
    : Services(Services), Metrics(Metrics), Hooks(std::move(GivenHooks)),
      Deduplicator(Self, generateSecret()),
      Upstream(
          std::move(OwnDomain),
          {Hooks.Client, Hooks.Now, Hooks.ChooseVersion, Hooks.BroadcastCrash}),
      Once(Deduplicator, Upstream,
           {[this](const accepted_request &Accepted) {
              return isAdmitted(Accepted);
            },
            Hooks.FindVm, Hooks.Platform, Hooks.Client, Hooks.Now}) {}

awaitable<http_reply> request_handler::handle(const http_exchange &Exchange) {
  const http_request &Request = Exchange.Request;
  if (Request.Method == "POST" && Request.Target.starts_with(IdentifierPrefix))
    co_return issueIdentifier(Request);
  accepted_request Accepted;
  Accepted.Start = Hooks.Now();
  refusal Reason{};
  bool IsAccepted = authenticate(Request, Accepted, Reason);
  if (IsAccepted && Request.Body.size() > Accepted.Route->BodyBytes) {
    Reason = refusal::BodyTooLarge;
    IsAccepted = false;
  }
  if (IsAccepted && needsFreshKey(*Accepted.Route) &&
      Hooks.IsCutOff(Accepted.Start)) {
    Reason = refusal::CutOff;
    IsAccepted = false;
  }
  // The identifier's issuer hasn't been asked, so an earlier attempt may have
  // run.
  if (!IsAccepted)
    co_return refuse(
        Reason, mayBeRepeat(Request) ? run_state::Unknown : run_state::NotRun,
        Accepted);
  Accepted.Fingerprint = fingerprintOf(Request, Accepted.Workspace);
  Accepted.Deadline = Accepted.Start + timeLeft(Request, *Accepted.Route);
  request_result Result = co_await answer(Request, Accepted);
  if (!Result.IsAnswered)
    co_return refuse(Result.Reason, Result.State, Accepted);
  Metrics.add(Accepted.Workspace,
              absl::StrCat(Accepted.Route->Name.str(), "/answered"),
              Hooks.Now() - Accepted.Start);
  co_return std::move(Result.Answer);
}

bool request_handler::findWorkspace(const http_request &Request,
                                    accepted_request &Accepted,
                                    refusal &Reason) const {
  const auto Key = findHeader(Request.Headers, KeyHeader);
  if (const auto Workspace = Accepted.Service->Keys.findWorkspace(Key)) {
    Accepted.Workspace = *Workspace;
    return true;
  }
  Reason = Key.empty() ? refusal::MissingKey : refusal::UnknownKey;
  return false;
}

// Finds the service, the route and the workspace. Open routes need no known
// key.
bool request_handler::authenticate(const http_request &Request,
                                   accepted_request &Accepted,
                                   refusal &Reason) const {
  std::string_view Service;
  std::string_view Rest;
  Reason = refusal::UnknownService;
  if (!splitTarget(Request.Target, Service, Rest))
    return false;
  Accepted.Service = Services.find(Service);
  if (!Accepted.Service)
    return false;
  Accepted.UpstreamTarget = std::string(Rest);
  Accepted.Route =
      Accepted.Service->Document.findRoute(Request.Method, targetPath(Rest));
  Reason = refusal::UnknownRoute;
  if (Accepted.Route == nullptr)
    return false;
  return findWorkspace(Request, Accepted, Reason) || Accepted.Route->IsOpen;
}

http_reply request_handler::issueIdentifier(const http_request &Request) {
  accepted_request Accepted;
  Accepted.Start = Hooks.Now();
  auto Reason = refusal::UnknownService;
  const auto Path = targetPath(Request.Target);
  Accepted.Service = Services.find(Path.substr(IdentifierPrefix.size()));
  if (!Accepted.Service || !findWorkspace(Request, Accepted, Reason))
    return refuse(Reason, run_state::NotRun, Accepted);
  const std::string Text =
      Deduplicator
          .issue({Accepted.Service->Document.Service, Accepted.Workspace})
          .str();
  http_reply Reply =
      makeJsonReply(201, absl::StrCat("{\"identifier\":\"", Text, "\"}\n"));
  Reply.Headers.push_back({std::string(IdentifierHeader), Text});
  return Reply;
}

// Charges the workspace's rate limit. A request without a known workspace is
// always admitted.
awaitable<bool>
request_handler::isAdmitted(const accepted_request &Accepted) const {
  const document_workspace *Workspace =
      Accepted.Service->Document.findWorkspace(Accepted.Workspace);
  if (Workspace == nullptr)
    co_return true;
  co_return co_await Hooks.Admit(*Accepted.Service, *Workspace, Hooks.Now());
}

awaitable<request_result>
request_handler::answer(const http_request &Request,
                        const accepted_request &Accepted) {
  if (!Accepted.Route->IsRepeatable)
    co_return co_await Once.answer(Request, Accepted);
  const bool MayRun = co_await isAdmitted(Accepted);
  if (!MayRun)
    co_return request_result::refused(refusal::RateExceeded);
  // A named variable, because g++ 12 destroys a braced temporary in a co_await
  // expression twice.
  const std::string NoIdentifier;
  co_return co_await Upstream.send(Request, Accepted, NoIdentifier);
}

void request_handler::recordRemoteCrash(const crash_evidence &Evidence) {
  Upstream.recordRemoteCrash(Evidence);
}

http_reply request_handler::refuse(refusal Reason, run_state State,
                                   const accepted_request &Request) {
  const std::string Route =
      Request.Route == nullptr ? "none" : Request.Route->Name.str();
  Metrics.add(Request.Workspace,
              absl::StrCat(Route, "/", toAbsl(refusalName(Reason))),
              Hooks.Now() - Request.Start);
  return makeRefusal(Reason, State);
}

} // namespace sesamepaddle
