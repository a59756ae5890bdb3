#include "sesamepaddle/ingress/ingress_node.h"

#include "ingress/caller_session.h"
#include "ingress/vm_gossip.h"
#include "sesamepaddle/core/text.h"
#include "sesamepaddle/net/failures.h"
#include "sesamepaddle/net/http_server.h"
#include "sesamepaddle/net/supervised_loop.h"

#include "absl/strings/str_cat.h"

#include <algorithm>
#include <cmath>
#include <list>
#include <map>

namespace sesamepaddle {

namespace {

using std::chrono::milliseconds;

// How long callers should cache a directory response.
constexpr double DirectoryTtlSeconds = 1.0;
// Interval of periodic work: expiry, health, rollouts and draining.
constexpr milliseconds TickInterval{100};
// An endpoint found to be late is reported to near VMs at once, but at most on
// every second tick.
constexpr int UrgentUpdateTicks = 2;
// Ticks between two updates of the VMs that the quota knows.
constexpr int QuotaTicks = 2;
// Limits whose tokens are logged each second: the busiest ones tell why a
// workspace gets more or less than its limit.
constexpr std::size_t MaxLimitLines = 4;
// Change of the fraction of limits that this VM may use from which it is
// logged.
constexpr double LoggedFractionChange = 0.1;
// Maximum of connections waiting to be accepted; the kernel may allow fewer.
constexpr int Backlog = 1'024;
// Connections accepted in one pass of the event loop, so that those which are
// open already get their turn.
constexpr int MaxAcceptsPerPass = 64;
// Fraction of a VM's memory that the bodies of all requests together may use,
// and that of all answers. The rest is for everything else.
constexpr double BodyMemoryFraction = 0.4;
// Fraction that the first bytes of all answers together may use besides. A
// connection of a caller has at most one answer, so that each has its part.
constexpr double SmallAnswerFraction = 0.1;
// Part of the answers' memory that only small answers may use.
constexpr double SmallAnswerReserve = 0.125;
// Bound on a small answer. Ordinary answers are shorter.
constexpr std::size_t MaxSmallAnswerBytes = 64U * 1024;
// Fraction of a VM's descriptors that callers' connections may take. Each of
// them may need one to an endpoint as well.
constexpr double CallerDescriptorFraction = 0.5;
// Fraction that the connections of each of the servers of readiness, directory
// and metrics may take.
constexpr double ServerDescriptorFraction = 1.0 / 32;
// The same for the server of other VMs. A reader of the store answers two long
// polls of each of up to 48 VMs, and of twice as many while another is lost.
constexpr double PeerDescriptorFraction = 1.0 / 8;
// Bound on the body of a request to one of these servers. They answer requests
// that have none.
constexpr std::size_t MaxServerBodyBytes = 64U * 1024;
// Pause of accepting while no connection can be taken.
constexpr milliseconds AcceptPause{20};

std::size_t maxCallerConnections(const fleet_bounds &Bounds) {
  return static_cast<std::size_t>(static_cast<double>(Bounds.Descriptors) *
                                  CallerDescriptorFraction);
}

std::size_t fractionOf(std::size_t Bytes, double Fraction) {
  return static_cast<std::size_t>(static_cast<double>(Bytes) * Fraction);
}

http_server_limits makeServerLimits(const fleet_bounds &Bounds,
                                    double DescriptorFraction) {
  http_server_limits Limits;
  Limits.BodyBytes = MaxServerBodyBytes;
  Limits.Connections = std::max<std::size_t>(
      1, fractionOf(Bounds.Descriptors, DescriptorFraction));
  return Limits;
}

std::shared_ptr<body_memory> makeRequestMemory(const fleet_bounds &Bounds) {
  return std::make_shared<body_memory>(
      fractionOf(Bounds.MemoryBytes, BodyMemoryFraction));
}

std::shared_ptr<body_memory> makeAnswerMemory(const fleet_bounds &Bounds) {
  const auto ForEach = fractionOf(Bounds.MemoryBytes, SmallAnswerFraction) /
                       std::max<std::size_t>(1, maxCallerConnections(Bounds));
  const auto Limit = fractionOf(Bounds.MemoryBytes, BodyMemoryFraction);
  return std::make_shared<body_memory>(
      Limit, body_memory::small_bodies{std::min(MaxSmallAnswerBytes, ForEach),
                                       MaxSmallAnswerBytes,
                                       fractionOf(Limit, SmallAnswerReserve)});
}

} // namespace

class ingress_node::implementation
    : public std::enable_shared_from_this<implementation> {
public:
  implementation(worker_pool &Pool, ingress_options Options,
                 platform_handler Extra)
      : Pool(Pool), Fleet(std::move(Options)),
        Deadlines(Pool.context(0).get_executor()),
        RequestBodies(makeRequestMemory(Fleet.options().Bounds)),
        AnswerBodies(makeAnswerMemory(Fleet.options().Bounds)),
        Upstreams(Fleet.options().Fields.RequestId, Deadlines, AnswerBodies),
        Path(Fleet, Upstreams, Metrics, Decisions),
        Sessions(std::make_shared<session_context>(session_context{
            Fleet, Path, Deadlines,
            std::make_shared<loop_monitor>(Pool.context(0), Fleet.overload()),
            RequestBodies})),
        Gossip(std::make_shared<vm_gossip>(Pool.context(0), Fleet, Path)),
        Acceptor(Pool.context(0)), Tick(Pool.context(0)),
        Extra(std::move(Extra)) {}

  absl::Status start() {
    const auto &Vm = Fleet.options().Vm;
    if (const auto Status = listen(Vm.CallerAddress); !Status.ok())
      return Status;
    if (const auto Status = Gossip->start(); !Status.ok())
      return Status;
    for (const auto &Address :
         {Vm.ReadinessAddress, Vm.DirectoryAddress, Vm.PeerHttpAddress})
      if (const auto Status = serveHttp(Address); !Status.ok())
        return Status;
    // Callers can be served without metrics.
    if (const auto Status = serveHttp(Vm.MetricsAddress); !Status.ok())
      Log.warn("no metrics: " + Status.ToString());
    const auto Self = shared_from_this();
    supervise("accept", [Self] { return Self->acceptLoop(); });
    supervise("tick", [Self] { return Self->tickLoop(); });
    Log.info(absl::StrCat("started name=", Vm.Name.str(), " incarnation=",
                          static_cast<std::uint64_t>(Vm.Incarnation),
                          " callers=", Vm.CallerAddress));
    return absl::OkStatus();
  }

  void drain(std::function<void()> Done) {
    if (Fleet.isStopping())
      return;
    Fleet.beginStop(boot_clock::now());
    OnDrained = std::move(Done);
    const auto Advance = [this] { advanceDrain(boot_clock::now()); };
    AnswersDue = Deadlines.add(Fleet.stop()->answersDue(), Advance);
    DrainEnd = Deadlines.add(Fleet.stop()->end(), Advance);
    Gossip->sendNow(true);
    Log.info(absl::StrCat("draining requests=", Path.inFlight(),
                          " connections=", Sessions->Open));
  }

  fleet_state &fleet() { return Fleet; }

  tcp::endpoint callerEndpoint() const { return Acceptor.local_endpoint(); }

private:
  absl::Status listen(const std::string &Address) {
    const auto Endpoint = parseEndpoint(Address);
    if (!Endpoint.ok())
      return Endpoint.status();
    boost::system::error_code Error;
    Acceptor.open(Endpoint->protocol(), Error);
    if (!Error)
      Acceptor.set_option(asio::socket_base::reuse_address(true), Error);
    if (!Error)
      Acceptor.bind(*Endpoint, Error);
    if (!Error)
      Acceptor.listen(Backlog, Error);
    if (!Error)
      Acceptor.non_blocking(true, Error);
    if (Error)
      return makeFailure(net_failure::ListenFailed,
                         absl::StrCat(Address, ": ", Error.message()));
    return absl::OkStatus();
  }

  /** @param Loop  keeps this object alive */
  void supervise(const char *Name, std::function<awaitable<void>()> Loop) {
    asio::co_spawn(
        Pool.context(0),
        runSupervised(std::move(Loop),
                      [this, Name](const std::string &Error) {
                        Log.error(absl::StrCat("loop restarted name=", Name,
                                               " error=", Error));
                      }),
        asio::detached);
  }

  absl::Status serveHttp(const std::string &Address) {
    if (Address.empty() || Address == Fleet.options().Vm.CallerAddress)
      return absl::OkStatus();
    auto Server = http_server::start(
        Pool, Address,
        [this](const http_exchange &Exchange) -> awaitable<http_reply> {
          co_return co_await answer(Exchange.Request);
        },
        makeServerLimits(Fleet.options().Bounds,
                         Address == Fleet.options().Vm.PeerHttpAddress
                             ? PeerDescriptorFraction
                             : ServerDescriptorFraction));
    if (!Server.ok())
      return Server.status();
    Servers.push_back(std::move(*Server));
    return absl::OkStatus();
  }

  awaitable<http_reply> answer(const http_request &Request) {
    const auto Where = targetPath(Request.Target);
    const auto &Paths = Fleet.options().Paths;
    if (Where == Paths.Readiness) {
      const bool IsReady = !Fleet.isStopping() && Fleet.configuration();
      co_return http_reply{IsReady ? 200U : 503U, {}, {}};
    }
    if (Where == Paths.Directory)
      co_return answerLookup(Request.Target);
    if (Where == Paths.Metrics) {
      http_reply Reply{200, {{"Content-Type", "text/plain"}}, metricsText()};
      co_return Reply;
    }
    if (Extra) {
      auto Reply = co_await Extra(Request);
      if (Reply)
        co_return std::move(*Reply);
    }
    co_return makeJsonReply(404, "{\"error\":\"no-such-path\"}\n");
  }

  http_reply answerLookup(const std::string &Target) {
    const auto &Codec = Fleet.options().Directory;
    const auto Query = Codec.Read(Target);
    const auto Addresses = Fleet.callerAddresses(
        Query.Region, Query.FailureDomain, boot_clock::now());
    if (Addresses.empty())
      return makeJsonReply(503, "{\"error\":\"no-vm-ready\"}\n");
    return makeJsonReply(200, Codec.Write(Addresses, DirectoryTtlSeconds));
  }

  std::string metricsText() {
    const auto Others = Fleet.countVms(boot_clock::now());
    return absl::StrCat(
        Metrics.prometheusText(), Fleet.traffic().prometheusText(),
        "sesamepaddle_connections ", Sessions->Open,
        "\nsesamepaddle_requests_in_flight ", Path.inFlight(),
        "\nsesamepaddle_answers_in_progress ", countUnfinished(),
        "\nsesamepaddle_endpoint_connections_opened ", Upstreams.opened(),
        "\nsesamepaddle_endpoint_connections_idle ",
        Upstreams.idleConnections(), "\nsesamepaddle_endpoints ",
        Fleet.endpoints().size(), "\nsesamepaddle_vms ", Fleet.vmCount(),
        "\nsesamepaddle_endpoints_in_grace ", Fleet.endpoints().inGrace(),
        "\nsesamepaddle_store_lost ", Fleet.isStoreLost() ? 1 : 0,
        "\nsesamepaddle_vms_heard ", Others.Heard,
        "\nsesamepaddle_vms_may_run ", Others.MayRun,
        "\nsesamepaddle_configuration_version ",
        Fleet.configuration() ? Fleet.configuration()->version() : 0,
        "\nsesamepaddle_limit_fraction ", Fleet.quota().fraction(),
        "\nsesamepaddle_row_age_ms ",
        Fleet.rows().age(boot_clock::now()).count(),
        "\nsesamepaddle_gossip_not_forwarded ", Gossip->notForwarded(),
        "\nsesamepaddle_body_bytes_held ", RequestBodies->held(),
        "\nsesamepaddle_answer_bytes_held ", AnswerBodies->held(),
        "\nsesamepaddle_answers_given_up ", AnswerBodies->givenUp(),
        "\nsesamepaddle_server_connections_given_up ",
        countServerConnectionsGivenUp(), "\n", attemptMetricsText(),
        Sessions->Unfinished.prometheusText(),
        Fleet.loadReports().prometheusText(), Sessions->Ahead.prometheusText());
  }

  std::string attemptMetricsText() {
    std::string Text;
    Fleet.attempts().forEach(
        [&](const service_name &Service, const attempt_totals &Totals) {
          const auto Add = [&](std::string_view Kind, std::uint64_t Count) {
            absl::StrAppend(&Text, "sesamepaddle_attempts{service=\"",
                            Service.str(), "\",kind=\"", toAbsl(Kind), "\"} ",
                            Count, "\n");
          };
          Add("request", Totals.Requests);
          Add("retry", Totals.Retries);
          Add("refused_retry", Totals.RefusedRetries);
          Add("no_connection", Totals.Unconnected);
          Add("withdrawn", Totals.Withdrawn);
          Add("forbidden_retry", Totals.Forbidden);
        });
    return Text;
  }

  // Accepts all waiting connections in one pass: with one connection a pass, a
  // busy VM would leave callers in the listen queue for seconds.
  awaitable<void> acceptLoop() {
    while (Acceptor.is_open()) {
      boost::system::error_code Error;
      co_await Acceptor.async_wait(
          tcp::acceptor::wait_read,
          asio::redirect_error(asio::use_awaitable, Error));
      if (Error == asio::error::operation_aborted)
        co_return;
      const auto IsFull = [this] {
        return Sessions->Open >= maxCallerConnections(Fleet.options().Bounds);
      };
      for (int Accepted = 0;
           !Error && !IsFull() && Accepted < MaxAcceptsPerPass; ++Accepted) {
        tcp::socket Socket(Pool.context(0));
        Acceptor.accept(Socket, Error);
        if (!Error)
          startSession(std::move(Socket));
      }
      const bool IsEmpty =
          Error == asio::error::would_block || Error == asio::error::try_again;
      if (IsEmpty || (!Error && !IsFull()))
        continue;
      // Out of descriptors, or about to be: wait until some are freed.
      if (!std::exchange(IsAcceptingPaused, true))
        Log.warn(absl::StrCat("accepting paused connections=", Sessions->Open,
                              " error=", Error.message()));
      asio::steady_timer Pause(Pool.context(0), AcceptPause);
      co_await Pause.async_wait(asio::use_awaitable);
    }
  }

  void startSession(tcp::socket Socket) {
    IsAcceptingPaused = false;
    boost::system::error_code Ignored;
    Socket.set_option(tcp::no_delay(true), Ignored);
    Socket.non_blocking(true, Ignored);
    const auto Session =
        std::make_shared<caller_session>(std::move(Socket), Sessions);
    OpenSessions.push_back(Session);
    asio::co_spawn(Pool.context(0), Session->run(),
                   [this, Session](const std::exception_ptr &Error) {
                     if (!Error)
                       return;
                     Log.error("connection ended error=" +
                               describeException(Error));
                     Session->noteUnfinished(unfinished_cause::Failed);
                   });
  }

  awaitable<void> tickLoop() {
    Sessions->Monitor->noteTick(boot_clock::now(),
                                boot_clock::now() + TickInterval);
    for (int TickCount = 0;; ++TickCount) {
      boost::system::error_code Error;
      Tick.expires_after(TickInterval);
      co_await Tick.async_wait(
          asio::redirect_error(asio::use_awaitable, Error));
      const auto Now = boot_clock::now();
      Sessions->Monitor->noteTick(Now, Now + TickInterval);
      Gossip->noteTick(Now);
      if (TickCount % QuotaTicks == 0)
        updateQuota(Now);
      logOutdatedRows(Now);
      Fleet.endpoints().expire(Now);
      Fleet.refreshLoads(Now);
      Path.countLateRequests(Now);
      Fleet.endpoints().judge(Now, [&](const fleet_endpoint &Endpoint) {
        const auto Seen = Endpoint.Health.total(Now);
        Log.info(absl::StrCat("endpoint id=", Endpoint.Record.Id.str(),
                              " suspect=", Endpoint.Health.isSuspect(),
                              " good=", Seen.Good, " bad=", Seen.Bad,
                              " service=", Endpoint.Record.Service.str()));
      });
      const bool IsReady = !Fleet.isStopping() && Fleet.configuration();
      const bool IsUrgent =
          TickCount % UrgentUpdateTicks == 0 && Path.takeUrgentUpdate();
      const bool IsReadyChanged = IsReady != std::exchange(WasReady, IsReady);
      for (auto &[Service, Rollout] : Fleet.rollouts())
        Rollout.advance(Now, Fleet.isStoreFresh(Now));
      logRollouts();
      const auto Faulty = std::count_if(
          Fleet.rollouts().begin(), Fleet.rollouts().end(),
          [](const auto &Entry) { return Entry.second.report().IsFaulty; });
      // All VMs must know of a faulty version before more requests are sent to
      // it.
      const bool IsFaultNew = Faulty > std::exchange(KnownFaulty, Faulty);
      const bool IsForAll = IsReadyChanged || IsFaultNew;
      if (IsForAll || IsUrgent)
        Gossip->sendNow(IsForAll);
      // Once a second.
      if (TickCount % 10 == 0) {
        Upstreams.sweep(Now);
        logLimits(Now);
      }
      std::erase_if(OpenSessions,
                    [](const auto &Entry) { return Entry.expired(); });
      advanceDrain(Now);
    }
  }

  void logRollouts() {
    for (const auto &[Service, Rollout] : Fleet.rollouts()) {
      const auto Stage = Rollout.stage();
      const std::pair Seen(Rollout.order().To, std::optional(Stage));
      if (Seen == std::exchange(LoggedRollouts[Service], Seen))
        continue;
      const auto Counts = Rollout.total();
      const auto Trial = Rollout.trial();
      Log.info(absl::StrCat(
          "rollout service=", Service.str(), " to=", Rollout.order().To.str(),
          " stage=", toAbsl(nameOf(Stage)), " new_good=", Counts.NewGood,
          " new_bad=", Counts.NewBad, " new_errors=", Counts.NewErrors,
          " old_good=", Counts.OldGood, " old_bad=", Counts.OldBad,
          " trial_good=", Trial.Good, " trial_bad=", Trial.Bad,
          " trial_overdue=", Trial.Overdue, " late_ms=",
          std::chrono::duration_cast<std::chrono::milliseconds>(
              Rollout.lateTime())
              .count()));
    }
  }

  void logOutdatedRows(time_point Now) {
    const auto Outdated = Fleet.outdatedRows(Now);
    if (Outdated == std::exchange(LoggedOutdatedRows, Outdated))
      return;
    Log.warn(absl::StrCat(
        "rows outdated=", Outdated ? toAbsl(nameOf(*Outdated)) : "none",
        " age_ms=", Fleet.rows().age(Now).count()));
  }

  void updateQuota(time_point Now) {
    Fleet.updateQuota(Now);
    const double Fraction = Fleet.quota().fraction();
    if (std::abs(Fraction - LoggedFraction) < LoggedFractionChange)
      return;
    LoggedFraction = Fraction;
    const auto Others = Fleet.countVms(Now);
    Log.info(absl::StrCat("limits fraction=", Fraction,
                          " vms=", Fleet.vmCount(), " heard=", Others.Heard,
                          " may_run=", Others.MayRun));
  }

  void logLimits(time_point Now) {
    for (const auto &Limit : Fleet.quota().takeActivity(MaxLimitLines, Now))
      Log.info(absl::StrCat(
          "tokens workspace=", Limit.Workspace, " home=", Limit.IsHome,
          " rate=", Limit.RatePerSecond, " available=", Limit.Available,
          " spent_own=", Limit.SpentOwn,
          " spent_received=", Limit.SpentReceived, " granted=", Limit.Granted,
          " received=", Limit.Received));
  }

  /** @returns the number of requests whose callers have not received all of
      their answers. */
  std::size_t countUnfinished() const {
    std::size_t Count = 0;
    for (const auto &Entry : OpenSessions)
      if (const auto Session = Entry.lock();
          Session && Session->hasUnfinishedAnswer())
        ++Count;
    return Count;
  }

  std::size_t countServerConnectionsGivenUp() const {
    std::size_t Count = 0;
    for (const auto &Server : Servers)
      Count += Server->connectionsGivenUp();
    return Count;
  }

  /** @returns true when all connections have ended, and with them all requests
      and answers. */
  bool isQuiet() const {
    const bool AreServersBusy =
        std::any_of(Servers.begin(), Servers.end(), [](const auto &Server) {
          return Server->requestsInFlight() > 0;
        });
    return Sessions->Open == 0 && Path.inFlight() == 0 && !AreServersBusy;
  }

  // Idle connections are closed when callers no longer use this VM's address.
  // Requests in flight and callers that take their answers have the rest of the
  // grace period to finish.
  void advanceDrain(time_point Now) {
    if (!OnDrained)
      return;
    const auto &Stop = *Fleet.stop();
    if (!Stop.isNamed(Now) && !Sessions->IsClosingIdle) {
      Sessions->IsClosingIdle = true;
      for (const auto &Entry : OpenSessions)
        if (const auto Session = Entry.lock())
          Session->wake();
    }
    if (Now >= Stop.answersDue())
      Path.expireAll();
    if (Now >= Stop.end()) {
      // Requests that have just expired write their answers first.
      asio::post(Pool.context(0),
                 [Self = shared_from_this()] { Self->endDrain(); });
      return;
    }
    if (Sessions->IsClosingIdle && !Stop.isNamed(Now - 2 * TickInterval) &&
        isQuiet())
      endDrain();
  }

  void endDrain() {
    if (!OnDrained)
      return;
    Log.info(absl::StrCat("drained requests=", Path.inFlight(),
                          " connections=", Sessions->Open,
                          " answers_unfinished=", countUnfinished()));
    for (const auto &Entry : OpenSessions)
      if (const auto Session = Entry.lock())
        Session->noteUnfinished(unfinished_cause::VmEnded);
    Gossip->stop();
    std::exchange(OnDrained, nullptr)();
  }

  worker_pool &Pool;
  fleet_state Fleet;
  deadline_queue Deadlines;
  std::shared_ptr<body_memory> RequestBodies;
  std::shared_ptr<body_memory> AnswerBodies;
  upstream_pool Upstreams;
  metrics Metrics;
  decision_log Decisions{"ingress"};
  component_log Log{"node"};
  request_path Path;
  std::shared_ptr<session_context> Sessions;
  std::shared_ptr<vm_gossip> Gossip;
  tcp::acceptor Acceptor;
  asio::steady_timer Tick;
  platform_handler Extra;
  std::vector<std::unique_ptr<http_server>> Servers;
  std::list<std::weak_ptr<caller_session>> OpenSessions;
  double LoggedFraction = 0;
  std::optional<row_kind> LoggedOutdatedRows;
  /** Version and stage, by service. */
  std::map<service_name, std::pair<version_name, std::optional<rollout_stage>>>
      LoggedRollouts;
  bool WasReady = false;
  bool IsAcceptingPaused = false;  ///< no connection accepted since the pause
  std::ptrdiff_t KnownFaulty = 0;  ///< rollouts known to be faulty
  std::function<void()> OnDrained; ///< set while the VM drains
  // When advanceDrain() is due besides the ticks.
  deadline_queue::registration AnswersDue;
  deadline_queue::registration DrainEnd;
};

absl::StatusOr<std::unique_ptr<ingress_node>>
ingress_node::start(worker_pool &Pool, ingress_options Options,
                    platform_handler Extra) {
  auto Implementation = std::make_shared<implementation>(
      Pool, std::move(Options), std::move(Extra));
  if (const auto Status = Implementation->start(); !Status.ok())
    return Status;
  return std::unique_ptr<ingress_node>(
      new ingress_node(std::move(Implementation)));
}

ingress_node::ingress_node(std::shared_ptr<implementation> Implementation)
    : Implementation(std::move(Implementation)) {}

ingress_node::~ingress_node() = default;

void ingress_node::drain(std::function<void()> Done) {
  Implementation->drain(std::move(Done));
}

tcp::endpoint ingress_node::callerEndpoint() const {
  return Implementation->callerEndpoint();
}

fleet_state &ingress_node::fleet() { return Implementation->fleet(); }

} // namespace sesamepaddle
