#include "documents/replication_simulation.h"

#include <algorithm>
#include <cstdlib>
#include <stdexcept>

namespace sesamepaddle {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds Step{100};
constexpr milliseconds PollInterval{1'000};
constexpr milliseconds LongestDelay{400};
// Longer than the freshness timeout: some repeated messages arrive after it.
constexpr milliseconds LongestRepeatDelay{40'000};
constexpr milliseconds StaleReadAge{5'000};
constexpr unsigned RepeatPercent = 5;
constexpr std::size_t PollersPerDomain = 2;

// A fresh VM may lack documents that were stored within this time: the
// freshness timeout and one step of the test's clock.
constexpr milliseconds FreshBound =
    replication_options().FreshnessTimeout + Step;

service_name serviceName(std::size_t Service) {
  return service_name("service-" + std::to_string(Service));
}

std::size_t toIndex(const std::string &Address) {
  if (Address.size() < 2)
    throw std::logic_error("a message without an address");
  return std::strtoul(Address.c_str() + 1, nullptr, 10);
}

// Padded with zeros, so that addresses sort like their numbers.
std::string toAddress(std::size_t Vm) {
  return "p" + std::to_string(1'000 + Vm).substr(1);
}

} // namespace

replication_simulation::replication_simulation(std::size_t Domains,
                                               std::size_t VmsPerDomain,
                                               std::uint64_t Seed)
    : Vms(Domains * VmsPerDomain), Random(Seed) {
  for (std::size_t Vm = 0; Vm < Vms.size(); ++Vm) {
    Vms[Vm].Domain = Vm / VmsPerDomain;
    Vms[Vm].IsPoller = Vm % VmsPerDomain < PollersPerDomain;
    restart(Vm);
  }
}

void replication_simulation::restart(std::size_t Vm) {
  Vms[Vm].InForce.clear();
  Vms[Vm].Inbox.clear();
  Vms[Vm].IsFrozen = false;
  Vms[Vm].HadStaleRead = false;
  replication_hooks Hooks;
  Hooks.Apply = [this, Vm](const document_envelope &Envelope) {
    return apply(Vm, Envelope);
  };
  Hooks.Send = [this, Vm](const std::string &Address, std::string Payload) {
    send(Vm, Address, std::move(Payload));
  };
  Vms[Vm].Replicator = std::make_unique<document_replicator>(
      toAddress(Vm), replication_options(), std::move(Hooks), Random());
}

void replication_simulation::thaw(std::size_t Vm) {
  Vms[Vm].IsFrozen = false;
  for (const auto &Payload : std::exchange(Vms[Vm].Inbox, {}))
    (void)Vms[Vm].Replicator->receive(Payload, Now);
}

void replication_simulation::cut(std::size_t First, std::size_t Second) {
  Cuts.insert(std::minmax(First, Second));
}

void replication_simulation::cutDomain(std::size_t Domain) {
  for (std::size_t First = 0; First < Vms.size(); ++First) {
    if (Vms[First].Domain == Domain)
      cutFromPlatform(First);
    for (std::size_t Second = 0; Second < First; ++Second)
      if ((Vms[First].Domain == Domain) != (Vms[Second].Domain == Domain))
        cut(First, Second);
  }
}

void replication_simulation::healAll() {
  Cuts.clear();
  LossPercent = 0;
  ReadsAreStale = false;
  for (std::size_t Vm = 0; Vm < Vms.size(); ++Vm) {
    Vms[Vm].ReachesPlatform = true;
    if (Vms[Vm].IsFrozen)
      thaw(Vm);
  }
}

void replication_simulation::commit(std::size_t Service) {
  document_envelope Envelope;
  Envelope.Service = serviceName(Service);
  Envelope.Number = 1;
  for (const auto &Row : Rows)
    if (Row.Envelope.Service == Envelope.Service)
      Envelope.Number = Row.Envelope.Number + 1;
  Rows.push_back({Rows.size() + 1, Now, std::move(Envelope)});
}

std::optional<std::string> replication_simulation::advance(milliseconds Time) {
  for (milliseconds Passed{0}; Passed < Time; Passed += Step) {
    Now += Step;
    deliver();
    for (std::size_t Vm = 0; Vm < Vms.size(); ++Vm) {
      if (Vms[Vm].IsFrozen)
        continue;
      setPeers(Vm);
      if (Vms[Vm].IsPoller && Now.time_since_epoch() % PollInterval == Step)
        poll(Vm);
      Vms[Vm].Replicator->tick(Now);
    }
    if (auto Wrong = check())
      return Wrong;
  }
  return std::nullopt;
}

std::optional<std::string> replication_simulation::findOutdatedVm() const {
  for (const auto &Row : Rows)
    for (std::size_t Vm = 0; Vm < Vms.size(); ++Vm)
      if (Vms[Vm].Replicator->numberOf(Row.Envelope.Service) <
          Row.Envelope.Number)
        return "VM " + std::to_string(Vm) + " lacks a document";
  return std::nullopt;
}

document_number replication_simulation::numberOn(std::size_t Vm,
                                                 std::size_t Service) const {
  return Vms[Vm].Replicator->numberOf(serviceName(Service));
}

absl::Status replication_simulation::apply(std::size_t Vm,
                                           const document_envelope &Envelope) {
  document_number &Present = Vms[Vm].InForce[Envelope.Service];
  if (Envelope.Number <= Present)
    Fault = "a VM applied a document that is not newer";
  const bool IsSigned = std::ranges::any_of(Rows, [&](const auto &Row) {
    return Row.Envelope.Service == Envelope.Service &&
           Row.Envelope.Number == Envelope.Number;
  });
  if (!IsSigned)
    Fault = "a VM applied a document that was never stored";
  Present = Envelope.Number;
  return absl::OkStatus();
}

void replication_simulation::send(std::size_t From, const std::string &Address,
                                  std::string Payload) {
  const std::size_t To = toIndex(Address);
  if (Random() % 100 < LossPercent)
    return;
  const auto UpTo = [this](milliseconds Longest) {
    return milliseconds(
        1 + static_cast<long>(Random() %
                              static_cast<std::uint64_t>(Longest.count())));
  };
  if (Random() % 100 < RepeatPercent)
    InFlight.emplace(Now + UpTo(LongestRepeatDelay),
                     message{From, To, Payload});
  InFlight.emplace(Now + UpTo(LongestDelay),
                   message{From, To, std::move(Payload)});
}

void replication_simulation::setPeers(std::size_t Vm) {
  replication_peers Peers;
  Peers.AreAllDomainsHeard = true;
  std::set<std::size_t> Heard;
  for (std::size_t Other = 0; Other < Vms.size(); ++Other) {
    if (Other == Vm || isCut(Vm, Other))
      continue;
    Heard.insert(Vms[Other].Domain);
    if (Vms[Other].Domain == Vms[Vm].Domain)
      Peers.OwnDomain.push_back(toAddress(Other));
    else
      Peers.OtherDomains[failure_domain_name(std::to_string(Vms[Other].Domain))]
          .push_back(toAddress(Other));
  }
  Heard.insert(Vms[Vm].Domain);
  Peers.AreAllDomainsHeard = Heard.size() == Vms.back().Domain + 1;
  Vms[Vm].Replicator->setPeers(std::move(Peers));
}

void replication_simulation::poll(std::size_t Vm) {
  if (PlatformIsOut || !Vms[Vm].ReachesPlatform)
    return;
  const time_point Read = ReadsAreStale ? Now - StaleReadAge : Now;
  Vms[Vm].HadStaleRead |= ReadsAreStale;
  std::uint64_t Revision = 0;
  std::map<service_name, std::string> Newest;
  for (const auto &Row : Rows) {
    if (Row.Time > Read)
      break;
    Revision = Row.Revision;
    if (Row.Revision > Vms[Vm].Replicator->listAfter())
      Newest[Row.Envelope.Service] = Row.Envelope.serialize();
  }
  std::vector<std::string> Texts;
  Texts.reserve(Newest.size());
  for (auto &[Service, Text] : Newest)
    Texts.push_back(std::move(Text));
  Vms[Vm].Replicator->takeListing(Texts, Revision, Now, Now);
}

void replication_simulation::deliver() {
  while (!InFlight.empty() && InFlight.begin()->first <= Now) {
    const message Message = std::move(InFlight.begin()->second);
    InFlight.erase(InFlight.begin());
    auto &Receiver = Vms[Message.To];
    if (isCut(Message.From, Message.To))
      continue;
    if (Receiver.IsFrozen)
      Receiver.Inbox.push_back(Message.Payload);
    else
      (void)Receiver.Replicator->receive(Message.Payload, Now);
  }
}

std::optional<std::string> replication_simulation::check() const {
  if (Fault)
    return Fault;
  // A stale answer is recognized only by a lower revision than the last one.
  // Otherwise it makes its reader, and through it other VMs, look fresh, so
  // after a stale read this check is skipped for all VMs.
  const bool HadStaleRead =
      std::ranges::any_of(Vms, [](const auto &Vm) { return Vm.HadStaleRead; });
  for (std::size_t Vm = 0; Vm < Vms.size(); ++Vm) {
    const auto &Replicator = *Vms[Vm].Replicator;
    if (Vms[Vm].IsFrozen || HadStaleRead ||
        Replicator.freshnessAt(Now) != freshness::Fresh)
      continue;
    for (const auto &Row : Rows)
      if (Row.Time < Now - FreshBound &&
          Replicator.numberOf(Row.Envelope.Service) < Row.Envelope.Number)
        return "VM " + std::to_string(Vm) + " is fresh but lacks a document";
  }
  return std::nullopt;
}

bool replication_simulation::isCut(std::size_t First,
                                   std::size_t Second) const {
  return Cuts.contains(std::minmax(First, Second));
}

} // namespace sesamepaddle
