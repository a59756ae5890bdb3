#include "entry/upstream_sender.h"

#include "entry/version_evidence.h"
#include "sesamepaddle/net/failures.h"
#include "sesamepaddle/net/http_server.h"

#include <algorithm>
#include <array>
#include <utility>

namespace sesamepaddle {

namespace {

using std::chrono::milliseconds;

constexpr std::size_t MaxAttempts = 3; // per round, each at another endpoint
constexpr unsigned StatusUnavailable = 503;
// Bounds of the timeouts that makeOptions() derives from the time left.
constexpr milliseconds MinConnectTimeout{20};
constexpr milliseconds MaxConnectTimeout{1'000};
constexpr milliseconds MaxReuseTimeout{500};
// Backoff after a round in which the endpoints shed the request; doubles each
// time. The request is refused when the next backoff would exceed the maximum
// or end after the deadline.
constexpr milliseconds InitialShedBackoff{2};
constexpr milliseconds MaxShedBackoff{128};

refusal classifyFailure(const absl::Status &Status) {
  if (isFailure(Status, net_failure::ConnectFailed))
    return refusal::UpstreamNotReached;
  return isFailure(Status, net_failure::Timeout) ? refusal::UpstreamTimeout
                                                 : refusal::UpstreamFailed;
}

/** @returns the request to send to the upstream: without the caller's keys and
    hop-by-hop headers. */
http_request makeUpstreamRequest(const http_request &Request,
                                 const accepted_request &Accepted,
                                 const std::string &Identifier) {
  constexpr std::array RemovedHeaders = {KeyHeader, IdempotencyKeyHeader,
                                         IdentifierHeader, ForwardedHeader,
                                         DeadlineHeader};
  http_request Upstream = Request;
  Upstream.Target = Accepted.UpstreamTarget;
  removeHopByHopHeaders(Upstream.Headers);
  for (const auto Name : RemovedHeaders)
    removeHeader(Upstream.Headers, Name);
  if (!Identifier.empty())
    Upstream.Headers.push_back({std::string(IdentifierHeader), Identifier});
  return Upstream;
}

/** @returns true if the upstream reported that it shed the request without
    running it. */
bool isShed(const http_reply &Reply) {
  return Reply.Status == StatusUnavailable &&
         findHeader(Reply.Headers, OutcomeHeader) == "not-run";
}

/** @returns true if another attempt may follow: the route is repeatable or the
    request did not run. An answer is retried only if its status is 503. */
bool isRetryable(const request_result &Result, bool IsRepeatable) {
  if (!Result.IsAnswered)
    return IsRepeatable || Result.State == run_state::NotRun;
  return IsRepeatable && Result.Answer.Status == StatusUnavailable;
}

// Connecting may take a quarter of the time left, which leaves time for two
// more attempts. So may the wait for an answer on a pooled connection, after
// which the request is sent over a fresh one.
http_call_options makeOptions(milliseconds Left, bool IsRepeatable) {
  http_call_options Options;
  Options.Timeout = Left;
  Options.ConnectTimeout =
      std::clamp(Left / 4, MinConnectTimeout, MaxConnectTimeout);
  Options.ReuseTimeout = std::min(Left / 4, MaxReuseTimeout);
  Options.Connection = IsRepeatable ? connection_choice::PooledThenFresh
                                    : connection_choice::Fresh;
  return Options;
}

} // namespace

upstream_sender::upstream_sender(failure_domain_name OwnDomain,
                                 upstream_sender_hooks Hooks)
    : OwnDomain(std::move(OwnDomain)), Hooks(std::move(Hooks)) {}

// Full endpoints usually free a slot soon, so a request that they all shed is
// retried after a backoff instead of being refused at once.
awaitable<request_result>
upstream_sender::send(const http_request &Request,
                      const accepted_request &Accepted,
                      const std::string &Identifier) {
  const http_request Upstream =
      makeUpstreamRequest(Request, Accepted, Identifier);
  Retries.addRequest();
  auto Backoff = InitialShedBackoff;
  for (;;) {
    auto Result = co_await sendRound(Upstream, Accepted);
    const bool IsShed = !Result.IsAnswered &&
                        Result.Reason == refusal::UpstreamShed &&
                        Result.State == run_state::NotRun;
    if (!IsShed || Backoff > MaxShedBackoff ||
        Hooks.Now() + Backoff >= Accepted.Deadline)
      co_return Result;
    const auto Executor = co_await asio::this_coro::executor;
    asio::steady_timer Timer(Executor, Backoff);
    co_await Timer.async_wait(asio::use_awaitable);
    Backoff *= 2;
  }
}

awaitable<request_result>
upstream_sender::sendRound(const http_request &Upstream,
                           const accepted_request &Accepted) {
  const chosen_version Version = Hooks.ChooseVersion(*Accepted.Service);
  const auto &Endpoints =
      Accepted.Service->EndpointsByVersion.at(Version.Version);
  std::vector<endpoint_pointer> Tried;
  auto Result = request_result::refused(refusal::NoUpstream);
  bool MayHaveRun = false;
  while (Tried.size() < MaxAttempts) {
    const auto Endpoint =
        Endpoints.choose(OwnDomain, Tried, Hooks.Now(), Turn.fetch_add(1));
    if (!Endpoint || (!Tried.empty() && !mayRetry(Result)))
      break;
    // attempt() rounds the time left down to milliseconds; 0 must not result.
    if (Hooks.Now() + milliseconds(1) >= Accepted.Deadline) {
      if (Tried.empty())
        Result = request_result::refused(refusal::DeadlinePassed);
      break;
    }
    if (!mayRun(Accepted)) {
      Result = request_result::refused(refusal::PoisonRequest);
      break;
    }
    Tried.push_back(Endpoint);
    Result = co_await attempt(Upstream, Accepted, Version, Endpoint);
    addEvidence(Accepted, *Endpoint, Result);
    MayHaveRun = MayHaveRun || Result.State != run_state::NotRun;
    if (!isRetryable(Result, Accepted.Route->IsRepeatable))
      break;
  }
  if (!Result.IsAnswered && MayHaveRun)
    Result.State = run_state::Unknown;
  co_return Result;
}

// A retry after a shed request is not charged to the retry budget, because
// shedding costs the upstream almost nothing.
bool upstream_sender::mayRetry(const request_result &Latest) {
  const bool IsShed =
      !Latest.IsAnswered && Latest.Reason == refusal::UpstreamShed;
  return IsShed || Retries.takeRetry();
}

void upstream_sender::recordRemoteCrash(const crash_evidence &Evidence) {
  const std::lock_guard Lock(PoisonMutex);
  Poison.addCrash(Evidence, Hooks.Now());
}

// Refuses requests that are known to crash upstreams.
bool upstream_sender::mayRun(const accepted_request &Accepted) {
  const std::lock_guard Lock(PoisonMutex);
  return Poison.mayRun(Accepted.Fingerprint, Hooks.Now());
}

// Only a connection lost while the request ran indicates that the upstream may
// have crashed. A timeout only indicates that it is slow.
void upstream_sender::addEvidence(const accepted_request &Accepted,
                                  const endpoint_state &Endpoint,
                                  const request_result &Result) {
  const crash_evidence Evidence{Accepted.Fingerprint, Endpoint.Address};
  bool IsNewEvidence = false;
  {
    const std::lock_guard Lock(PoisonMutex);
    if (Result.IsAnswered)
      Poison.addAnswer(Accepted.Fingerprint, Hooks.Now());
    else if (Result.Reason == refusal::UpstreamFailed)
      IsNewEvidence = Poison.addCrash(Evidence, Hooks.Now());
  }
  if (IsNewEvidence)
    Hooks.BroadcastCrash(Evidence);
}

awaitable<request_result> upstream_sender::attempt(
    const http_request &Request, const accepted_request &Accepted,
    const chosen_version &Version, const endpoint_pointer &Endpoint) {
  const auto Address = parseEndpoint(Endpoint->Address);
  if (!Address.ok())
    co_return request_result::refused(refusal::NoUpstream);
  const auto Left =
      std::chrono::floor<milliseconds>(Accepted.Deadline - Hooks.Now());
  http_request Timed = Request;
  Timed.Headers.push_back(
      {std::string(DeadlineHeader), std::to_string(Left.count())});
  const endpoint_lease Lease(Endpoint);
  const time_point SentAt = Hooks.Now();
  auto Reply = co_await Hooks.Client().call(
      *Address, Timed, makeOptions(Left, Accepted.Route->IsRepeatable));
  if (Version.Move)
    move_controller::report(
        Version, Accepted.Route->Name,
        makeVersionSample(Reply, Accepted, *Endpoint, Hooks.Now() - SentAt),
        Hooks.Now());
  if (!Reply.ok()) {
    const refusal Reason = classifyFailure(Reply.status());
    if (Reason == refusal::UpstreamNotReached)
      Endpoint->addFailure(Hooks.Now());
    co_return request_result::refused(Reason);
  }
  if (isShed(*Reply))
    co_return request_result::refused(refusal::UpstreamShed);
  Endpoint->addAnswer();
  removeHopByHopHeaders(Reply->Headers);
  removeHeader(Reply->Headers, OutcomeHeader);
  co_return request_result::answered(std::move(*Reply));
}

} // namespace sesamepaddle
