#include "rate_limiting/share_simulation.h"

#include <algorithm>
#include <utility>

namespace sesamepaddle {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t DomainCount = 2;
constexpr std::size_t VmsPerDomain = 2;
constexpr limit_shape HighLimit{20, 40};
constexpr limit_shape LowLimit{6, 10};
// How often a VM spends all the tokens that it gets.
constexpr milliseconds SpendInterval{150};
// Just below share_timing::GrantTime.
constexpr milliseconds RushDelay{280};
constexpr milliseconds ShortestHeartbeatInterval{100};
// How often the parts that all VMs hold are added up and checked.
constexpr milliseconds CheckInterval{250};
// Probability that a VM does not see a peer at a heartbeat, once a fault was
// injected.
constexpr double WrongViewChance = 0.03;
// Probability that a delay may last up to LongestLateness, once a fault was
// injected.
constexpr double LateChance = 0.05;
// How often a VM reads the ledger and the VM list from the platform.
constexpr milliseconds PollInterval{1'000};
// How long, at most, a started VM is missing from the VM list.
constexpr milliseconds LongestListLag{5'000};
constexpr milliseconds LongestLateness{4'000};
// Time without new faults before and after each script.
constexpr seconds QuietTime{8};
// Relative error of a clock's rate, within what share_timing::DriftDivisor
// covers.
constexpr double LargestDrift = 0.004;
// The clocks of the VMs are not synchronized.
constexpr seconds LargestOffset{10'000};

const limit_name TestLimit{"workspace"};

} // namespace

struct share_simulation::vm {
  std::size_t Index;
  std::size_t Domain;
  vm_name Name;
  double ClockRate = 1;
  duration ClockOffset{};
  std::uint64_t Process = 0; ///< 0: dead
  bool IsFrozen = false;
  time_point FrozenAt{};
  time_point ListedFrom{};
  time_point UnlistedFrom = time_point::max();
  limit_shape KnownLimit;
  std::unique_ptr<share_holder> Holder;
  std::vector<std::function<void()>> Backlog; ///< events while it is frozen
};

share_simulation::share_simulation(share_rules Rules, std::uint64_t Seed)
    : Rules(Rules), Random(Seed), Oracle(HighLimit), Rows(DomainCount),
      IsDomainCut(DomainCount, false), Limit(HighLimit) {
  for (auto &Row : Rows)
    Row.Ledger.Free = WholeParts / DomainCount;
  std::uniform_real_distribution<double> Drift(-LargestDrift, LargestDrift);
  std::uniform_int_distribution<int> Offset(0, LargestOffset.count());
  for (std::size_t Index = 0; Index < DomainCount * VmsPerDomain; ++Index) {
    auto Vm = std::make_unique<vm>();
    Vm->Index = Index;
    Vm->Domain = Index / VmsPerDomain;
    Vm->Name = vm_name("vm-" + std::to_string(Index));
    Vm->ClockRate = 1 + Drift(Random);
    Vm->ClockOffset = seconds(Offset(Random));
    Vms.push_back(std::move(Vm));
  }
  for (auto &Vm : Vms)
    start(*Vm);
}

share_simulation::~share_simulation() = default;

bool share_simulation::run(const std::vector<fault_step> &Script) {
  runFor(QuietTime);
  for (const auto &Step : Script) {
    apply(Step);
    runFor(Step.Pause);
    if (!Violation.empty())
      return false;
  }
  for (auto &Vm : Vms)
    thaw(*Vm);
  runFor(QuietTime);
  return Violation.empty();
}

void share_simulation::runFor(duration Time) {
  const time_point End = Queue.now() + Time;
  while (Queue.now() < End && Violation.empty()) {
    Queue.runUntil(std::min(End, Queue.now() + CheckInterval));
    checkConservation();
  }
}

// All VMs request the whole burst, then all spend it just before the grants
// expire.
void share_simulation::rush() {
  for (auto &Each : Vms)
    onProcess(*Each, Each->Process, [this, &Vm = *Each] {
      const token_batch Batch =
          Vm.Holder->takeBatch(TestLimit, Limit.Burst, 1, localTime(Vm));
      Vm.Holder->askHome(TestLimit, Limit.Burst, 1, localTime(Vm));
      flush(Vm);
      Queue.schedule(RushDelay, [this, &Vm, Batch, Process = Vm.Process] {
        onProcess(Vm, Process, [this, &Vm, Batch] {
          spendBatch(Vm, Batch);
          spend(Vm);
        });
      });
    });
}

void share_simulation::apply(const fault_step &Step) {
  vm &Vm = *Vms[Step.Vm % Vms.size()];
  IsNoisy |= Step.Kind != fault_kind::Wait;
  switch (Step.Kind) {
  case fault_kind::Kill:
    return kill(Vm);
  case fault_kind::Restart:
    kill(Vm);
    return start(Vm);
  case fault_kind::Freeze:
    if (Vm.Process != 0 && !std::exchange(Vm.IsFrozen, true))
      Vm.FrozenAt = Queue.now();
    return;
  case fault_kind::Thaw:
    return thaw(Vm);
  case fault_kind::CutDomain:
  case fault_kind::HealDomain:
    IsDomainCut[Vm.Domain] = Step.Kind == fault_kind::CutDomain;
    return;
  case fault_kind::PlatformDown:
  case fault_kind::PlatformUp:
    IsPlatformUp = Step.Kind == fault_kind::PlatformUp;
    return;
  case fault_kind::LoseAnswers:
  case fault_kind::KeepAnswers:
    LosesAnswers = Step.Kind == fault_kind::LoseAnswers;
    return;
  case fault_kind::LowerLimit:
    return changeLimit(LowLimit);
  case fault_kind::RaiseLimit:
    return changeLimit(HighLimit);
  case fault_kind::LossyNetwork:
  case fault_kind::GoodNetwork:
    Loss = Step.Kind == fault_kind::LossyNetwork ? 0.3 : 0;
    return;
  case fault_kind::Rest:
  case fault_kind::Resume:
    IsResting = Step.Kind == fault_kind::Rest;
    return;
  case fault_kind::Rush:
    return rush();
  case fault_kind::Wait:
    return;
  }
}

void share_simulation::start(vm &Vm) {
  Vm.Process = ++LastProcess;
  Vm.IsFrozen = false;
  Vm.Backlog.clear();
  Vm.KnownLimit = Limit;
  Vm.ListedFrom = Queue.now() + std::uniform_int_distribution<int>(
                                    0, LongestListLag.count())(Random) *
                                    milliseconds(1);
  if (Vm.UnlistedFrom <= Queue.now())
    Vm.UnlistedFrom = time_point::max();
  Vm.Holder = std::make_unique<share_holder>(
      vm_identity{Vm.Name, incarnation{Vm.Process}}, localTime(Vm),
      share_timing{}, Rules);
  Vm.Holder->setLimit(TestLimit, Limit, localTime(Vm));
  scheduleHeartbeat(Vm, Vm.Process);
  scheduleSpend(Vm, Vm.Process);
  schedulePoll(Vm, Vm.Process);
}

void share_simulation::kill(vm &Vm) {
  if (Vm.Process == 0)
    return;
  Vm.Process = 0;
  OldLimits.emplace_back(Queue.now(), Vm.KnownLimit);
  Vm.Holder.reset();
  Vm.UnlistedFrom = Queue.now() + randomDelay();
}

// A process that resumes spends tokens before any of its timers runs.
void share_simulation::thaw(vm &Vm) {
  if (Vm.Process == 0 || !std::exchange(Vm.IsFrozen, false))
    return;
  if (Queue.now() - Vm.FrozenAt > share_timing{}.PauseLimit)
    Vm.ListedFrom = Queue.now() + LongestListLag;
  spend(Vm);
  for (auto &Event : std::exchange(Vm.Backlog, {}))
    Event();
}

void share_simulation::changeLimit(limit_shape Shape) {
  Limit = Shape;
  Oracle.reshape(strongestLimit(), Queue.now());
  for (auto &Vm : Vms)
    Queue.schedule(randomDelay(), [this, &Vm = *Vm] {
      onProcess(Vm, Vm.Process, [this, &Vm] { adoptLimit(Vm); });
    });
}

void share_simulation::adoptLimit(vm &Vm) {
  OldLimits.emplace_back(Queue.now(), Vm.KnownLimit);
  Vm.KnownLimit = Limit;
  Vm.Holder->setLimit(TestLimit, Limit, localTime(Vm));
}

// Tokens granted under an old limit may be spent until the grants expire.
limit_shape share_simulation::strongestLimit() {
  const share_timing Timing;
  limit_shape Strongest = Limit;
  std::erase_if(OldLimits, [&](const auto &Old) {
    return Queue.now() - Old.first > 2 * Timing.GrantTime;
  });
  const auto Include = [&](limit_shape Shape) {
    if (Shape.Burst > Strongest.Burst)
      Strongest = Shape;
  };
  for (const auto &Old : OldLimits)
    Include(Old.second);
  for (const auto &Vm : Vms)
    if (Vm->Process != 0)
      Include(Vm->KnownLimit);
  return Strongest;
}

time_point share_simulation::localTime(const vm &Vm) const {
  const auto Elapsed = Queue.now().time_since_epoch();
  return time_point(Vm.ClockOffset +
                    duration(static_cast<duration::rep>(
                        static_cast<double>(Elapsed.count()) * Vm.ClockRate)));
}

duration share_simulation::randomDelay() {
  const auto Longest =
      IsNoisy && chance(LateChance) ? LongestLateness : milliseconds(30);
  return milliseconds(std::uniform_int_distribution<int>(
      1, static_cast<int>(Longest.count()))(Random));
}

bool share_simulation::chance(double Probability) {
  return std::bernoulli_distribution(Probability)(Random);
}

bool share_simulation::isCut(std::size_t First, std::size_t Second) const {
  return First != Second && (IsDomainCut[First] || IsDomainCut[Second]);
}

void share_simulation::onProcess(vm &Vm, std::uint64_t Process,
                                 std::function<void()> Event) {
  if (Vm.Process == 0 || Vm.Process != Process)
    return;
  if (Vm.IsFrozen)
    Vm.Backlog.push_back([this, &Vm, Process, Event = std::move(Event)] {
      onProcess(Vm, Process, Event);
    });
  else
    Event();
}

void share_simulation::scheduleHeartbeat(vm &Vm, std::uint64_t Process) {
  onProcess(Vm, Process, [this, &Vm, Process] {
    updatePeers(Vm);
    Vm.Holder->heartbeat(localTime(Vm));
    flush(Vm);
    const duration Wait = std::max<duration>(
        Vm.Holder->nextHeartbeat() - localTime(Vm), ShortestHeartbeatInterval);
    Queue.schedule(Wait,
                   [this, &Vm, Process] { scheduleHeartbeat(Vm, Process); });
  });
}

void share_simulation::scheduleSpend(vm &Vm, std::uint64_t Process) {
  onProcess(Vm, Process, [this, &Vm, Process] {
    if (!IsResting)
      spend(Vm);
    Queue.schedule(SpendInterval,
                   [this, &Vm, Process] { scheduleSpend(Vm, Process); });
  });
}

void share_simulation::schedulePoll(vm &Vm, std::uint64_t Process) {
  onProcess(Vm, Process, [this, &Vm, Process] {
    pollPlatform(Vm);
    Queue.schedule(PollInterval,
                   [this, &Vm, Process] { schedulePoll(Vm, Process); });
  });
}

// A VM sometimes misses a peer, so that a slot can have two homes or none.
void share_simulation::updatePeers(vm &Vm) {
  std::vector<vm_name> Reached;
  for (const auto &Other : Vms)
    if (Other->Process != 0 && !Other->IsFrozen &&
        !isCut(Vm.Domain, Other->Domain) &&
        !(IsNoisy && chance(WrongViewChance)))
      Reached.push_back(Other->Name);
  Vm.Holder->setPeers(Reached, localTime(Vm));
}

void share_simulation::spendBatch(vm &Vm, const token_batch &Batch) {
  if (localTime(Vm) >= Batch.Deadline)
    return;
  Oracle.reshape(strongestLimit(), Queue.now());
  Taken += Batch.Tokens;
  if (!Oracle.take(Batch.Tokens, Queue.now()))
    report(Vm.Name.str() + " spent a batch beyond the limit");
  if (chance(0.5))
    Vm.Holder->endBatch(TestLimit, Batch.Sequence, localTime(Vm));
}

void share_simulation::spend(vm &Vm) {
  Oracle.reshape(strongestLimit(), Queue.now());
  constexpr double Tokens = 1;
  take_result Result = take_result::Taken;
  while (Result == take_result::Taken && Violation.empty()) {
    Result = Vm.Holder->tryTake(TestLimit, Tokens, localTime(Vm));
    if (Result != take_result::Taken)
      break;
    Taken += Tokens;
    if (!Oracle.take(Tokens, Queue.now()))
      report(Vm.Name.str() + " spent more than the limit");
  }
  if (Result == take_result::AskHome)
    Vm.Holder->askHome(TestLimit, 5, Tokens, localTime(Vm));
  flush(Vm);
}

void share_simulation::flush(vm &Vm) {
  const vm_identity Sender{Vm.Name, incarnation{Vm.Process}};
  for (auto &Out : Vm.Holder->takeOutbox())
    for (const auto &Other : Vms)
      if (Other->Name == Out.To)
        deliver(Vm.Index, Other->Index, Sender, Out.Message);
}

// A late message reaches the process that has the name at that time, which may
// be a successor of the addressee.
void share_simulation::deliver(std::size_t From, std::size_t To,
                               const vm_identity &Sender,
                               const share_message &Message) {
  const int Copies = Loss > 0 && chance(Loss) ? 2 : 1;
  for (int Copy = 0; Copy < Copies; ++Copy) {
    if (isCut(Vms[From]->Domain, Vms[To]->Domain) || chance(Loss))
      continue;
    Queue.schedule(randomDelay(), [this, To, Sender, Message] {
      vm &Vm = *Vms[To];
      onProcess(Vm, Vm.Process, [this, &Vm, Sender, Message] {
        Vm.Holder->receive(Sender, Message, localTime(Vm));
        flush(Vm);
      });
    });
  }
}

void share_simulation::pollPlatform(vm &Vm) {
  if (!IsPlatformUp || IsDomainCut[Vm.Domain])
    return;
  Queue.schedule(randomDelay(), [this, &Vm, Process = Vm.Process] {
    const ledger_row Row = Rows[Vm.Domain];
    const std::set<vm_name> Listed = listVms();
    Queue.schedule(randomDelay(), [this, &Vm, Process, Row, Listed] {
      onProcess(Vm, Process,
                [this, &Vm, Row, Listed] { answerPoll(Vm, Row, Listed); });
    });
  });
}

void share_simulation::answerPoll(vm &Vm, const ledger_row &Row,
                                  const std::set<vm_name> &Listed) {
  Vm.Holder->applyLedger(Row.Ledger, Row.Revision, localTime(Vm));
  const auto Wanted =
      Vm.Holder->proposeLedger(Row.Ledger, Listed, localTime(Vm));
  if (!Wanted || !IsPlatformUp || IsDomainCut[Vm.Domain])
    return;
  Queue.schedule(randomDelay(), [this, Domain = Vm.Domain, Row, Wanted, &Vm,
                                 Process = Vm.Process] {
    commit(Domain, Row.Revision, *Wanted);
    if (LosesAnswers)
      return;
    Queue.schedule(randomDelay(), [this, &Vm, Process] {
      onProcess(Vm, Process, [this, &Vm] { pollPlatform(Vm); });
    });
  });
}

void share_simulation::commit(std::size_t Domain, std::uint64_t Revision,
                              const domain_ledger &Wanted) {
  ledger_row &Row = Rows[Domain];
  if (Row.Revision != Revision)
    return;
  if (Wanted.total() != Row.Ledger.total())
    report("the ledger's parts do not add up");
  Row.Ledger = Wanted;
  ++Row.Revision;
}

// The list drops a VM that died or that was frozen for longer than the pause
// limit.
std::set<vm_name> share_simulation::listVms() const {
  std::set<vm_name> Listed;
  const duration Silent =
      share_timing{}.withClockDrift(share_timing{}.PauseLimit);
  for (const auto &Vm : Vms) {
    const bool IsSilent = Vm->IsFrozen && Queue.now() - Vm->FrozenAt > Silent;
    const bool IsAlive = Vm->Process != 0 && Queue.now() >= Vm->ListedFrom;
    const bool IsStillListed =
        Vm->Process == 0 && Queue.now() < Vm->UnlistedFrom;
    if ((IsAlive && !IsSilent) || IsStillListed)
      Listed.insert(Vm->Name);
  }
  return Listed;
}

void share_simulation::checkConservation() {
  Oracle.reshape(strongestLimit(), Queue.now());
  std::uint64_t Sum = 0;
  for (const auto &Vm : Vms) {
    if (Vm->Process == 0 || Vm->IsFrozen)
      continue;
    // Takes no tokens, but updates the parts that the VM may use.
    Vm->Holder->tryTake(TestLimit, 0, localTime(*Vm));
    Sum += Vm->Holder->held(TestLimit, localTime(*Vm));
  }
  if (Sum > WholeParts)
    report("more parts are held than there are: " + std::to_string(Sum));
}

void share_simulation::report(std::string Text) {
  if (Violation.empty())
    Violation = std::move(Text) + " at " +
                std::to_string(std::chrono::duration<double>(
                                   Queue.now().time_since_epoch())
                                   .count()) +
                " s";
}

} // namespace sesamepaddle
