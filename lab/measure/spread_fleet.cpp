#include "measure/spread_fleet.h"

#include <algorithm>
#include <chrono>

namespace sesamepaddle {

namespace {

using std::chrono::milliseconds;
using steady = std::chrono::steady_clock;

// One-way delays of messages.
constexpr std::chrono::microseconds DelayInRegion{1'400};
constexpr std::chrono::microseconds DelayBetweenRegions{12'000};
constexpr std::size_t DomainsPerRegion = 3;
constexpr std::size_t PollersPerDomain = 2; // VMs that read from the platform
constexpr milliseconds TickInterval{100};   // of both protocols' timers
constexpr milliseconds PollInterval{1'000}; // of the pollers
constexpr milliseconds PeerRefresh{10'000}; // see tick()

std::string toAddress(std::size_t Vm) {
  return "10.0." + std::to_string(Vm / 250) + "." + std::to_string(Vm % 250) +
         ":7000";
}

} // namespace

spread_fleet::spread_fleet(std::size_t Domains, std::size_t VmCount,
                           std::uint64_t Seed)
    : Vms(VmCount), Random(Seed), DomainCount(Domains) {
  for (std::size_t Index = 0; Index < VmCount; ++Index)
    makeVm(Index);
  std::vector<listed_member> List;
  for (const auto &Vm : Vms)
    List.push_back({Vm.Address, false});
  for (auto &Vm : Vms)
    Vm.Members->setList(List);
}

void spread_fleet::makeVm(std::size_t Index) {
  vm &Vm = Vms[Index];
  Vm.Domain = Index % DomainCount;
  const std::string Domain = "domain-" + std::to_string(Vm.Domain);
  Vm.Address = {
      vm_name("vm-" + std::to_string(Index)),
      region_name("region-" + std::to_string(Vm.Domain / DomainsPerRegion)),
      failure_domain_name(Domain), toAddress(Index) + "1", toAddress(Index)};
  VmByAddress[Vm.Address.PeerAddress] = Index;
  Vm.IsPoller = Index / DomainCount < PollersPerDomain;
  const auto Offset = [this](milliseconds Interval) {
    return milliseconds(static_cast<long>(
        Random() % static_cast<std::uint64_t>(Interval.count())));
  };
  Vm.NextTick = Now + Offset(TickInterval);
  Vm.NextPoll = Now + Offset(PollInterval);
  Vm.Members = std::make_unique<membership_protocol>(
      Vm.Address, incarnation{Random()}, membership_options(), Random(),
      [this, Index](const std::string &Address, std::string Payload) {
        send(Index, Address, false, std::move(Payload));
      });
  replication_hooks Hooks;
  Hooks.Apply = [this, Index](const document_envelope &Envelope) {
    Vms[Index].Number = Envelope.Number;
    Vms[Index].ReceivedAt = Now;
    Vms[Index].Hops = ReceivedHops + 1;
    return absl::OkStatus();
  };
  Hooks.Send = [this, Index](const std::string &Address, std::string Payload) {
    send(Index, Address, true, std::move(Payload));
  };
  Vm.Spread = std::make_unique<document_replicator>(Vm.Address.PeerAddress,
                                                    replication_options(),
                                                    std::move(Hooks), Random());
}

void spread_fleet::advance(milliseconds Time) {
  constexpr milliseconds Step{1}; // resolution of the simulated clock
  const time_point End = Now + Time;
  while (Now < End) {
    Now += Step;
    while (!InFlight.empty() && InFlight.begin()->first <= Now) {
      const message Message = std::move(InFlight.begin()->second);
      InFlight.erase(InFlight.begin());
      deliver(Message);
    }
    for (std::size_t Index = 0; Index < Vms.size(); ++Index)
      tick(Index);
  }
}

void spread_fleet::commit(std::size_t TextBytes) {
  document_envelope Envelope;
  Envelope.Service = service_name("pedidos");
  Envelope.Number = ++Committed;
  Envelope.Text = std::string(TextBytes, 'x');
  CommittedRow = Envelope.serialize();
  CommitTime = Now;
}

duration spread_fleet::spreadTime() const {
  duration Longest{};
  for (const auto &Vm : Vms) {
    if (Vm.Number != Committed)
      return duration(-1);
    Longest = std::max(Longest, Vm.ReceivedAt - CommitTime);
  }
  return Longest;
}

unsigned spread_fleet::longestChain() const {
  return std::ranges::max_element(Vms, {}, &vm::Hops)->Hops;
}

std::size_t spread_fleet::completeViews() const {
  return static_cast<std::size_t>(std::ranges::count_if(Vms, [&](const vm &Vm) {
    const auto View = Vm.Members->view(Now);
    return View.size() == Vms.size() &&
           std::ranges::all_of(View, [](const member &Member) {
             return Member.State == member_state::Live;
           });
  }));
}

void spread_fleet::resetCounts() {
  Membership = {};
  Documents = {};
  for (auto &Vm : Vms)
    Vm.MembershipBytes = Vm.DocumentBytes = 0;
}

void spread_fleet::send(std::size_t From, const std::string &Address,
                        bool IsDocuments, std::string Payload) {
  const std::size_t To = VmByAddress.at(Address);
  fleet_counts &Counts = IsDocuments ? Documents : Membership;
  std::uint64_t &Sent =
      IsDocuments ? Vms[From].DocumentBytes : Vms[From].MembershipBytes;
  ++Counts.Messages;
  Counts.Bytes += Payload.size();
  Sent += Payload.size();
  Counts.Largest = std::max(Counts.Largest, Sent);
  const bool IsInRegion = Vms[From].Address.Region == Vms[To].Address.Region;
  InFlight.emplace(Now + (IsInRegion ? DelayInRegion : DelayBetweenRegions),
                   message{From, To, IsDocuments, std::move(Payload)});
}

void spread_fleet::deliver(const message &Message) {
  vm &Vm = Vms[Message.To];
  const auto Start = steady::now();
  if (Message.IsDocuments) {
    ReceivedHops = Vms[Message.From].Hops;
    (void)Vm.Spread->receive(Message.Payload, Now);
    Documents.Processing += steady::now() - Start;
  } else {
    (void)Vm.Members->receive(Message.Payload, Now);
    Membership.Processing += steady::now() - Start;
  }
}

void spread_fleet::tick(std::size_t Index) {
  vm &Vm = Vms[Index];
  if (Now < Vm.NextTick)
    return;
  Vm.NextTick += TickInterval;
  auto Start = steady::now();
  Vm.Members->tick(Now);
  Membership.Processing += steady::now() - Start;
  // An entry VM updates its peers at each tick. The cost of that is not
  // measured here, and every 10 s is enough for a fleet whose VMs do not
  // change.
  const bool IsRefreshed = Now.time_since_epoch() % PeerRefresh < TickInterval;
  if (IsRefreshed)
    Vm.Spread->setPeers(peersOf(Index));
  Start = steady::now();
  Vm.Spread->tick(Now);
  Documents.Processing += steady::now() - Start;
  if (Vm.IsPoller && Now >= Vm.NextPoll)
    poll(Index);
}

void spread_fleet::poll(std::size_t Index) {
  vm &Vm = Vms[Index];
  Vm.NextPoll += PollInterval;
  std::vector<std::string> Rows;
  if (Committed > Vm.Spread->listAfter())
    Rows.push_back(CommittedRow);
  ReceivedHops = 0;
  Vm.Spread->takeListing(Rows, Committed, Now, Now);
}

replication_peers spread_fleet::peersOf(std::size_t Index) const {
  const vm &Vm = Vms[Index];
  replication_peers Peers;
  for (const auto &Member : Vm.Members->view(Now)) {
    const auto &Address = Member.Address;
    if (Member.State != member_state::Live || Address.Name == Vm.Address.Name)
      continue;
    if (Address.FailureDomain == Vm.Address.FailureDomain)
      Peers.OwnDomain.push_back(Address.PeerAddress);
    else
      Peers.OtherDomains[Address.FailureDomain].push_back(Address.PeerAddress);
  }
  Peers.AreAllDomainsHeard = true;
  return Peers;
}

} // namespace sesamepaddle
