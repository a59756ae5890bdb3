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

/** One thing that happens in the world. */
struct event {
  enum kind {
    Pass,
    Commit,
    Cut,
    CutDomain,
    CutPlatform,
    Heal,
    Freeze,
    Thaw,
    Restart,
    Outage,
    OutageEnd,
    OldReads,
    Lose
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
                       event::OutageEnd, event::OldReads, event::Lose),
      rc::gen::inRange<std::size_t>(0, Domains * VmsPerDomain),
      rc::gen::inRange<std::size_t>(0, Domains * VmsPerDomain),
      rc::gen::inRange(0U, 100U));
}

void applyToVm(replication_simulation &World, const event &Event) {
  if (Event.Kind == event::Freeze)
    World.freeze(Event.Vm);
  else if (Event.Kind == event::Thaw && World.isFrozen(Event.Vm))
    World.thaw(Event.Vm);
  else if (Event.Kind == event::Restart)
    World.restart(Event.Vm);
  else if (Event.Kind == event::CutPlatform)
    World.cutFromPlatform(Event.Vm);
}

std::optional<std::string> apply(replication_simulation &World,
                                 const event &Event) {
  switch (Event.Kind) {
  case event::Pass:
    return World.advance(milliseconds(Event.Amount * 200));
  case event::Commit:
    World.commit(Event.Other % Services);
    break;
  case event::Cut:
    World.cut(Event.Vm, Event.Other);
    break;
  case event::CutDomain:
    World.cutDomain(Event.Vm % Domains);
    break;
  case event::Heal:
    World.healAll();
    break;
  case event::Outage:
  case event::OutageEnd:
    World.setPlatformOutage(Event.Kind == event::Outage);
    break;
  case event::OldReads:
    World.setStaleReads(Event.Amount < 50);
    break;
  case event::Lose:
    World.setLoss(Event.Amount / 2);
    break;
  default:
    applyToVm(World, Event);
  }
  return std::nullopt;
}

} // namespace

TEST_CASE("whatever happens, the highest signed version wins everywhere") {
  const bool Held = rc::check([] {
    const auto Seed = *rc::gen::arbitrary<std::uint64_t>();
    const auto Events = *rc::gen::container<std::vector<event>>(anyEvent());
    replication_simulation World(Domains, VmsPerDomain, Seed);
    for (const auto &Event : Events)
      if (const auto Fault = apply(World, Event))
        RC_FAIL(*Fault);
    World.healAll();
    World.setPlatformOutage(false);
    if (const auto Fault = World.advance(seconds(20)))
      RC_FAIL(*Fault);
    if (const auto Fault = World.findOutdatedVm())
      RC_FAIL(*Fault);
  });
  CHECK(Held);
}

TEST_CASE("a message that was tampered with is refused or taken, not fatal") {
  const bool Held = rc::check([](const std::string &Noise) {
    (void)parseReplicationMessage(Noise).ok();
  });
  CHECK(Held);
}

TEST_CASE("a length that claims too much sets no memory aside") {
  // An array of 2^32 - 1 elements, and a text of as many bytes.
  for (const char *Lie : {"\xdd\xff\xff\xff\xff", "\xdb\xff\xff\xff\xff"})
    CHECK_FALSE(parseReplicationMessage(Lie).ok());
}
