#include "membership/membership_simulation.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace sesamepaddle;
using std::chrono::milliseconds;

namespace {

constexpr std::size_t Domains = 2;
constexpr std::size_t VmsPerDomain = 3;

/** One random step of a simulation: time that passes, a fault, or its end. */
struct event {
  enum kind {
    Pass, ///< time passes
    Cut,
    CutDomain,
    Heal,
    Freeze,
    Thaw,
    Crash,
    Start,
    Leave,
    Lose ///< sets the share of messages that are lost
  };
  kind Kind;
  std::size_t Vm;
  std::size_t Other; ///< the other end of a cut
  unsigned Amount;   ///< time, loss or random choice, see apply()
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

/** @returns a description of the error, or nothing. */
std::optional<std::string> apply(membership_simulation &Simulation,
                                 const event &Event) {
  const bool IsAwake =
      Simulation.isRunning(Event.Vm) && !Simulation.isFrozen(Event.Vm);
  switch (Event.Kind) {
  case event::Pass:
    return Simulation.advance(milliseconds(Event.Amount * 100));
  case event::Cut:
    Simulation.cut(Event.Vm, Event.Other);
    break;
  case event::CutDomain:
    Simulation.cutDomain(Event.Vm);
    break;
  case event::Heal:
    Simulation.healAll();
    break;
  case event::Freeze:
    if (IsAwake)
      Simulation.freeze(Event.Vm);
    break;
  case event::Thaw:
    if (Simulation.isFrozen(Event.Vm) && Event.Amount < 50)
      Simulation.thaw(Event.Vm);
    else if (Simulation.isFrozen(Event.Vm))
      Simulation.thawWithoutInbox(Event.Vm);
    break;
  case event::Crash:
    Simulation.crash(Event.Vm);
    break;
  case event::Start:
    if (!Simulation.isRunning(Event.Vm))
      Simulation.start(Event.Vm);
    break;
  case event::Leave:
    if (IsAwake)
      Simulation.leave(Event.Vm);
    break;
  case event::Lose:
    Simulation.setLoss(Event.Amount / 2);
    break;
  }
  return std::nullopt;
}

/** Ends all faults, runs the simulation until every view must be correct, and
    compares the views.
    @returns a description of the error, or nothing. */
std::optional<std::string> settle(membership_simulation &Simulation) {
  Simulation.healAll();
  Simulation.setLoss(0);
  for (std::size_t Vm = 0; Vm < Simulation.size(); ++Vm)
    if (Simulation.isFrozen(Vm))
      Simulation.thaw(Vm);
  if (auto Fault = Simulation.advance(std::chrono::seconds(90)))
    return Fault;
  return Simulation.compareWithTruth();
}

} // namespace

TEST_CASE("once faults have ended, all views show exactly the live VMs") {
  const bool Held = rc::check([] {
    const auto Seed = *rc::gen::arbitrary<std::uint64_t>();
    const auto Events = *rc::gen::container<std::vector<event>>(anyEvent());
    membership_simulation Simulation(Domains, VmsPerDomain, Seed);
    for (const auto &Event : Events)
      if (const auto Fault = apply(Simulation, Event))
        RC_FAIL(*Fault);
    if (const auto Fault = settle(Simulation))
      RC_FAIL(*Fault);
  });
  CHECK(Held);
}

TEST_CASE("a corrupt message is rejected or parsed without a crash") {
  const bool Held = rc::check([](const std::string &Noise) {
    (void)parseMembershipMessage(Noise).ok();
  });
  CHECK(Held);
  const auto Refused = parseMembershipMessage("\x01");
  CHECK(isFailure(Refused.status(), membership_failure::MalformedMessage));
}

TEST_CASE("a claimed length beyond the payload is rejected") {
  // An array of 2^32 - 1 elements, and a text of as many bytes. No memory may
  // be allocated for them.
  for (const char *Payload : {"\xdd\xff\xff\xff\xff", "\xdb\xff\xff\xff\xff"})
    CHECK_FALSE(parseMembershipMessage(Payload).ok());
}
