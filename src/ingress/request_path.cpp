#include "ingress/request_path.h"

#include "sesamepaddle/core/text.h"
#include "sesamepaddle/steering/rendezvous.h"

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"

#include <algorithm>
#include <array>

namespace sesamepaddle {

namespace {

using std::chrono::milliseconds;

// Opening a connection takes at most one round trip between regions (24 ms) and
// about 1 ms at the endpoint. The timeout ends before a lost packet would be
// retransmitted.
constexpr milliseconds ConnectTimeout{250};
// Time after the deadline during which an answer may still arrive.
constexpr milliseconds LateAnswerTime{100};
// With less time left until the deadline, a retry is unlikely to finish.
constexpr milliseconds MinTimeForRetry{40};
// Attempts without a connection after which a request is refused.
constexpr int MaxUnreachedAttempts = 3;
// An answer that takes this many times the latency objective counts as a
// failure of its endpoint, provided that the endpoint has answered for the
// object before. An object that is new to it takes about three times as long,
// and objectives lie between the two times.
constexpr double LateFactor = 1.6;
// Nearly all requests end within this many times their latency objective.
constexpr int UsualTimeFactor = 2;
// Bound on known objects that are kept until the next gossip message.
constexpr std::size_t MaxKnownObjectUpdates = 256;
// Time from a lost connection until a crashed endpoint refuses new connections.
constexpr milliseconds CrashSettleTime{30};
// Bytes of a header field besides its name and value.
constexpr std::size_t FieldSeparatorBytes = 4;
// Bound on the random time added to Retry-After, so that callers that were
// refused at the same moment do not retry at the same moment.
constexpr double RetrySpreadSeconds = 0.25;
// Retry-After, before that random time, when no endpoint could take the
// request.
constexpr double ShortRetrySeconds = 0.08;
// Retry-After, before that random time, while this VM has no configuration.
constexpr double NoConfigurationRetrySeconds = 0.4;

// Bound on the time for which one answer may silence an endpoint: longer than
// an endpoint needs to work off its queue or to start anew, and short enough
// that a faulty value does not take it away for long.
constexpr double MaxQuietSeconds = 30;

double toSeconds(duration Span) {
  return std::chrono::duration<double>(Span).count();
}

double toMilliseconds(duration Span) {
  return std::chrono::duration<double, std::milli>(Span).count();
}

/** @returns the time in a Retry-After field, whole or fractional seconds,
   within MaxQuietSeconds; zero when it has none, a date, or no positive number.
 */
duration parseQuietTime(std::string_view Text) {
  double Seconds = 0;
  if (Text.find_first_not_of("0123456789.") != std::string_view::npos ||
      !absl::SimpleAtod(toAbsl(Text), &Seconds) || !(Seconds > 0))
    return duration(0);
  return std::chrono::duration_cast<duration>(
      std::chrono::duration<double>(std::min(Seconds, MaxQuietSeconds)));
}

/** What an answer says about the request. */
enum class answer_meaning : std::uint8_t {
  Final,    ///< the endpoint's answer, to be forwarded
  NotRun,   ///< the endpoint says that it did not run the request
  Replaced, ///< another endpoint has the address now; not run
  Unproved, ///< a success or refusal that may be of another request, or a
            ///< promise to callers that the endpoint did not make
};

/** @returns true when callers take @p Status to mean that the request has not
    run and never will. */
bool isPromiseNotRun(unsigned Status) {
  return Status == 408 || Status == 429 || Status == 503;
}

answer_meaning classify(const exchange_result &Result,
                        const request_field_names &Fields) {
  const auto &Reply = Result.Reply;
  const bool IsReplaced = Reply.Status == 421;
  if (IsReplaced || !findHeader(Reply.Headers, Fields.NotRun).empty()) {
    // The endpoint may have sent it to refuse an earlier request or the
    // connection, and run this request nevertheless.
    if (!Result.HasRequestId)
      return answer_meaning::Unproved;
    return IsReplaced ? answer_meaning::Replaced : answer_meaning::NotRun;
  }
  if (isPromiseNotRun(Reply.Status))
    return answer_meaning::Unproved;
  const bool IsSuccess = Reply.Status >= 200 && Reply.Status < 300;
  if (IsSuccess && findHeader(Reply.Headers, Fields.EndpointProof).empty())
    return answer_meaning::Unproved;
  return answer_meaning::Final;
}

/** @returns the name of one run of an endpoint's process in upstream_pool. */
std::string endpointRun(const fleet_endpoint &Endpoint) {
  return absl::StrCat(Endpoint.Record.Id.str(), "/", Endpoint.Record.StartedAt);
}

bool isFaultStatus(unsigned Status) { return Status >= 500; }

/** @returns the outcome of an attempt, for the log. */
std::string outcomeName(const exchange_result &Result) {
  switch (Result.End) {
  case exchange_end::Answered:
    return std::to_string(Result.Reply.Status);
  case exchange_end::NotConnected:
    return "not-connected";
  case exchange_end::Withdrawn:
    return "withdrawn";
  case exchange_end::Lost:
    return "lost";
  case exchange_end::TimedOut:
    return "timed-out";
  case exchange_end::Malformed:
    return "malformed";
  case exchange_end::TooLong:
    return "too-long";
  case exchange_end::CrowdedOut:
    return "no-memory-for-answer";
  case exchange_end::Cancelled:
    return "caller-left";
  }
  return "unknown";
}

} // namespace

/** State of one request while it is in progress. */
struct request_path::request_state {
  ingress_request Request;
  std::string RequestId;
  std::string_view Host;
  std::string_view Path;
  configuration_pointer Configuration; ///< keeps the two below alive
  const fleet_route *Route = nullptr;
  const workspace_terms *Workspace = nullptr;
  service_name Service;
  version_choice Version;
  time_point Deadline;
  /** Hash of service and object, or of the request id if there is no object. */
  std::uint64_t ObjectHash = 0;
  std::string Fingerprint; ///< empty until fingerprintOf() is called
  std::vector<endpoint_pointer> Tried;
  unsigned SentAttempts = 0; ///< attempts that reached an endpoint
  int Unreached = 0;         ///< attempts that did not
  bool MayHaveRun = false;   ///< at an endpoint
  bool IsCounted = false;    ///< by the budget of retries
  exchange_end LastEnd = exchange_end::NotConnected;
  /** countLateRequests() has counted the latest attempt. */
  bool IsLateCounted = false;
  std::string Reason;     ///< of the answer, for the log
  std::string AttemptLog; ///< endpoint and outcome of each attempt, for the log
  std::string RuleLog;    ///< route and configuration of each, for the log
  std::string RetryLog;   ///< figures of the latest retry decision, for the log
  // For the log: the latest endpoint, and why it was chosen.
  std::string Endpoint;
  bool IsKnown = false; ///< it had answered for the object before
  unsigned Load = 0;    ///< requests that it ran or queued
  time_point SentAt{};  ///< start of the latest attempt
  /** Of the endpoint's answer that is forwarded. */
  std::shared_ptr<body_memory::holding> AnswerMemory;
};

request_path::request_path(fleet_state &Fleet, upstream_pool &Upstreams,
                           metrics &Metrics, decision_log &Log)
    : Fleet(Fleet), Upstreams(Upstreams), Metrics(Metrics), Log(Log) {}

http_reply request_path::refuse(const request_state &State, unsigned Status,
                                std::string_view Reason,
                                double RetryAfterSeconds) {
  http_reply Reply = makeJsonReply(
      Status, absl::StrCat("{\"error\":\"", toAbsl(Reason), "\"}\n"));
  if (RetryAfterSeconds > 0)
    Reply.Headers.push_back(
        {"Retry-After",
         absl::StrCat(RetryAfterSeconds + Fleet.draw() * RetrySpreadSeconds)});
  Reply.Headers.push_back({Fleet.options().Fields.RequestId, State.RequestId});
  return Reply;
}

// Also before each further attempt: the request may have waited.
std::optional<http_reply> request_path::refuseIfOutdated(request_state &State) {
  if (!Fleet.outdatedRows(boot_clock::now()))
    return std::nullopt;
  absl::StrAppend(&State.Reason, "+rows-outdated");
  // Rows of most other VMs are recent.
  return refuse(State, 503, "rows-outdated", ShortRetrySeconds);
}

// Before each sending: it was started by a configuration that allowed it.
std::optional<http_reply> request_path::refuseIfBehind(request_state &State) {
  if (State.Route->Kind == request_kind::Idempotent ||
      !State.Request.IsBehind || !State.Request.IsBehind())
    return std::nullopt;
  absl::StrAppend(&State.Reason, "+behind-others");
  return refuse(State, 503, "behind-others", ShortRetrySeconds);
}

std::optional<http_reply> request_path::refuseIfStopping(request_state &State) {
  const auto *Stop = Fleet.stop();
  if (Stop == nullptr ||
      Stop->mayTake(State.Route->Kind, State.Deadline,
                    State.Route->LatencyObjective * UsualTimeFactor,
                    boot_clock::now()))
    return std::nullopt;
  absl::StrAppend(&State.Reason, "+vm-stopping");
  return refuse(State, 503, "vm-stopping", ShortRetrySeconds);
}

// Called before each attempt: a request that was allowed on arrival may be
// forbidden by now.
std::optional<http_reply> request_path::authorize(request_state &State) {
  State.Configuration = Fleet.configuration();
  if (!State.Configuration)
    return refuse(State, 503, "no-configuration", NoConfigurationRetrySeconds);
  const auto &Message = State.Request.Message;
  State.Route = State.Configuration->findRoute(State.Host, State.Path);
  if (State.Route == nullptr)
    return refuse(State, 404, "no-route", 0);
  State.Workspace = nullptr;
  if (State.Configuration->isKeyRequired()) {
    const auto Key = findHeader(Message.Headers, Fleet.options().Fields.Key);
    State.Workspace = State.Configuration->findWorkspace(Key);
    if (State.Workspace == nullptr && !State.Route->IsPublic)
      return refuse(State, 401, "unknown-key", 0);
  }
  return std::nullopt;
}

std::optional<http_reply>
request_path::refuseIfBusy(const request_state &State) {
  // A workspace's priority comes before that of the route.
  const int Priority =
      State.Workspace != nullptr && State.Workspace->Priority > 0
          ? State.Workspace->Priority
          : State.Route->Priority;
  if (Fleet.overload().admits(Priority, boot_clock::now()))
    return std::nullopt;
  // The caller's next attempt most likely reaches another VM.
  return refuse(State, 503, "vm-busy", ShortRetrySeconds);
}

// Made when it is first needed, as it reads the whole body.
const std::string &request_path::fingerprintOf(request_state &State) const {
  const auto &Message = State.Request.Message;
  if (State.Fingerprint.empty())
    State.Fingerprint = std::to_string(
        stableHash(absl::StrCat(
            State.Workspace != nullptr ? State.Workspace->Name.str() : "", " ",
            Message.Method, " ", Message.Target, " ",
            toAbsl(
                findHeader(Message.Headers, Fleet.options().Fields.Object)))) ^
        contentHash(Message.Body));
  return State.Fingerprint;
}

awaitable<std::optional<http_reply>> request_path::admit(request_state &State) {
  const auto Now = boot_clock::now();
  if (Poison.suspects() > 0 && !Poison.mayRun(fingerprintOf(State), Now))
    co_return refuse(State, 503, "crashes-endpoints", 0);
  if (State.Workspace == nullptr)
    co_return std::nullopt;
  // Copies, as the configuration may be replaced while another VM is asked.
  const auto Terms = Fleet.termsOf(*State.Workspace);
  const auto Workspace = State.Workspace->Name;
  if (Fleet.quota().admit(Workspace, Terms, Now))
    co_return std::nullopt;
  quota_search Search;
  if (auto Ask = Fleet.quota().nextAsk(Workspace, Terms, Search, Now);
      Ask && ObtainToken) {
    State.Request.OnWait();
    const bool IsAdmitted =
        co_await ObtainToken(Workspace, std::move(*Ask), std::move(Search));
    if (IsAdmitted)
      co_return std::nullopt;
  }
  const double Seconds =
      Fleet.quota().secondsToAdmission(Workspace, boot_clock::now());
  co_return refuse(State, 429, "quota", std::min(Seconds, 1.0));
}

// The configuration may have been replaced since the last attempt was made.
// What it allowed then says nothing of an attempt that is made by another one.
bool request_path::mayRetry(request_state &State, bool WasSent) {
  if (State.Request.Cancel->isCancelled())
    return false;
  const unsigned FormerMaxAttempts = State.Route->MaxAttempts;
  if (authorize(State)) {
    // send() refuses it, and the caller learns why.
    if (!State.MayHaveRun)
      return true;
    State.Reason += "+not-allowed";
    Fleet.attempts().addForbidden(State.Service);
    return false;
  }
  if (State.MayHaveRun && State.Route->Kind != request_kind::Idempotent) {
    State.Reason += "+not-repeatable";
    Fleet.attempts().addForbidden(State.Service);
    return false;
  }
  State.Deadline =
      std::min(State.Deadline, State.Request.Arrival + State.Route->Timeout);
  if (State.Deadline - boot_clock::now() < MinTimeForRetry) {
    State.Reason += "+no-time";
    return false;
  }
  const unsigned MaxAttempts =
      std::min(FormerMaxAttempts, State.Route->MaxAttempts);
  if (State.SentAttempts > 0 && State.SentAttempts >= MaxAttempts) {
    State.Reason += "+no-attempts";
    return false;
  }
  if (!WasSent)
    return ++State.Unreached < MaxUnreachedAttempts;
  return takeRetry(State);
}

bool request_path::takeRetry(request_state &State) {
  const auto Decision =
      Fleet.attempts().takeRetry(State.Service, Fleet.options().Bounds.Attempts,
                                 Fleet.sharingVms(), boot_clock::now());
  State.RetryLog = absl::StrCat(
      " retries=", Decision.Retries, " max_retries=", Decision.MaxRetries,
      " sharing_vms=", Decision.Vms,
      " up_ms=", toMilliseconds(Fleet.uptime(boot_clock::now())));
  if (!Decision.IsAllowed) {
    State.Reason += "+no-budget";
    return false;
  }
  return true;
}

std::shared_ptr<upstream_request>
request_path::makeUpstreamRequest(const request_state &State,
                                  const fleet_endpoint &Endpoint) const {
  const auto &Fields = Fleet.options().Fields;
  const auto &Message = State.Request.Message;
  const auto Left =
      std::max<std::int64_t>(1, std::chrono::duration_cast<milliseconds>(
                                    State.Deadline - boot_clock::now())
                                    .count());
  auto Request = std::make_shared<upstream_request>();
  std::string &Head = Request->Head;
  absl::StrAppend(&Head, Message.Method, " ", Message.Target, " HTTP/1.1\r\n");
  const std::array<std::string_view, 6> SetByVm = {
      Fields.Key,        Fields.Workspace, Fields.ExpectedEndpoint,
      Fields.DeadlineMs, Fields.RequestId, "Expect"};
  appendForwardedHeaders(Head, Message.Headers, SetByVm);
  absl::StrAppend(&Head, Fields.RequestId, ": ", State.RequestId, "\r\n");
  absl::StrAppend(&Head, Fields.DeadlineMs, ": ", Left, "\r\n");
  absl::StrAppend(&Head, Fields.ExpectedEndpoint, ": ",
                  Endpoint.Record.Id.str(), "\r\n");
  if (State.Workspace != nullptr)
    absl::StrAppend(&Head, Fields.Workspace, ": ", State.Workspace->Name.str(),
                    "\r\n");
  const bool HasBody = !Message.Body.empty() || Message.Method == "POST" ||
                       Message.Method == "PUT" || Message.Method == "PATCH";
  if (HasBody)
    absl::StrAppend(&Head, "Content-Length: ", Message.Body.size(), "\r\n");
  Head += "\r\n";
  Request->Body = Message.Body;
  Request->RequestId = State.RequestId;
  Request->IsHead = Message.Method == "HEAD";
  return Request;
}

awaitable<exchange_result>
request_path::exchange(request_state &State, const endpoint_pointer &Endpoint,
                       const placement_request &Wanted) {
  const auto &Record = Endpoint->Record;
  const auto Request = makeUpstreamRequest(State, *Endpoint);
  exchange_limits Limits;
  Limits.Connect = ConnectTimeout;
  Limits.Deadline = State.Deadline + LateAnswerTime;
  Limits.BodyBytes = State.Configuration->limits().BodyBytes;
  Limits.IsStillWanted = [&] {
    const auto Now = boot_clock::now();
    return State.Configuration == Fleet.configuration() &&
           !Fleet.outdatedRows(Now) && Fleet.mayUse(*Endpoint, Wanted, Now);
  };
  const std::string EndpointRun = endpointRun(*Endpoint);
  ++Endpoint->InFlight;
  const auto Objective = std::chrono::duration_cast<milliseconds>(
      State.Route->LatencyObjective * LateFactor);
  const bool IsKnown = Endpoint->knows(State.ObjectHash);
  const auto LateAt =
      IsKnown ? boot_clock::now() + Objective : time_point::max();
  const auto Entry =
      Sent.insert(Sent.end(), {Endpoint, State.Request.Cancel, LateAt, false});
  State.Request.OnWait();
  auto Result = co_await Upstreams.exchange(
      EndpointRun, Record.Address, Request, Limits, State.Request.Cancel);
  --Endpoint->InFlight;
  State.IsLateCounted = Entry->IsCounted;
  Sent.erase(Entry);
  countTraffic(Record, *Request, Result);
  const bool IsSuspicious = Result.End == exchange_end::Lost ||
                            Result.End == exchange_end::TimedOut ||
                            Result.End == exchange_end::Malformed ||
                            Result.End == exchange_end::TooLong;
  // The failure probably affects the other connections to the endpoint as well.
  if (IsSuspicious)
    Upstreams.discard(EndpointRun);
  if (Result.End == exchange_end::Lost)
    asio::co_spawn(co_await asio::this_coro::executor,
                   verifyCrash(Endpoint, fingerprintOf(State)), asio::detached);
  co_return Result;
}

void request_path::countTraffic(const endpoint_record &Record,
                                const upstream_request &Request,
                                const exchange_result &Result) {
  if (Result.End == exchange_end::NotConnected ||
      Result.End == exchange_end::Withdrawn)
    return;
  const auto Distance = Fleet.distanceTo(Record.Region, Record.FailureDomain);
  Fleet.traffic().add(traffic_kind::EndpointRequest, Distance,
                      Request.Head.size() + Request.Body.size());
  if (Result.End != exchange_end::Answered)
    return;
  std::size_t Bytes = Result.Reply.Body.size();
  for (const auto &Field : Result.Reply.Headers)
    Bytes += Field.Name.size() + Field.Value.size() + FieldSeparatorBytes;
  Fleet.traffic().add(traffic_kind::EndpointAnswer, Distance, Bytes);
}

// When a connection ended before the answer, either only the connection failed
// or the endpoint crashed. Only a crash is evidence against the request. A
// crashed endpoint accepts no connections for a while.
awaitable<void> request_path::verifyCrash(endpoint_pointer Endpoint,
                                          std::string Fingerprint) {
  asio::steady_timer Timer(co_await asio::this_coro::executor, CrashSettleTime);
  co_await Timer.async_wait(asio::use_awaitable);
  const auto &Record = Endpoint->Record;
  const bool IsThere = co_await Upstreams.connect(
      endpointRun(*Endpoint), Record.Address, ConnectTimeout);
  if (IsThere && Endpoint->IsLeavingReported)
    Upstreams.discard(endpointRun(*Endpoint));
  if (IsThere)
    co_return;
  const auto Now = boot_clock::now();
  Endpoint->addFailure(Now);
  Endpoint->markPossiblyCold(Now);
  const crash_evidence Evidence{Fingerprint, Record.Id.str()};
  if (!Poison.addCrash(Evidence, Now))
    co_return;
  Log.write(
      [&] {
        return absl::StrCat("crash endpoint=", Record.Id.str(),
                            " fingerprint=", Fingerprint,
                            " suspects=", Poison.suspects(),
                            " refused=", !Poison.mayRun(Fingerprint, Now));
      },
      Now);
  if (OnCrash)
    OnCrash(Evidence);
}

void request_path::expireAll() {
  for (auto &Request : Sent)
    Request.Cancel->expire();
}

void request_path::countLateRequests(time_point Now) {
  for (auto &Request : Sent) {
    if (Request.IsCounted || Now < Request.LateAt)
      continue;
    Request.IsCounted = true;
    if (Request.Endpoint->isCold(Now))
      continue;
    Request.Endpoint->Health.add(true, Now);
    IsUpdateUrgent = true;
  }
}

// Announcements of another endpoint at the address do not count.
void request_path::noteAnnouncements(const request_state &State,
                                     fleet_endpoint &Endpoint,
                                     const http_reply &Reply, time_point Now) {
  const auto &Record = Endpoint.Record;
  const auto &Fields = Fleet.options().Fields;
  const bool IsLeaving = findHeader(Reply.Headers, Fields.Leaving) == "1";
  if (IsLeaving && !std::exchange(Endpoint.IsLeavingReported, true)) {
    Fleet.endpoints().noteLeaving(Record);
    Log.write(
        [&] {
          return absl::StrCat(
              "endpoint id=", Record.Id.str(),
              " in_use=0 cause=leaving request=", State.RequestId,
              " service=", Record.Service.str());
        },
        Now);
  }
  if (Reply.Status != 503)
    return;
  const auto Quiet = parseQuietTime(findHeader(Reply.Headers, "Retry-After"));
  if (Quiet <= duration(0))
    return;
  const bool WasQuiet = Endpoint.isQuiet(Now);
  Endpoint.QuietUntil = std::max(Endpoint.QuietUntil, Now + Quiet);
  Fleet.endpoints().noteQuiet(Record, Endpoint.QuietUntil);
  if (WasQuiet)
    return;
  Log.write(
      [&] {
        return absl::StrCat("endpoint id=", Record.Id.str(),
                            " in_use=0 cause=quiet seconds=", toSeconds(Quiet),
                            " request=", State.RequestId,
                            " service=", Record.Service.str());
      },
      Now);
}

void request_path::noteLoad(fleet_endpoint &Endpoint, std::string_view Text,
                            time_point Now) {
  // Not all services report it.
  if (Text.empty())
    return;
  const auto Report = decodeLoadReport(Text);
  Fleet.loadReports().add(Report.Kind);
  if (Report.Load)
    Endpoint.noteLoad(*Report.Load, Now);
}

void request_path::noteUse(fleet_endpoint &Endpoint, time_point Now) {
  const auto QuietUntil = std::exchange(Endpoint.QuietUntil, time_point{});
  if (QuietUntil == time_point{})
    return;
  Log.write(
      [&] {
        return absl::StrCat(
            "endpoint id=", Endpoint.Record.Id.str(),
            " in_use=1 cause=quiet-over ms=", toMilliseconds(Now - QuietUntil),
            " service=", Endpoint.Record.Service.str());
      },
      Now);
}

void request_path::recordOutcome(request_state &State, fleet_endpoint &Endpoint,
                                 const exchange_result &Result) {
  const auto Now = boot_clock::now();
  const auto &Fields = Fleet.options().Fields;
  if (Result.End == exchange_end::Answered && Result.HasRequestId &&
      classify(Result, Fields) != answer_meaning::Replaced)
    noteAnnouncements(State, Endpoint, Result.Reply, Now);
  // Also after later answers, whose connections have become idle since.
  if (Endpoint.IsLeavingReported)
    Upstreams.discard(endpointRun(Endpoint));
  switch (Result.End) {
  case exchange_end::Withdrawn:
    return;
  case exchange_end::NotConnected:
    Endpoint.addFailure(Now);
    Endpoint.markPossiblyCold(Now);
    return;
  case exchange_end::Lost:
  case exchange_end::Malformed:
  case exchange_end::TooLong:
  case exchange_end::TimedOut:
    Endpoint.addAnswer();
    if (!State.IsLateCounted && !Endpoint.isCold(Now))
      Endpoint.Health.add(true, Now);
    break;
  case exchange_end::CrowdedOut:
    Endpoint.addAnswer();
    return;
  case exchange_end::Cancelled:
    return;
  case exchange_end::Answered: {
    const auto Meaning = classify(Result, Fields);
    if (Meaning == answer_meaning::Replaced) {
      Endpoint.IsReplaced = true;
      return;
    }
    noteLoad(Endpoint, findHeader(Result.Reply.Headers, Fields.Load), Now);
    Endpoint.addAnswer();
    if (!State.IsLateCounted && !Endpoint.isCold(Now))
      Endpoint.Health.add(Meaning != answer_meaning::Final ||
                              isFaultStatus(Result.Reply.Status),
                          Now);
    if (Meaning == answer_meaning::Final) {
      Poison.addAnswer(fingerprintOf(State), Now);
      const bool IsSuccess =
          Result.Reply.Status >= 200 && Result.Reply.Status < 300;
      if (State.Route->IsSticky && IsSuccess &&
          Endpoint.addKnownObject(State.ObjectHash, Now) &&
          KnownObjectUpdates.size() < MaxKnownObjectUpdates)
        KnownObjectUpdates.push_back({Endpoint.Hash, State.ObjectHash});
    }
    break;
  }
  }
  // Only first attempts count for a rollout. A retry has less time and is late
  // more often, and two bad answers to one request must not count as two
  // faults.
  const bool IsFirst = State.SentAttempts == 0;
  if (auto Found = Fleet.rollouts().find(State.Service);
      Found != Fleet.rollouts().end() && IsFirst && !Endpoint.isCold(Now)) {
    const bool IsAnswer = Result.End == exchange_end::Answered;
    const bool IsNotRun =
        IsAnswer && classify(Result, Fields) == answer_meaning::NotRun;
    const bool IsBad = !IsAnswer || isFaultStatus(Result.Reply.Status);
    Fleet.endTrial(State.Service, State.Version,
                   IsNotRun ? std::nullopt : std::optional(IsBad));
    if (IsBad) {
      // 504: the endpoint had no time left, as with a deadline that passes
      // here.
      const bool IsError = IsAnswer && Result.Reply.Status != 504;
      if (IsError && !IsNotRun)
        Found->second.observeError(State.Route->Name, State.Version.IsNew);
      else if (!IsNotRun)
        Found->second.observe(State.Route->Name, State.Version.IsNew, true);
    } else {
      Found->second.observeLatency(State.Route->Name, State.Version.IsNew,
                                   State.IsKnown, Now - State.SentAt);
    }
  }
}

void request_path::useVersionAfterFault(request_state &State) {
  Fleet.endTrial(State.Service, State.Version, std::nullopt);
  State.Version = Fleet.versionAfterFault(State.Service, State.Version);
}

http_reply request_path::unknownOutcomeReply(const request_state &State) const {
  if (State.LastEnd == exchange_end::TimedOut)
    return makeJsonReply(504, "{\"error\":\"deadline\"}\n");
  return makeJsonReply(502, "{\"error\":\"outcome-unknown\"}\n");
}

awaitable<http_reply> request_path::send(request_state &State) {
  const auto &Fields = Fleet.options().Fields;
  for (;;) {
    const auto Now = boot_clock::now();
    if (auto Outdated = refuseIfOutdated(State))
      co_return State.MayHaveRun ? unknownOutcomeReply(State)
                                 : std::move(*Outdated);
    if (auto Refusal = authorize(State)) {
      // A request that may have run must not get an answer that says it did
      // not.
      if (State.MayHaveRun)
        co_return unknownOutcomeReply(State);
      State.Reason = "not-allowed";
      co_return std::move(*Refusal);
    }
    if (auto Stopping = refuseIfStopping(State))
      co_return State.MayHaveRun ? unknownOutcomeReply(State)
                                 : std::move(*Stopping);
    if (auto Behind = refuseIfBehind(State))
      co_return State.MayHaveRun ? unknownOutcomeReply(State)
                                 : std::move(*Behind);
    const auto &Services = State.Route->Services;
    const bool IsServiceCurrent = std::any_of(
        Services.begin(), Services.end(), [&](const weighted_service &Part) {
          return Part.Service == State.Service;
        });
    if (!IsServiceCurrent) {
      Fleet.endTrial(State.Service, State.Version, std::nullopt);
      State.Service = State.Route->serviceFor(Fleet.draw());
      State.Version = Fleet.drawVersion(State.Service);
      // The permission that it has is for the former service.
      if (State.SentAttempts > 0 && !takeRetry(State))
        co_return State.MayHaveRun
            ? unknownOutcomeReply(State)
            : refuse(State, 503, "endpoint-full", ShortRetrySeconds);
    }
    // The request may have waited in the socket of a busy VM, or for a token, a
    // connection or another endpoint.
    if (State.Request.Cancel->checkCancelled()) {
      State.Reason += "+caller-left";
      co_return unknownOutcomeReply(State);
    }
    if (Now >= State.Deadline) {
      State.Reason += "+no-time";
      co_return State.MayHaveRun ? unknownOutcomeReply(State)
                                 : refuse(State, 503, "deadline", 0);
    }
    if (!std::exchange(State.IsCounted, true))
      Fleet.attempts().addRequest(State.Service, State.Request.Arrival);
    placement_request Wanted;
    Wanted.ObjectHash = State.ObjectHash;
    Wanted.CallerRegion = Fleet.options().Vm.Region;
    Wanted.RouteHomes = State.Route->HomeRegions;
    if (State.Workspace != nullptr)
      Wanted.WorkspaceHomes = State.Workspace->HomeRegions;
    Wanted.Excluded = State.Tried;
    Wanted.Version = State.Version;
    const auto Placed = Fleet.place(State.Service, Wanted, Now);
    if (Placed.Result == placement_result::AllQuiet) {
      absl::StrAppend(&State.Reason, "+endpoints-quiet");
      co_return State.MayHaveRun ? unknownOutcomeReply(State)
                                 : refuse(State, 503, "endpoints-quiet",
                                          toSeconds(Placed.QuietUntil - Now));
    }
    if (!Placed.Endpoint) {
      absl::StrAppend(&State.Reason, "+no-endpoint");
      co_return State.MayHaveRun
          ? unknownOutcomeReply(State)
          : refuse(State, 503, "no-endpoint", ShortRetrySeconds);
    }
    noteUse(*Placed.Endpoint, Now);
    State.Endpoint = Placed.Endpoint->Record.Id.str();
    State.IsKnown = Placed.Endpoint->knows(State.ObjectHash);
    State.Load = Placed.Endpoint->knownLoad(Now);
    State.SentAt = Now;
    auto Result = co_await exchange(State, Placed.Endpoint, Wanted);
    State.LastEnd = Result.End;
    absl::StrAppend(&State.AttemptLog, State.AttemptLog.empty() ? "" : ",",
                    State.Endpoint, ":", outcomeName(Result));
    absl::StrAppend(&State.RuleLog, State.RuleLog.empty() ? "" : ",",
                    State.Route->Name.str(), "/",
                    State.Configuration->version());
    recordOutcome(State, *Placed.Endpoint, Result);
    State.Tried.push_back(Placed.Endpoint);
    if (Result.End == exchange_end::Cancelled) {
      State.Reason = "caller-left";
      co_return unknownOutcomeReply(State);
    }
    if (Result.End == exchange_end::NotConnected ||
        Result.End == exchange_end::Withdrawn) {
      State.Reason = outcomeName(Result);
      Fleet.attempts().addUnsent(State.Service,
                                 Result.End == exchange_end::Withdrawn);
      if (mayRetry(State, false))
        continue;
      co_return State.MayHaveRun
          ? unknownOutcomeReply(State)
          : refuse(State, 503, "not-connected", ShortRetrySeconds);
    }
    ++State.SentAttempts;
    if (Result.End == exchange_end::Answered) {
      const auto Meaning = classify(Result, Fields);
      const bool IsNotRun = Meaning == answer_meaning::NotRun ||
                            Meaning == answer_meaning::Replaced;
      const bool IsFault = isFaultStatus(Result.Reply.Status);
      const bool MayRepeat = State.Route->Kind == request_kind::Idempotent;
      if (Meaning == answer_meaning::Final) {
        State.MayHaveRun = true;
        State.Reason = "answered";
        if (IsFault && MayRepeat && mayRetry(State, true)) {
          useVersionAfterFault(State);
          continue;
        }
        State.AnswerMemory = std::move(Result.Memory);
        co_return std::move(Result.Reply);
      }
      State.Reason = IsNotRun ? "not-run" : "unproved";
      State.MayHaveRun = State.MayHaveRun || !IsNotRun;
      if ((IsNotRun || MayRepeat) && mayRetry(State, true))
        continue;
      co_return State.MayHaveRun
          ? unknownOutcomeReply(State)
          : refuse(State, 503, "endpoint-full", ShortRetrySeconds);
    }
    State.MayHaveRun = true;
    // Another answer would have no more room. What has no room now are its
    // bytes: it says nothing of the endpoint.
    if (Result.End == exchange_end::CrowdedOut) {
      State.Reason = outcomeName(Result);
      co_return unknownOutcomeReply(State);
    }
    State.Reason = Result.End == exchange_end::TimedOut  ? "timed-out"
                   : Result.End == exchange_end::TooLong ? "too-long"
                                                         : "lost";
    if (State.Route->Kind == request_kind::Idempotent &&
        mayRetry(State, true)) {
      useVersionAfterFault(State);
      continue;
    }
    co_return unknownOutcomeReply(State);
  }
}

awaitable<http_reply> request_path::handle(request_state &State) {
  const auto &Fields = Fleet.options().Fields;
  const auto &Message = State.Request.Message;
  if (auto Outdated = refuseIfOutdated(State))
    co_return std::move(*Outdated);
  State.Reason = "refused";
  if (auto Refusal = authorize(State))
    co_return std::move(*Refusal);
  if (auto Busy = refuseIfBusy(State)) {
    State.Reason = "vm-busy";
    co_return std::move(*Busy);
  }
  auto Timeout = State.Route->Timeout;
  std::int64_t RequestedMs = 0;
  if (absl::SimpleAtoi(toAbsl(findHeader(Message.Headers, Fields.DeadlineMs)),
                       &RequestedMs) &&
      RequestedMs > 0)
    Timeout = std::min(Timeout, milliseconds(RequestedMs));
  State.Deadline = State.Request.Arrival + Timeout;
  State.Reason.clear();
  if (auto Stopping = refuseIfStopping(State))
    co_return std::move(*Stopping);
  State.Reason = "refused";
  State.Service = State.Route->serviceFor(Fleet.draw());
  const auto Object = findHeader(Message.Headers, Fields.Object);
  State.ObjectHash =
      Object.empty()
          ? stableHash(State.RequestId)
          : stableHash(absl::StrCat(State.Service.str(), "/", toAbsl(Object)));
  if (auto Refusal = co_await admit(State))
    co_return std::move(*Refusal);
  State.Reason.clear();
  State.Version = Fleet.drawVersion(State.Service);
  co_return co_await send(State);
}

awaitable<ingress_answer> request_path::run(ingress_request Request) {
  request_state State;
  State.Request = std::move(Request);
  const auto &Fields = Fleet.options().Fields;
  const auto &Message = State.Request.Message;
  State.RequestId = findHeader(Message.Headers, Fields.RequestId);
  State.Host = findHeader(Message.Headers, "Host");
  State.Path = targetPath(Message.Target);
  if (State.RequestId.empty())
    co_return ingress_answer{refuse(State, 400, "no-request-id", 0), nullptr};
  // An unexpected error ends this request alone. It may have run.
  http_reply Reply = unknownOutcomeReply(State);
  ++InFlight;
  try {
    Reply = co_await handle(State);
  } catch (const std::exception &Error) {
    State.Reason = absl::StrCat("internal-error:", Error.what());
  }
  --InFlight;
  Fleet.endTrial(State.Service, State.Version, std::nullopt);
  const auto Took = boot_clock::now() - State.Request.Arrival;
  const std::string Workspace =
      State.Workspace != nullptr ? State.Workspace->Name.str() : "";
  const std::string Route =
      State.Route != nullptr ? State.Route->Name.str() : "";
  Metrics.add(State.Workspace != nullptr ? State.Workspace->Name
                                         : workspace_name("none"),
              absl::StrCat(Route, "/", Reply.Status), Took);
  const auto Version = State.Configuration ? State.Configuration->version() : 0;
  const auto MakeLine = [&] {
    const bool IsRuleKnown = State.RuleLog.empty() ||
                             State.RuleLog == absl::StrCat(Route, "/", Version);
    return absl::StrCat(
        "request id=", State.RequestId, " status=", Reply.Status,
        " reason=", State.Reason, " route=", Route, " version=", Version,
        " rows_ms=", Fleet.rows().age(State.SentAt).count(),
        " service=", State.Service.str(), " workspace=", Workspace,
        " endpoint=", State.Endpoint, " known=", State.IsKnown,
        " load=", State.Load, " attempts=", State.SentAttempts,
        " unreached=", State.Unreached, " tried=", State.AttemptLog,
        IsRuleKnown ? "" : " rules=" + State.RuleLog, State.RetryLog,
        " ms=", toMilliseconds(Took),
        " object=", toAbsl(findHeader(Message.Headers, Fields.Object)));
  };
  Log.write(MakeLine, boot_clock::now());
  co_return ingress_answer{std::move(Reply), std::move(State.AnswerMemory)};
}

} // namespace sesamepaddle
