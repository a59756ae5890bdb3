#include "membership/membership_simulation.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace sesamepaddle;
using std::chrono::milliseconds;

namespace {

constexpr std::size_t Domains = 2;
constexpr std::size_t VmsPerDomain = 3;

/** One thing that happens in the world. */
struct event {
  enum kind {
    Pass,
    Cut,
    CutDomain,
    Heal,
    Freeze,
    Thaw,
    Crash,
    Start,
    Leave,
    Lose
  };
  kind Kind;
  std::size_t Vm;
  std::size_t Other;
  unsigned Amount;
};

std::ostream &operator<<(std::ostream &Stream, const event &Event) {
  constexpr const char *Names[] = {"pass",   "cut",  "cut-domain", "heal",
                                   "freeze", "thaw", "crash",      "start",
                                   "leave",  "lose"};
  return Stream << Names[Event.Kind] << " " << Event.Vm << " " << Event.Other
                << " " << Event.Amount;
}

rc::Gen<event> anyEvent() {
  return rc::gen::construct<event>(
      rc::gen::element(event::Pass, event::Pass, event::Pass, event::Cut,
                       event::CutDomain, event::Heal, event::Freeze,
                       event::Thaw, event::Crash, event::Start, event::Leave,
                       event::Lose),
      rc::gen::inRange<std::size_t>(0, Domains * VmsPerDomain),
      rc::gen::inRange<std::size_t>(0, Domains * VmsPerDomain),
      rc::gen::inRange(0U, 100U));
}

std::optional<std::string> apply(membership_simulation &World,
                                 const event &Event) {
  const bool IsAwake = World.isRunning(Event.Vm) && !World.isFrozen(Event.Vm);
  switch (Event.Kind) {
  case event::Pass:
    return World.advance(milliseconds(Event.Amount * 100));
  case event::Cut:
    World.cut(Event.Vm, Event.Other);
    break;
  case event::CutDomain:
    World.cutDomain(Event.Vm);
    break;
  case event::Heal:
    World.healAll();
    break;
  case event::Freeze:
    if (IsAwake)
      World.freeze(Event.Vm);
    break;
  case event::Thaw:
    if (World.isFrozen(Event.Vm) && Event.Amount < 50)
      World.thaw(Event.Vm);
    else if (World.isFrozen(Event.Vm))
      World.thawWithoutInbox(Event.Vm);
    break;
  case event::Crash:
    World.crash(Event.Vm);
    break;
  case event::Start:
    if (!World.isRunning(Event.Vm))
      World.start(Event.Vm);
    break;
  case event::Leave:
    if (IsAwake)
      World.leave(Event.Vm);
    break;
  case event::Lose:
    World.setLoss(Event.Amount / 2);
    break;
  }
  return std::nullopt;
}

/** Ends all faults and waits until every view must be right. */
std::optional<std::string> settle(membership_simulation &World) {
  World.healAll();
  World.setLoss(0);
  for (std::size_t Vm = 0; Vm < World.size(); ++Vm)
    if (World.isFrozen(Vm))
      World.thaw(Vm);
  if (auto Fault = World.advance(std::chrono::seconds(90)))
    return Fault;
  return World.compareWithTruth();
}

} // namespace

TEST_CASE("whatever happens, views agree with who is alive in the end") {
  const bool Held = rc::check([] {
    const auto Seed = *rc::gen::arbitrary<std::uint64_t>();
    const auto Events = *rc::gen::container<std::vector<event>>(anyEvent());
    membership_simulation World(Domains, VmsPerDomain, Seed);
    for (const auto &Event : Events)
      if (const auto Fault = apply(World, Event))
        RC_FAIL(*Fault);
    if (const auto Fault = settle(World))
      RC_FAIL(*Fault);
  });
  CHECK(Held);
}

TEST_CASE("a message that was tampered with is refused or taken, not fatal") {
  const bool Held = rc::check([](const std::string &Noise) {
    (void)parseMembershipMessage(Noise).ok();
  });
  CHECK(Held);
  const auto Refused = parseMembershipMessage("\x01");
  CHECK(isFailure(Refused.status(), membership_failure::MalformedMessage));
}

TEST_CASE("a length that claims too much sets no memory aside") {
  // An array of 2^32 - 1 elements, and a text of as many bytes.
  for (const char *Lie : {"\xdd\xff\xff\xff\xff", "\xdb\xff\xff\xff\xff"})
    CHECK_FALSE(parseMembershipMessage(Lie).ok());
}
