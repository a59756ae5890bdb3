#include "entry/share_limiter.h"

#include "entry/share_codec.h"
#include "sesamepaddle/core/text.h"

#include "absl/strings/str_cat.h"

#include <algorithm>
#include <set>
#include <utility>

namespace sesamepaddle {

namespace {

using std::chrono::milliseconds;

constexpr std::string_view LedgerRowPrefix = "shares/domain/";
// How often limits, peers and homes are updated and due heartbeats sent.
constexpr milliseconds HeartbeatCheckInterval{50};
// A VM that sent no message for this long is not chosen as the home of a limit.
constexpr milliseconds SilenceLimit{1'500};
// How long a request waits for tokens from its limit's home.
constexpr milliseconds HomeReplyTimeout{100};
// A batch that is used up in less time than this is followed by one of twice
// the size, up to MaxBatchTokens.
constexpr milliseconds MinBatchDuration{20};
constexpr double MaxBatchTokens = 64;

limit_name nameLimit(const service_name &Service,
                     const workspace_name &Workspace) {
  return limit_name(
      absl::StrCat("workspace/", Service.str(), "/", Workspace.str()));
}

} // namespace

share_limiter::share_limiter(asio::io_context &Control,
                             share_limiter_options Options,
                             platform_client Platform, peer_network &Peers,
                             const service_directory &Services,
                             const vm_directory &Vms)
    : Control(Control), Options(std::move(Options)),
      Platform(std::move(Platform)), Peers(Peers), Services(Services), Vms(Vms),
      Holder(this->Options.Self, boot_clock::now()),
      BatchesByLimit(std::make_shared<const batch_map>()),
      Homes(std::make_shared<const home_map>()) {}

void share_limiter::start(const std::atomic<bool> &Stop) {
  Peers.receive(peer_message_kind::Shares,
                [this](const peer_sender &Sender, std::string_view Payload) {
                  receive(Sender, Payload);
                });
  asio::co_spawn(Control, keepLoans(Stop), asio::detached);
  asio::co_spawn(Control, keepLedger(Stop), asio::detached);
}

awaitable<bool> share_limiter::admit(const service_name &Service,
                                     const workspace_name &Workspace) {
  const limit_name Limit = nameLimit(Service, Workspace);
  const bool IsTaken = BatchesByLimit.read([&](const batch_map &Map) {
    const auto Found = Map.find(Limit);
    return Found != Map.end() && Found->second->tryTake(boot_clock::now());
  });
  if (IsTaken)
    co_return true;
  co_return co_await asio::co_spawn(Control, admitOnControl(Limit),
                                    asio::use_awaitable);
}

void share_limiter::leave() {
  asio::post(Control, [this] { Holder.leave(boot_clock::now()); });
}

vm_name share_limiter::homeOf(const service_name &Service,
                              const workspace_name &Workspace) const {
  const limit_name Limit = nameLimit(Service, Workspace);
  return Homes.read([&](const home_map &Map) {
    const auto Found = Map.find(Limit);
    return Found == Map.end() ? vm_name() : Found->second;
  });
}

awaitable<void> share_limiter::keepLoans(const std::atomic<bool> &Stop) {
  asio::steady_timer Timer(Control);
  while (!Stop.load()) {
    syncLimits();
    updatePeers();
    const time_point Now = boot_clock::now();
    if (Holder.nextHeartbeat() <= Now)
      Holder.heartbeat(Now);
    flush();
    publishHomes();
    OwnedParts.store(Holder.owned());
    if (Now - AnnouncedAt >= share_timing{}.HeartbeatInterval)
      announceToPeers();
    Timer.expires_after(HeartbeatCheckInterval);
    co_await Timer.async_wait(asio::use_awaitable);
  }
}

awaitable<void> share_limiter::keepLedger(const std::atomic<bool> &Stop) {
  asio::steady_timer Timer(Control);
  while (!Stop.load()) {
    co_await updateLedger();
    Timer.expires_after(Options.LedgerInterval);
    co_await Timer.async_wait(asio::use_awaitable);
  }
}

awaitable<void> share_limiter::updateLedger() {
  const std::string Key =
      absl::StrCat(toAbsl(LedgerRowPrefix), Options.FailureDomain.str());
  const auto Row = co_await Platform.ReadRow(Key);
  const auto Listed = co_await Platform.ListVms();
  if (!Row.ok() || !Listed.ok())
    co_return;
  domain_ledger Ledger;
  Ledger.Free = Options.DomainParts;
  if (*Row) {
    const auto Decoded = decodeLedger((*Row)->Value);
    if (!Decoded) {
      Log.error(absl::StrCat("row ", Key, " holds no valid ledger"));
      co_return;
    }
    Ledger = *Decoded;
  }
  const table_revision Revision = *Row ? (*Row)->Version : AbsentRow;
  std::set<vm_name> Names;
  for (const auto &Vm : *Listed)
    Names.insert(Vm.Name);
  Holder.applyLedger(Ledger, Revision, boot_clock::now());
  const auto Wanted = Holder.proposeLedger(Ledger, Names, boot_clock::now());
  if (!Wanted)
    co_return;
  table_transaction Transaction;
  Transaction.OperationId =
      absl::StrCat("shares/", Options.Self.Name.str(), "/",
                   static_cast<std::uint64_t>(Options.Self.Incarnation), "/",
                   ++LastOperation);
  Transaction.Conditions.push_back({Key, Revision});
  Transaction.Writes.push_back({Key, encodeLedger(*Wanted)});
  // The result is ignored: after a conflict or a lost answer, the next call
  // reads the row again.
  co_await Platform.Commit(std::move(Transaction));
}

awaitable<bool> share_limiter::admitOnControl(limit_name Limit) {
  if (refillBatch(Limit))
    co_return true;
  const take_result Result = Holder.tryTake(Limit, 1, boot_clock::now());
  flush();
  if (Result == take_result::AskHome)
    co_return co_await askHome(Limit);
  co_return Result == take_result::Taken;
}

// Tries again after the home's reply or HomeReplyTimeout, whichever is first.
awaitable<bool> share_limiter::askHome(limit_name Limit) {
  const auto Timer =
      std::make_shared<asio::steady_timer>(Control, HomeReplyTimeout);
  Waiting[Limit].push_back(Timer);
  Holder.askHome(Limit, 1, 1, boot_clock::now());
  flush();
  boost::system::error_code Ignored;
  co_await Timer->async_wait(
      asio::redirect_error(asio::use_awaitable, Ignored));
  std::erase(Waiting[Limit], Timer);
  const take_result Result = Holder.tryTake(Limit, 1, boot_clock::now());
  flush();
  co_return Result == take_result::Taken;
}

// Batches grow while they are used up quickly, so that workers rarely need the
// control context for a busy limit. Otherwise a batch is one token, so that a
// quiet limit loses none when its batch expires.
bool share_limiter::refillBatch(const limit_name &Limit) {
  const auto Entry = Records.find(Limit);
  if (Entry == Records.end())
    return false;
  batch_record &Record = Entry->second;
  const time_point Now = boot_clock::now();
  if (Record.Remaining->tryTake(Now))
    return true;
  const bool IsBusy = Now - Record.FilledAt < MinBatchDuration;
  Record.NextBatch =
      IsBusy ? std::min(MaxBatchTokens, Record.NextBatch * 2) : 1;
  // Emptied first, since no token may be spent after endBatch().
  Record.Remaining->refill(0, Now);
  Holder.endBatch(Limit, Record.Batch, Now);
  const token_batch Batch = Holder.takeBatch(Limit, Record.NextBatch, 1, Now);
  if (Batch.Tokens < 1)
    return false;
  Record.Batch = Batch.Sequence;
  Record.FilledAt = Now;
  // The request that needed the batch spends its first token.
  Record.Remaining->refill(static_cast<std::uint64_t>(Batch.Tokens) - 1,
                           Batch.Deadline);
  return true;
}

void share_limiter::publishHomes() {
  auto Map = std::make_shared<home_map>();
  for (const auto &[Limit, Record] : Records)
    Map->emplace(Limit, Holder.homeOf(Limit));
  if (*Map != *Homes.snapshot())
    Homes.publish(std::move(Map));
}

void share_limiter::syncLimits() {
  bool IsNew = false;
  for (const auto &[Name, Service] : *Services.all())
    for (const auto &Workspace : Service->Document.Workspaces) {
      const limit_name Limit =
          nameLimit(Service->Document.Service, Workspace.Name);
      const limit_shape Shape{Workspace.RatePerSecond, Workspace.Burst};
      limit_shape &Known = Shapes[Limit];
      if (Known.RatePerSecond != Shape.RatePerSecond ||
          Known.Burst != Shape.Burst)
        Holder.setLimit(Limit, Shape, boot_clock::now());
      Known = Shape;
      if (Records.contains(Limit))
        continue;
      Records[Limit].Remaining = std::make_shared<atomic_token_batch>();
      IsNew = true;
    }
  if (!IsNew)
    return;
  auto Map = std::make_shared<batch_map>();
  for (const auto &[Limit, Record] : Records)
    Map->emplace(Limit, Record.Remaining);
  BatchesByLimit.publish(std::move(Map));
}

void share_limiter::updatePeers() {
  const time_point Now = boot_clock::now();
  std::erase_if(HeardAt, [Now](const auto &Vm) {
    return Now - Vm.second > SilenceLimit;
  });
  // A leaving VM is no longer chosen as a home, so that the parts lent to it
  // move to other homes while it still answers messages.
  std::set<vm_name> Leaving;
  for (const auto &Vm : *Vms.all())
    if (Vm.IsLeaving)
      Leaving.insert(Vm.Name);
  std::vector<vm_name> Reached;
  for (const auto &[Name, Time] : HeardAt)
    if (!Leaving.contains(Name))
      Reached.push_back(Name);
  Holder.setPeers(Reached, Now);
}

void share_limiter::receive(const peer_sender &Sender,
                            std::string_view Payload) {
  const auto Message = decodeShareMessage(Payload);
  if (!Message) {
    Log.warn(
        absl::StrCat("malformed message from ", Sender.Identity.Name.str()));
    return;
  }
  HeardAt[Sender.Identity.Name] = boot_clock::now();
  Holder.receive(Sender.Identity, *Message, boot_clock::now());
  flush();
  if (const auto *Reply = std::get_if<token_reply>(&*Message))
    wakeWaiting(Reply->Limit);
}

// Each waiting request has asked the home itself, so each reply wakes one.
void share_limiter::wakeWaiting(const limit_name &Limit) {
  const auto Entry = Waiting.find(Limit);
  if (Entry == Waiting.end() || Entry->second.empty())
    return;
  Entry->second.front()->cancel();
  Entry->second.erase(Entry->second.begin());
}

// A loan request without slots serves as a heartbeat.
void share_limiter::announceToPeers() {
  AnnouncedAt = boot_clock::now();
  for (const auto &Vm : *Vms.all())
    if (Vm.Name != Options.Self.Name)
      send(Vm.Name, loan_request{});
}

void share_limiter::send(const vm_name &To, const share_message &Message) {
  for (const auto &Vm : *Vms.all())
    if (Vm.Name == To)
      Peers.send(Vm.PeerAddress, peer_message_kind::Shares,
                 encodeShareMessage(Message));
}

void share_limiter::flush() {
  for (const auto &Out : Holder.takeOutbox())
    send(Out.To, Out.Message);
}

} // namespace sesamepaddle
