#include "ingress/vm_gossip.h"

#include "ingress/gossip_recipients.h"
#include "sesamepaddle/net/failures.h"
#include "sesamepaddle/net/http_server.h"
#include "sesamepaddle/net/supervised_loop.h"
#include "sesamepaddle/steering/rendezvous.h"

#include "absl/strings/str_cat.h"

#include <algorithm>
#include <cmath>

namespace sesamepaddle {

namespace {

using std::chrono::milliseconds;

// Minimum interval while a rollout moves all traffic to the new version or is
// faulty, and a bound on the messages per second to all VMs then. A fault must
// be known everywhere before many requests run into it.
constexpr milliseconds UrgentInterval{150};
constexpr double UrgentMessagesPerSecond = 100;
// Off until a limit of workspaces that was exceeded is traced; see
// docs/design/news.md.
constexpr bool MayForward = false;
// Crashes that are queued for the next message, and that a VM which has just
// started is told.
constexpr std::size_t MaxCrashes = 16;
// Age up to which such a crash counts: longer than any request is refused.
constexpr std::uint64_t MaxCrashAgeMs = 3'600'000;
// A VM that has just started asks all others for a message. On average this
// many of them add all known objects, and as many the VMs that they know: in a
// fleet of 300 that start together, complete replies of all would be 1 GB.
constexpr double ExpectedDetailSenders = 2;
// Endpoints in one message, so that its datagram is not fragmented.
constexpr std::size_t MaxHealth = 24;
constexpr std::size_t MaxLoads = 64;
// Known objects in one message to far VMs; further ones are left out.
constexpr std::size_t MaxFarObjectUpdates = 256;
// Time until an ask for tokens is overdue: a round trip, and what a VM that is
// short of processor time needs.
constexpr milliseconds NearAnswerTimeout{60};
constexpr milliseconds FarAnswerTimeout{100};
// An answer that comes later than this is dropped: its tokens have expired.
constexpr milliseconds AnswerLifetime{1'000};
constexpr std::size_t MaxOpenAsks = 256;
// A VM whose periodic task, every 100 ms, is later than this has been held up.
constexpr milliseconds HeldUpTime{400};
// Time in which a VM that was held up reads the messages that have waited.
constexpr milliseconds BacklogTime{500};

std::uint32_t toHundredths(double Value) {
  return static_cast<std::uint32_t>(std::lround(std::max(0.0, Value) * 100));
}

double fromHundredths(std::uint32_t Value) {
  return static_cast<double>(Value) / 100;
}

std::optional<asio::ip::udp::endpoint> parseUdp(const std::string &Address) {
  const auto Endpoint = parseEndpoint(Address);
  if (!Endpoint.ok())
    return std::nullopt;
  return asio::ip::udp::endpoint(Endpoint->address(), Endpoint->port());
}

rollout_report toReport(const gossip_rollout &Rollout) {
  rollout_report Report;
  Report.IsFaulty = Rollout.IsFaulty;
  if (Rollout.IsCompleted)
    Report.Recorded = rollout_outcome::Completed;
  else if (Rollout.IsRolledBack)
    Report.Recorded = rollout_outcome::RolledBack;
  Report.Trial = {Rollout.TrialGood, Rollout.TrialBad, Rollout.TrialOverdue};
  for (const auto &Counts : Rollout.Counts)
    Report.CountsByRoute[Counts.Route] = {Counts.NewGood,   Counts.NewBad,
                                          Counts.OldGood,   Counts.OldBad,
                                          Counts.NewErrors, Counts.OldErrors};
  return Report;
}

gossip_rollout toGossip(const fleet_rollout &Rollout) {
  const auto Report = Rollout.report();
  gossip_rollout Message;
  Message.Service = Rollout.order().Service.str();
  Message.To = Rollout.order().To.str();
  Message.IsFaulty = Report.IsFaulty;
  Message.IsCompleted = Report.Recorded == rollout_outcome::Completed;
  Message.IsRolledBack = Report.Recorded == rollout_outcome::RolledBack;
  Message.TrialGood = Report.Trial.Good;
  Message.TrialBad = Report.Trial.Bad;
  Message.TrialOverdue = Report.Trial.Overdue;
  for (const auto &[Route, Counts] : Report.CountsByRoute)
    Message.Counts.push_back({Route, Counts.NewGood, Counts.NewBad,
                              Counts.OldGood, Counts.OldBad, Counts.NewErrors,
                              Counts.OldErrors});
  return Message;
}

/** A message in its two forms. */
struct encoded_message {
  std::string Plain;
  std::string ToForward; ///< to a VM that forwards it
};

encoded_message encodeBoth(gossip_message &Message) {
  Message.MustForward = true;
  auto ToForward = encodeGossip(Message);
  Message.MustForward = false;
  return {encodeGossip(Message), std::move(ToForward)};
}

} // namespace

vm_gossip::vm_gossip(asio::io_context &Context, fleet_state &Fleet,
                     request_path &Path)
    : Fleet(Fleet), Path(Path), Socket(Context), Timer(Context) {}

absl::Status vm_gossip::start() {
  const auto &Address = Fleet.options().Vm.GossipAddress;
  const auto Endpoint = parseUdp(Address);
  boost::system::error_code Error;
  if (!Endpoint)
    return makeFailure(net_failure::ListenFailed, Address);
  Socket.open(Endpoint->protocol(), Error);
  if (!Error)
    Socket.bind(*Endpoint, Error);
  if (Error)
    return makeFailure(net_failure::ListenFailed,
                       absl::StrCat(Address, ": ", Error.message()));
  const auto Self = shared_from_this();
  Path.ObtainToken =
      [Weak = weak_from_this()](workspace_name Workspace, quota_ask Ask,
                                quota_search Search) -> awaitable<bool> {
    const auto Gossip = Weak.lock();
    if (!Gossip)
      co_return false;
    co_return co_await Gossip->obtainToken(std::move(Workspace), std::move(Ask),
                                           std::move(Search));
  };
  Path.OnCrash = [Weak = weak_from_this()](const crash_evidence &Crash) {
    if (const auto Gossip = Weak.lock();
        Gossip && Gossip->Crashes.size() < MaxCrashes) {
      Gossip->Crashes.push_back({Crash.Fingerprint, Crash.Endpoint, 0});
      Gossip->sendNow(true);
    }
  };
  const auto Report = [Self](const std::string &Error) {
    Self->Log.error("loop restarted error=" + Error);
  };
  asio::co_spawn(Socket.get_executor(),
                 runSupervised([Self] { return Self->receiveLoop(); }, Report),
                 asio::detached);
  asio::co_spawn(Socket.get_executor(),
                 runSupervised([Self] { return Self->sendLoop(); }, Report),
                 asio::detached);
  return absl::OkStatus();
}

void vm_gossip::stop() {
  IsStopped = true;
  boost::system::error_code Ignored;
  Socket.close(Ignored);
  Timer.cancel();
}

void vm_gossip::sendNow(bool ToAll) {
  send(boot_clock::now(), ToAll, MayForward && !ToAll);
}

void vm_gossip::noteTick(time_point Now) {
  if (Now - LastTick > HeldUpTime)
    BacklogUntil = Now + BacklogTime;
  LastTick = Now;
}

milliseconds vm_gossip::interval() const {
  for (const auto &[Service, Rollout] : Fleet.rollouts())
    if (Rollout.isUrgent())
      return std::max(UrgentInterval,
                      milliseconds(static_cast<std::int64_t>(
                          1e3 * static_cast<double>(Fleet.vms().size()) /
                          UrgentMessagesPerSecond)));
  return Fleet.messageInterval(true);
}

awaitable<void> vm_gossip::receiveLoop() {
  while (!IsStopped) {
    boost::system::error_code Error;
    asio::ip::udp::endpoint Sender;
    const std::size_t Bytes = co_await Socket.async_receive_from(
        asio::buffer(Datagram), Sender,
        asio::redirect_error(asio::use_awaitable, Error));
    if (Error == asio::error::operation_aborted ||
        Error == asio::error::bad_descriptor)
      co_return;
    if (Error)
      continue;
    const std::string_view Received(Datagram.data(), Bytes);
    if (const auto Message = decodeGossip(Received))
      applyMessage(*Message, boot_clock::now());
    else if (const auto Tokens = decodeTokens(Received)) {
      if (Tokens->IsGrant)
        receiveGrant(*Tokens, boot_clock::now());
      else
        answerAsk(*Tokens, boot_clock::now());
    } else
      Log.warn("datagram dropped reason=malformed bytes=" +
               std::to_string(Bytes));
  }
}

awaitable<void> vm_gossip::sendLoop() {
  while (!IsStopped) {
    const auto Now = boot_clock::now();
    const bool IsUrgent = interval() < Fleet.messageInterval(true);
    const bool IsFarDue = IsUrgent || Now >= NextFarSend;
    if (IsFarDue)
      NextFarSend = Now + Fleet.messageInterval(false);
    send(Now, IsFarDue, MayForward);
    boost::system::error_code Error;
    Timer.expires_after(interval());
    co_await Timer.async_wait(asio::redirect_error(asio::use_awaitable, Error));
  }
}

gossip_message vm_gossip::makeMessage(time_point Now) {
  const auto &Vm = Fleet.options().Vm;
  gossip_message Message;
  Message.Name = Vm.Name.str();
  Message.Incarnation = static_cast<std::uint64_t>(Vm.Incarnation);
  Message.Region = Vm.Region.str();
  Message.FailureDomain = Vm.FailureDomain.str();
  Message.CallerAddress = Vm.CallerAddress;
  Message.GossipAddress = Vm.GossipAddress;
  Message.PeerHttpAddress = Vm.PeerHttpAddress;
  Message.IsStoreLost = Fleet.isStoreLost();
  Message.Cores = toHundredths(Vm.Cores);
  Message.Sequence = ++LastSequence;
  Message.IsReady = !Fleet.isStopping() && Fleet.configuration() != nullptr;
  Message.IsBusy = Fleet.overload().isBusy(Now);
  Message.KnownVms = static_cast<std::uint32_t>(Fleet.vms().size());
  Message.UptimeMs = static_cast<std::uint64_t>(
      std::chrono::duration_cast<milliseconds>(Fleet.uptime(Now)).count());
  for (const auto &[Service, Rollout] : Fleet.rollouts())
    Message.Rollouts.push_back(toGossip(Rollout));
  Message.Crashes = std::exchange(Crashes, {});
  Fleet.endpoints().forEach([&](const fleet_endpoint &Endpoint) {
    if (Endpoint.InFlight > 0 && Message.Loads.size() < MaxLoads)
      Message.Loads.push_back({Endpoint.Hash, Endpoint.InFlight});
    if (!Endpoint.Health.isWorthPublishing(Now) ||
        Message.Health.size() >= MaxHealth)
      return;
    const auto Own = Endpoint.Health.own(Now);
    Message.Health.push_back(
        {Endpoint.Hash, toHundredths(Own.Good), toHundredths(Own.Bad)});
  });
  return Message;
}

std::vector<gossip_known_objects> vm_gossip::groupByEndpoint(
    const std::vector<request_path::known_object> &Updates) {
  std::map<std::uint64_t, std::vector<std::uint64_t>> Grouped;
  for (const auto &Known : Updates)
    Grouped[Known.Endpoint].push_back(Known.Object);
  std::vector<gossip_known_objects> Known;
  Known.reserve(Grouped.size());
  for (auto &[Endpoint, Objects] : Grouped)
    Known.push_back({Endpoint, std::move(Objects)});
  return Known;
}

// Far VMs get messages less often; each contains the known objects that were
// sent to near VMs since the previous one.
void vm_gossip::send(time_point Now, bool ToAll, bool UseForwarders) {
  ++Round;
  auto Message = makeMessage(Now);
  const auto Updates = Path.takeKnownObjectUpdates();
  const auto Room = MaxFarObjectUpdates -
                    std::min(MaxFarObjectUpdates, FarObjectUpdates.size());
  FarObjectUpdates.insert(
      FarObjectUpdates.end(), Updates.begin(),
      Updates.begin() +
          static_cast<std::ptrdiff_t>(std::min(Room, Updates.size())));
  Message.Known = groupByEndpoint(Updates);
  const auto ToNear = encodeBoth(Message);
  encoded_message ToFar;
  if (ToAll) {
    Message.Known = groupByEndpoint(std::exchange(FarObjectUpdates, {}));
    ToFar = encodeBoth(Message);
  }
  Message.WantsReply = true;
  const auto Asking = encodeGossip(Message);
  for (const auto &[Vm, MustForward] :
       chooseRecipients(Fleet, Round, ToAll, UseForwarders, Now)) {
    const auto &Text = Fleet.isNear(*Vm) ? ToNear : ToFar;
    const bool IsNeverHeard = Vm->LastHeard == time_point{};
    const auto &Datagram = MustForward ? Text.ToForward : Text.Plain;
    sendTo(Vm->GossipAddress, IsNeverHeard ? Asking : Datagram,
           traffic_kind::Gossip,
           Fleet.distanceTo(Vm->Region, Vm->FailureDomain));
  }
  if (Fleet.vms().empty())
    for (const auto &Address : Fleet.options().Vm.SeedGossipAddresses)
      if (Address != Fleet.options().Vm.GossipAddress)
        sendTo(Address, Asking, traffic_kind::Gossip,
               traffic_distance::Unknown);
}

void vm_gossip::sendTo(const std::string &Address, const std::string &Datagram,
                       traffic_kind Kind, traffic_distance Distance) {
  Fleet.traffic().add(Kind, Distance, Datagram.size());
  const auto Endpoint = parseUdp(Address);
  boost::system::error_code Error;
  if (Endpoint && Socket.is_open())
    Socket.send_to(asio::buffer(Datagram), *Endpoint, 0, Error);
  if (Error && Error != asio::error::would_block)
    Log.debug("datagram not sent to=" + Address + " error=" + Error.message());
}

std::optional<quota_terms>
vm_gossip::termsOf(const workspace_name &Workspace) const {
  const auto Configuration = Fleet.configuration();
  if (!Configuration)
    return std::nullopt;
  const auto *Terms = Configuration->findWorkspaceByName(Workspace);
  return Terms == nullptr ? std::nullopt : std::optional(Fleet.termsOf(*Terms));
}

awaitable<bool> vm_gossip::obtainToken(workspace_name Workspace, quota_ask Ask,
                                       quota_search Search) {
  const auto Self = shared_from_this();
  for (;;) {
    const bool IsHomeEmpty = co_await sendAsk(Workspace, Ask);
    Search.EmptyHomes += IsHomeEmpty ? 1 : 0;
    const auto Terms = termsOf(Workspace);
    if (!Terms)
      co_return false;
    const auto Now = boot_clock::now();
    if (Fleet.quota().take(Workspace, *Terms, Now))
      co_return true;
    auto Next = Fleet.quota().nextAsk(Workspace, *Terms, Search, Now);
    if (!Next)
      co_return false;
    Ask = std::move(*Next);
  }
}

awaitable<bool> vm_gossip::sendAsk(workspace_name Workspace, quota_ask Ask) {
  const auto Now = boot_clock::now();
  std::erase_if(OpenAsks, [Now](const auto &Entry) {
    return Entry.second.Overdue == nullptr &&
           Now - Entry.second.SentAt > AnswerLifetime;
  });
  const auto Home = Fleet.vms().find(vm_name(Ask.Home));
  if (Home == Fleet.vms().end() || OpenAsks.size() >= MaxOpenAsks) {
    Fleet.quota().endAsk(Workspace);
    co_return false;
  }
  bool IsHomeEmpty = false;
  token_message Message;
  Message.AskId = ++LastAskId;
  Message.Sender = Fleet.options().Vm.Name.str();
  Message.ReplyAddress = Fleet.options().Vm.GossipAddress;
  Message.Workspace = Workspace.str();
  Message.Tokens = static_cast<float>(Ask.Tokens);
  asio::steady_timer Overdue(Socket.get_executor(),
                             Ask.IsNear ? NearAnswerTimeout : FarAnswerTimeout);
  OpenAsks[Message.AskId] = {Ask.Home, Workspace.str(), Now, &Overdue,
                             &IsHomeEmpty};
  sendTo(Home->second.GossipAddress, encodeTokens(Message),
         traffic_kind::Tokens,
         Fleet.distanceTo(Home->second.Region, Home->second.FailureDomain));
  boost::system::error_code Error;
  co_await Overdue.async_wait(asio::redirect_error(asio::use_awaitable, Error));
  Fleet.quota().endAsk(Workspace);
  if (const auto Found = OpenAsks.find(Message.AskId);
      Found != OpenAsks.end()) {
    Found->second.Overdue = nullptr;
    Fleet.quota().noteUnanswered(Ask.Home, boot_clock::now());
  }
  co_return IsHomeEmpty;
}

void vm_gossip::answerAsk(const token_message &Ask, time_point Now) {
  const workspace_name Workspace(Ask.Workspace);
  const auto Terms = termsOf(Workspace);
  if (!Terms)
    return;
  const auto Grant =
      Fleet.quota().grant(Ask.Sender, Workspace, *Terms, Ask.Tokens, Now);
  token_message Answer;
  Answer.IsGrant = true;
  Answer.AskId = Ask.AskId;
  Answer.Sender = Fleet.options().Vm.Name.str();
  Answer.Workspace = Ask.Workspace;
  Answer.Tokens = static_cast<float>(Grant.Tokens);
  Answer.RefuseForMs = static_cast<std::uint32_t>(Grant.RefuseFor.count());
  Answer.IsHome = Grant.IsHome;
  const auto Asker = Fleet.vms().find(vm_name(Ask.Sender));
  sendTo(Ask.ReplyAddress, encodeTokens(Answer), traffic_kind::Tokens,
         Asker == Fleet.vms().end()
             ? traffic_distance::Unknown
             : Fleet.distanceTo(Asker->second.Region,
                                Asker->second.FailureDomain));
}

// An answer that arrives twice, or that was not asked for, brings no tokens.
void vm_gossip::receiveGrant(const token_message &Message, time_point Now) {
  const auto Found = OpenAsks.find(Message.AskId);
  if (Found == OpenAsks.end() || Found->second.Home != Message.Sender ||
      Found->second.Workspace != Message.Workspace)
    return;
  const auto Ask = std::move(Found->second);
  OpenAsks.erase(Found);
  const bool IsHomeEmpty = Fleet.quota().receive(
      workspace_name(Ask.Workspace), Ask.Home,
      {Message.Tokens, milliseconds(Message.RefuseForMs), Message.IsHome},
      Ask.SentAt, Now);
  if (Ask.Overdue == nullptr)
    return;
  *Ask.IsHomeEmpty = IsHomeEmpty;
  Ask.Overdue->cancel();
}

// A VM that has been held up reads messages that have waited in its socket.
// Forwarding these would make their senders appear alive.
void vm_gossip::forward(gossip_message Message, time_point Now) {
  if (Now - LastTick > HeldUpTime)
    BacklogUntil = Now + BacklogTime;
  if (Now < BacklogUntil) {
    ++NotForwarded;
    return;
  }
  Message.MustForward = false;
  const auto Datagram = encodeGossip(Message);
  for (const auto *Vm : chooseForwardees(Fleet, vm_name(Message.Name), Now))
    sendTo(Vm->GossipAddress, Datagram, traffic_kind::Gossip,
           traffic_distance::SameFailureDomain);
}

void vm_gossip::applyMessage(const gossip_message &Message, time_point Now) {
  if (Message.Name == Fleet.options().Vm.Name.str())
    return;
  applyIncrements(Message, Now);
  if (!Fleet.isSuperseded(vm_name(Message.Name),
                          static_cast<incarnation>(Message.Incarnation),
                          Message.Sequence))
    applyState(Message, Now);
  if (Message.MustForward)
    forward(Message, Now);
  if (Message.WantsReply)
    reply(Message, Now);
}

// What a message says once and no later one repeats.
void vm_gossip::applyIncrements(const gossip_message &Message, time_point Now) {
  for (const auto &Known : Message.Known)
    if (const auto Endpoint = Fleet.endpoints().findByHash(Known.Endpoint))
      for (const auto Object : Known.Objects)
        Endpoint->addKnownObject(Object, Now);
  for (const auto &Crash : Message.Crashes)
    if (Crash.AgeMs <= MaxCrashAgeMs)
      Path.poison().addCrash({Crash.Fingerprint, Crash.Endpoint},
                             Now - milliseconds(Crash.AgeMs));
  for (const auto &Known : Message.Vms) {
    known_vm Learned;
    Learned.Name = vm_name(Known.Name);
    Learned.GossipAddress = Known.Address;
    Fleet.learnVm(std::move(Learned));
  }
}

void vm_gossip::applyState(const gossip_message &Message, time_point Now) {
  const auto Before = Fleet.vms().find(vm_name(Message.Name));
  const bool IsNew = Before == Fleet.vms().end() ||
                     static_cast<std::uint64_t>(Before->second.Incarnation) !=
                         Message.Incarnation;
  if (IsNew || Before->second.IsReady != Message.IsReady)
    Log.info(absl::StrCat("vm name=", Message.Name, " incarnation=",
                          Message.Incarnation, " ready=", Message.IsReady));
  known_vm Vm;
  Vm.Name = vm_name(Message.Name);
  Vm.Incarnation = static_cast<incarnation>(Message.Incarnation);
  Vm.Sequence = Message.Sequence;
  Vm.Region = region_name(Message.Region);
  Vm.FailureDomain = failure_domain_name(Message.FailureDomain);
  Vm.CallerAddress = Message.CallerAddress;
  Vm.GossipAddress = Message.GossipAddress;
  Vm.PeerHttpAddress = Message.PeerHttpAddress;
  Vm.IsReady = Message.IsReady;
  Vm.IsBusy = Message.IsBusy;
  Vm.IsStoreLost = Message.IsStoreLost;
  Vm.Cores = fromHundredths(Message.Cores);
  Vm.LastHeard = Now;
  Vm.StartedAt = Now - milliseconds(Message.UptimeMs);
  Fleet.applyVm(Vm);
  for (const auto &Rollout : Message.Rollouts) {
    const auto Found = Fleet.rollouts().find(service_name(Rollout.Service));
    if (Found != Fleet.rollouts().end() &&
        Found->second.order().To.str() == Rollout.To)
      Found->second.applyPeer(Message.Name, toReport(Rollout));
  }
  std::vector<endpoint_load> Loads;
  for (const auto &Load : Message.Loads)
    Loads.push_back({Load.Endpoint, Load.InFlight});
  Fleet.applyLoads(Vm.Name, std::move(Loads), Now);
  for (const auto &Seen : Message.Health)
    if (const auto Endpoint = Fleet.endpoints().findByHash(Seen.Endpoint))
      Endpoint->Health.applyPeer(
          Message.Name, {fromHundredths(Seen.Good), fromHundredths(Seen.Bad)},
          Now);
}

void vm_gossip::reply(const gossip_message &Message, time_point Now) {
  auto Reply = makeMessage(Now);
  for (const auto &[Evidence, Age] :
       Path.poison().refusedRequests(MaxCrashes, Now))
    Reply.Crashes.push_back(
        {Evidence.Fingerprint, Evidence.Endpoint,
         static_cast<std::uint64_t>(
             std::chrono::duration_cast<milliseconds>(Age).count())});
  const auto IsDetailSender = [this] {
    return Fleet.draw() * static_cast<double>(Fleet.vmCount()) <
           ExpectedDetailSenders;
  };
  if (IsDetailSender())
    Fleet.endpoints().forEach([&](const fleet_endpoint &Endpoint) {
      gossip_known_objects Known{Endpoint.Hash, {}};
      for (const auto &[Object, LastUse] : Endpoint.KnownObjects)
        Known.Objects.push_back(Object);
      if (!Known.Objects.empty())
        Reply.Known.push_back(std::move(Known));
    });
  // Most VMs know the others from the store. One that knows nobody asks only
  // its seeds.
  const bool KnowsNobody = Message.KnownVms == 0;
  const bool KnowsFew = 2 * std::size_t{Message.KnownVms} < Fleet.vms().size();
  if (KnowsNobody || (KnowsFew && IsDetailSender()))
    for (const auto &[Name, Known] : Fleet.vms())
      if (!Fleet.hasEnded(Known, Now))
        Reply.Vms.push_back({Name.str(), Known.GossipAddress});
  sendTo(Message.GossipAddress, encodeGossip(Reply), traffic_kind::Gossip,
         Fleet.distanceTo(region_name(Message.Region),
                          failure_domain_name(Message.FailureDomain)));
}

} // namespace sesamepaddle
