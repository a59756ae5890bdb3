#include "sim/share_cluster.h"

#include <algorithm>
#include <string>
#include <utility>

namespace sesamepaddle {

namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;

// One-way network delays.
constexpr microseconds DelayInDomain{200};
constexpr microseconds DelayInRegion{1'400};
constexpr microseconds DelayAcrossRegions{12'000};

// Interval at which a VM checks whether its next heartbeat is due.
constexpr milliseconds HeartbeatCheckInterval{20};

// Interval at which a VM reads its domain's ledger from the platform.
constexpr milliseconds PollInterval{1'000};

// Time until the others notice that a VM has died, by closed connections or
// missing heartbeats.
constexpr milliseconds DetectionTime{250};

// A request that waits for tokens this long is refused.
constexpr milliseconds TokenTimeout{100};

} // namespace

/** A request that waits for tokens from the limit's home VM. */
struct share_cluster::pending_request {
  time_point Since;
  answer Answer;
};

/** A simulated VM; Holder is null while it is dead. */
struct share_cluster::vm {
  std::size_t Index;
  vm_name Name;
  /** Incarnation of the running process; 0: dead. Scheduled events compare it
      to end when the VM was killed or restarted. */
  std::uint64_t Process = 0;
  time_point DiedAt{};
  std::unique_ptr<share_holder> Holder;
  std::map<limit_name, std::deque<pending_request>> Waiting;
};

share_cluster::share_cluster(event_queue &Queue, cluster_layout Layout,
                             share_timing Timing)
    : Queue(Queue), Layout(Layout), Timing(Timing), Rows(Layout.Domains),
      IsDomainPartitioned(Layout.Domains, false) {
  // Each domain starts with parts in proportion to its number of VMs.
  for (std::size_t Index = 0; Index < Layout.Vms; ++Index) {
    auto Vm = std::make_unique<vm>();
    Vm->Index = Index;
    Vm->Name = vm_name("vm-" + std::to_string(Index));
    Vms.push_back(std::move(Vm));
    Rows[Layout.domainOf(Index)].Ledger.Free +=
        WholeParts / static_cast<share_parts>(Layout.Vms);
  }
  for (std::size_t Index = 0; Index < Layout.Vms; ++Index)
    start(Index);
}

share_cluster::~share_cluster() = default;

void share_cluster::addLimit(const limit_name &Limit, limit_shape Shape) {
  Limits[Limit] = Shape;
  for (auto &Vm : Vms)
    if (Vm->Holder)
      Vm->Holder->setLimit(Limit, Shape, Queue.now());
}

void share_cluster::kill(std::size_t Index) {
  vm &Vm = *Vms[Index];
  Vm.Process = 0;
  Vm.DiedAt = Queue.now();
  Vm.Holder.reset();
  // Callers of these requests see a closed connection, which doesn't count as a
  // refusal by the limit.
  Vm.Waiting.clear();
}

void share_cluster::start(std::size_t Index) {
  vm &Vm = *Vms[Index];
  Vm.Process = ++LastProcess;
  Vm.Holder = std::make_unique<share_holder>(
      vm_identity{Vm.Name, incarnation{Vm.Process}}, Queue.now(), Timing);
  for (const auto &[Limit, Shape] : Limits)
    Vm.Holder->setLimit(Limit, Shape, Queue.now());
  checkHeartbeat(Vm, Vm.Process);
  poll(Vm, Vm.Process);
}

void share_cluster::setPartitioned(std::size_t Domain, bool IsPartitioned) {
  IsDomainPartitioned[Domain] = IsPartitioned;
}

void share_cluster::request(std::size_t Index, const limit_name &Limit,
                            answer Answer) {
  vm &Vm = *Vms[Index];
  const take_result Result = Vm.Holder->tryTake(Limit, 1, Queue.now());
  flush(Vm);
  if (Result == take_result::AskHome) {
    auto &Waiting = Vm.Waiting[Limit];
    Waiting.push_back({Queue.now(), std::move(Answer)});
    if (Waiting.size() == 1)
      requestTokens(Vm, Limit);
    Queue.schedule(TokenTimeout,
                   [this, &Vm, Limit] { refuseTimedOut(Vm, Limit); });
    return;
  }
  Answer(Result == take_result::Taken, token_source::Local);
}

bool share_cluster::isAlive(std::size_t Vm) const {
  return Vms[Vm]->Process != 0;
}

bool share_cluster::isReachable(std::size_t From, std::size_t To) const {
  const std::size_t First = Layout.domainOf(From);
  const std::size_t Second = Layout.domainOf(To);
  return First == Second ||
         (!IsDomainPartitioned[First] && !IsDomainPartitioned[Second]);
}

std::size_t share_cluster::homeOf(const limit_name &Limit,
                                  std::size_t Vm) const {
  const vm_name &Home = Vms[Vm]->Holder->homeOf(Limit);
  for (const auto &Other : Vms)
    if (Other->Name == Home)
      return Other->Index;
  return Vm;
}

void share_cluster::checkHeartbeat(vm &Vm, std::uint64_t Process) {
  if (Vm.Process != Process)
    return;
  updatePeers(Vm);
  if (Vm.Holder->nextHeartbeat() <= Queue.now())
    Vm.Holder->heartbeat(Queue.now());
  flush(Vm);
  Queue.schedule(HeartbeatCheckInterval,
                 [this, &Vm, Process] { checkHeartbeat(Vm, Process); });
}

// Reads the domain's ledger and writes the holder's proposal at once. Late,
// lost and conflicting writes are left to the fuzz test.
void share_cluster::poll(vm &Vm, std::uint64_t Process) {
  if (Vm.Process != Process)
    return;
  Queue.schedule(PollInterval, [this, &Vm, Process] { poll(Vm, Process); });
  const std::size_t Domain = Layout.domainOf(Vm.Index);
  if (IsDomainPartitioned[Domain])
    return;
  ledger_row &Row = Rows[Domain];
  ++Counts.PlatformReads;
  Vm.Holder->applyLedger(Row.Ledger, Row.Revision, Queue.now());
  std::set<vm_name> Listed;
  for (const auto &Other : Vms)
    if (Other->Process != 0)
      Listed.insert(Other->Name);
  const auto Wanted = Vm.Holder->proposeLedger(Row.Ledger, Listed, Queue.now());
  if (!Wanted)
    return;
  ++Counts.PlatformWrites;
  Row.Ledger = *Wanted;
  ++Row.Revision;
  Vm.Holder->applyLedger(Row.Ledger, Row.Revision, Queue.now());
}

void share_cluster::updatePeers(vm &Vm) {
  std::vector<vm_name> Reached;
  for (const auto &Other : Vms) {
    const bool IsSeen =
        Other->Process != 0 || Queue.now() - Other->DiedAt < DetectionTime;
    if (IsSeen && isReachable(Vm.Index, Other->Index))
      Reached.push_back(Other->Name);
  }
  Vm.Holder->setPeers(Reached, Queue.now());
}

void share_cluster::flush(vm &Vm) {
  for (auto &Out : Vm.Holder->takeOutbox())
    for (const auto &Other : Vms)
      if (Other->Name == Out.To)
        deliver(Vm, *Other, Out.Message);
}

void share_cluster::deliver(vm &From, vm &To, const share_message &Message) {
  ++Counts.Messages;
  if (!isReachable(From.Index, To.Index))
    return;
  const vm_identity Sender{From.Name, incarnation{From.Process}};
  Queue.schedule(delay(From, To), [this, &To, Sender, Message] {
    if (To.Process == 0)
      return;
    To.Holder->receive(Sender, Message, Queue.now());
    if (const auto *Reply = std::get_if<token_reply>(&Message))
      servePending(To, *Reply);
    if (To.Process != 0)
      flush(To);
  });
}

void share_cluster::requestTokens(vm &Vm, const limit_name &Limit) {
  const auto Count = static_cast<double>(Vm.Waiting[Limit].size());
  Vm.Holder->askHome(Limit, Count, 1, Queue.now());
  flush(Vm);
}

// Requests that arrived after the last token request are covered by the next.
void share_cluster::servePending(vm &Vm, const token_reply &Reply) {
  auto &Waiting = Vm.Waiting[Reply.Limit];
  const std::size_t Home = homeOf(Reply.Limit, Vm.Index);
  const token_source Source = Layout.regionOf(Home) == Layout.regionOf(Vm.Index)
                                  ? token_source::InRegion
                                  : token_source::AcrossRegions;
  while (!Waiting.empty() && Vm.Holder->tryTake(Reply.Limit, 1, Queue.now()) ==
                                 take_result::Taken) {
    Waiting.front().Answer(true, Source);
    Waiting.pop_front();
  }
  if (Reply.Tokens > 0 && !Waiting.empty()) {
    requestTokens(Vm, Reply.Limit);
    return;
  }
  for (const auto &Request : std::exchange(Waiting, {}))
    Request.Answer(false, Source);
}

void share_cluster::refuseTimedOut(vm &Vm, const limit_name &Limit) {
  auto &Waiting = Vm.Waiting[Limit];
  while (!Waiting.empty() &&
         Waiting.front().Since + TokenTimeout <= Queue.now()) {
    Waiting.front().Answer(false, token_source::InRegion);
    Waiting.pop_front();
  }
}

duration share_cluster::delay(const vm &From, const vm &To) const {
  if (Layout.domainOf(From.Index) == Layout.domainOf(To.Index))
    return DelayInDomain;
  return Layout.regionOf(From.Index) == Layout.regionOf(To.Index)
             ? DelayInRegion
             : DelayAcrossRegions;
}

} // namespace sesamepaddle
