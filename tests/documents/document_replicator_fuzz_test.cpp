#include "documents/replication_simulation.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace sesamepaddle;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr std::size_t Domains = 3;
constexpr std::size_t VmsPerDomain = 3;
constexpr std::size_t Services = 2;

/** One random event in the simulation. */
struct event {
  enum kind {
    Pass,        ///< time passes
    Commit,      ///< a new document is stored
    Cut,         ///< two VMs lose their connection
    CutDomain,   ///< a failure domain is partitioned from all else
    CutPlatform, ///< a VM loses its connection to the platform
    Heal,        ///< all faults end, except an outage
    Freeze,      ///< a VM's process is suspended
    Thaw,        ///< a suspended process resumes
    Restart,
    Outage, ///< the platform answers nobody
    OutageEnd,
    StaleReads, ///< the platform's answers become stale or current
    Lose        ///< the share of lost messages changes
  };
  kind Kind;
  std::size_t Vm;
  std::size_t Other;
  unsigned Amount;
};

std::ostream &operator<<(std::ostream &Stream, const event &Event) {
  constexpr const char *Names[] = {
      "pass",       "commit",    "cut",  "cut-domain", "cut-platform",
      "heal",       "freeze",    "thaw", "restart",    "outage",
      "outage-end", "old-reads", "lose"};
  return Stream << Names[Event.Kind] << " " << Event.Vm << " " << Event.Other
                << " " << Event.Amount;
}

rc::Gen<event> anyEvent() {
  return rc::gen::construct<event>(
      rc::gen::element(event::Pass, event::Pass, event::Pass, event::Commit,
                       event::Commit, event::Cut, event::CutDomain,
                       event::CutPlatform, event::Heal, event::Freeze,
                       event::Thaw, event::Restart, event::Outage,
                       event::OutageEnd, event::StaleReads, event::Lose),
      rc::gen::inRange<std::size_t>(0, Domains * VmsPerDomain),
      rc::gen::inRange<std::size_t>(0, Domains * VmsPerDomain),
      rc::gen::inRange(0U, 100U));
}

void applyToVm(replication_simulation &Simulation, const event &Event) {
  if (Event.Kind == event::Freeze)
    Simulation.freeze(Event.Vm);
  else if (Event.Kind == event::Thaw && Simulation.isFrozen(Event.Vm))
    Simulation.thaw(Event.Vm);
  else if (Event.Kind == event::Restart)
    Simulation.restart(Event.Vm);
  else if (Event.Kind == event::CutPlatform)
    Simulation.cutFromPlatform(Event.Vm);
}

std::optional<std::string> apply(replication_simulation &Simulation,
                                 const event &Event) {
  switch (Event.Kind) {
  case event::Pass:
    return Simulation.advance(milliseconds(Event.Amount * 200));
  case event::Commit:
    Simulation.commit(Event.Other % Services);
    break;
  case event::Cut:
    Simulation.cut(Event.Vm, Event.Other);
    break;
  case event::CutDomain:
    Simulation.cutDomain(Event.Vm % Domains);
    break;
  case event::Heal:
    Simulation.healAll();
    break;
  case event::Outage:
  case event::OutageEnd:
    Simulation.setPlatformOutage(Event.Kind == event::Outage);
    break;
  case event::StaleReads:
    Simulation.setStaleReads(Event.Amount < 50);
    break;
  case event::Lose:
    Simulation.setLoss(Event.Amount / 2);
    break;
  default:
    applyToVm(Simulation, Event);
  }
  return std::nullopt;
}

} // namespace

TEST_CASE(
    "after any sequence of events every VM has the newest signed document") {
  const bool Held = rc::check([] {
    const auto Seed = *rc::gen::arbitrary<std::uint64_t>();
    const auto Events = *rc::gen::container<std::vector<event>>(anyEvent());
    replication_simulation Simulation(Domains, VmsPerDomain, Seed);
    for (const auto &Event : Events)
      if (const auto Fault = apply(Simulation, Event))
        RC_FAIL(*Fault);
    Simulation.healAll();
    Simulation.setPlatformOutage(false);
    if (const auto Fault = Simulation.advance(seconds(20)))
      RC_FAIL(*Fault);
    if (const auto Fault = Simulation.findOutdatedVm())
      RC_FAIL(*Fault);
  });
  CHECK(Held);
}

TEST_CASE("parsing arbitrary bytes does not crash") {
  const bool Held = rc::check([](const std::string &Noise) {
    (void)parseReplicationMessage(Noise).ok();
  });
  CHECK(Held);
}

TEST_CASE("a forged length is rejected without allocating memory for it") {
  // An array of 2^32 - 1 elements, and a string of as many bytes.
  for (const char *Forged : {"\xdd\xff\xff\xff\xff", "\xdb\xff\xff\xff\xff"})
    CHECK_FALSE(parseReplicationMessage(Forged).ok());
}
