#include "entry/at_most_once_handler.h"

#include "sesamepaddle/net/http_server.h"

#include <nlohmann/json.hpp>

#include <memory>
#include <utility>

namespace sesamepaddle {

namespace {

using std::chrono::milliseconds;

request_scope scopeOf(const accepted_request &Accepted) {
  return {Accepted.Service->Document.Service, Accepted.Workspace};
}

execution_result onceResultOf(const request_result &Result) {
  if (Result.IsAnswered)
    return execution_result::Answered;
  return Result.State == run_state::NotRun ? execution_result::NotRun
                                           : execution_result::Unknown;
}

request_result makeResult(const begin_result &Verdict) {
  switch (Verdict.Decision) {
  case idempotency_decision::Answered:
    return request_result::answered(*Verdict.Answer);
  case idempotency_decision::Ran:
    return request_result::refused(refusal::AnswerNotKept);
  case idempotency_decision::NotRun:
    return request_result::refused(refusal::RefusedBefore);
  case idempotency_decision::NotIssued:
    return request_result::refused(refusal::InvalidIdentifier);
  case idempotency_decision::Reused:
    return request_result::refused(refusal::IdentifierReused);
  case idempotency_decision::Busy:
    return request_result::refused(refusal::Overloaded);
  case idempotency_decision::Run:
  case idempotency_decision::Wait:
  case idempotency_decision::Unknown:
  case idempotency_decision::Forgotten:
  case idempotency_decision::Foreign:
    break;
  }
  return request_result::refused(refusal::OutcomeUnknown);
}

/** @returns the issuer's reply as a result; refusals carry OutcomeHeader. */
request_result readIssuerReply(http_reply Reply) {
  const std::string Outcome(findHeader(Reply.Headers, OutcomeHeader));
  if (Outcome.empty())
    return request_result::answered(std::move(Reply));
  const auto Body = nlohmann::json::parse(Reply.Body, nullptr, false);
  const std::string Error =
      Body.is_object() ? Body.value("error", std::string()) : std::string();
  const auto Reason = refusalOfName(Error).value_or(refusal::OutcomeUnknown);
  return request_result::refused(Reason,
                                 Outcome == "not-run" ? run_state::NotRun
                                 : Outcome == "ran"   ? run_state::Ran
                                                      : run_state::Unknown);
}

} // namespace

at_most_once_handler::at_most_once_handler(request_deduplicator &Deduplicator,
                                           upstream_sender &Upstream,
                                           at_most_once_handler_hooks Hooks)
    : Deduplicator(Deduplicator), Upstream(Upstream), Hooks(std::move(Hooks)) {}

awaitable<request_result>
at_most_once_handler::answer(const http_request &Request,
                             const accepted_request &Accepted) {
  const auto Text = findHeader(Request.Headers, IdentifierHeader);
  if (!Text.empty()) {
    const auto Identifier = request_identifier::parse(Text);
    if (!Identifier)
      co_return request_result::refused(refusal::InvalidIdentifier);
    co_return co_await answerIdentifier(Request, Accepted, *Identifier);
  }
  const auto Key = findHeader(Request.Headers, IdempotencyKeyHeader);
  if (!Key.empty())
    co_return co_await answerKey(Request, Accepted, Key);
  co_return co_await answerIdentifier(Request, Accepted,
                                      Deduplicator.issue(scopeOf(Accepted)));
}

// The rate limit is charged first, since each key costs the platform a write.
// While the platform is unreachable, no VM can tell whether an earlier attempt
// with this key ran, so the request doesn't run and its outcome is unknown; a
// refusal by the rate limit is unknown for the same reason. If the bound
// identifier was refused for good, the key is bound to a new one.
awaitable<request_result>
at_most_once_handler::answerKey(const http_request &Request,
                                accepted_request Accepted,
                                std::string_view Key) {
  const bool MayRun = co_await Hooks.Admit(Accepted);
  if (!MayRun)
    co_return request_result::refused(refusal::RateExceeded,
                                      run_state::Unknown);
  Accepted.IsAdmitted = true;
  const auto Scope = scopeOf(Accepted);
  auto Bound = co_await bindKey(Hooks.Platform(), Deduplicator, Scope, Key);
  if (!Bound.ok())
    co_return request_result::refused(refusal::PlatformNotReached);
  auto Result = co_await answerIdentifier(Request, Accepted, Bound->Identifier);
  if (Result.IsAnswered || Result.Reason != refusal::RefusedBefore)
    co_return Result;
  Bound = co_await bindKey(Hooks.Platform(), Deduplicator, Scope, Key, *Bound);
  if (!Bound.ok())
    co_return request_result::refused(refusal::PlatformNotReached);
  co_return co_await answerIdentifier(Request, Accepted, Bound->Identifier);
}

awaitable<request_result>
at_most_once_handler::answerIdentifier(const http_request &Request,
                                       const accepted_request &Accepted,
                                       const request_identifier &Identifier) {
  const auto Verdict = co_await Deduplicator.begin(
      Identifier, scopeOf(Accepted), Accepted.Fingerprint,
      Accepted.Deadline - Hooks.Now());
  if (Verdict.Decision == idempotency_decision::Run)
    co_return co_await run(Request, Accepted, Identifier);
  if (Verdict.Decision == idempotency_decision::Foreign)
    co_return co_await askIssuer(Request, Accepted, Identifier);
  co_return makeResult(Verdict);
}

awaitable<request_result>
at_most_once_handler::run(const http_request &Request,
                          const accepted_request &Accepted,
                          const request_identifier &Identifier) {
  run_guard Run(Deduplicator, Identifier);
  bool MayRun = Accepted.IsAdmitted;
  if (!MayRun)
    MayRun = co_await Hooks.Admit(Accepted);
  if (!MayRun) {
    Run.settle(execution_result::NotRun, nullptr);
    co_return request_result::refused(refusal::RateExceeded);
  }
  auto Result = co_await Upstream.send(Request, Accepted, Identifier.str());
  std::shared_ptr<const http_reply> Answer;
  if (Result.IsAnswered) {
    Result.Answer.Headers.push_back(
        {std::string(IdentifierHeader), Identifier.str()});
    Answer = std::make_shared<http_reply>(Result.Answer);
  }
  Run.settle(onceResultOf(Result), std::move(Answer));
  co_return Result;
}

// The issuer recognises repeats, so the request may be sent over a pooled
// connection and resent over a fresh one. The issuer authenticates the caller
// itself, so the caller's key is forwarded too. A request that was forwarded to
// this VM is not forwarded again.
awaitable<request_result>
at_most_once_handler::askIssuer(const http_request &Request,
                                const accepted_request &Accepted,
                                const request_identifier &Identifier) {
  const auto Unreached = request_result::refused(refusal::IssuerNotReached);
  if (!findHeader(Request.Headers, ForwardedHeader).empty())
    co_return Unreached;
  const auto Text = Hooks.FindVm(Identifier.Issuer.Name);
  if (!Text)
    co_return Unreached;
  const auto Address = parseEndpoint(*Text);
  const auto Left =
      std::chrono::floor<milliseconds>(Accepted.Deadline - Hooks.Now());
  if (!Address.ok() || Left.count() <= 0)
    co_return Unreached;
  http_request Forwarded = Request;
  removeHopByHopHeaders(Forwarded.Headers);
  removeHeader(Forwarded.Headers, IdentifierHeader);
  removeHeader(Forwarded.Headers, DeadlineHeader);
  Forwarded.Headers.push_back(
      {std::string(IdentifierHeader), Identifier.str()});
  Forwarded.Headers.push_back({std::string(ForwardedHeader), "1"});
  Forwarded.Headers.push_back(
      {std::string(DeadlineHeader), std::to_string(Left.count())});
  http_call_options Options;
  Options.Timeout = Left;
  Options.Connection = connection_choice::PooledThenFresh;
  auto Reply = co_await Hooks.Client().call(*Address, Forwarded, Options);
  if (!Reply.ok())
    co_return Unreached;
  removeHopByHopHeaders(Reply->Headers);
  co_return readIssuerReply(std::move(*Reply));
}

} // namespace sesamepaddle
