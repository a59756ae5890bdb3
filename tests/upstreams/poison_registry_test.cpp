#include "sesamepaddle/upstreams/poison_registry.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <array>
#include <string>
#include <vector>

using namespace sesamepaddle;
using std::chrono::seconds;

namespace {

constexpr std::size_t VmCount = 4;

/** VMs that send requests to endpoints and share evidence. Request 0 crashes
    every endpoint that runs it, the others never do. */
struct fleet {
  explicit fleet(unsigned Crashes) {
    poison_limits Limits;
    Limits.Crashes = Crashes;
    Registries.fill(poison_registry(Limits));
  }

  void send(std::size_t Vm, unsigned Request, unsigned Endpoint) {
    const std::string Fingerprint = std::to_string(Request);
    if (!Registries[Vm].mayRun(Fingerprint, Now)) {
      ++(Request == 0 ? PoisonRefused : OthersRefused);
      return;
    }
    if (Request != 0) {
      Registries[Vm].addAnswer(Fingerprint, Now);
      return;
    }
    ++CrashesOfPoison;
    share(Vm, {Fingerprint, std::to_string(Endpoint)});
  }

  /** An endpoint crashes for another reason while it runs a request. */
  void lose(std::size_t Vm, unsigned Request, unsigned Endpoint) {
    share(Vm, {std::to_string(Request), std::to_string(Endpoint)});
  }

  void share(std::size_t Vm, const crash_evidence &Evidence) {
    if (!Registries[Vm].addCrash(Evidence, Now))
      return;
    for (std::size_t Peer = 0; Peer < VmCount; ++Peer)
      if (Peer != Vm)
        Registries[Peer].addCrash(Evidence, Now);
  }

  std::array<poison_registry, VmCount> Registries;
  time_point Now{};
  unsigned CrashesOfPoison = 0;
  unsigned PoisonRefused = 0;
  unsigned OthersRefused = 0;
};

void step(fleet &Fleet, unsigned Draw) {
  Fleet.Now += seconds(2);
  const std::size_t Vm = Draw % VmCount;
  const unsigned Endpoint = Draw / 4 % 6;
  const unsigned Request = Draw / 32 % 4;
  Fleet.send(Vm, Request, Endpoint);
  // Requests other than 0 were answered on this VM just before, so their losses
  // must not count.
  if (Draw / 128 % 3 == 0 && Request != 0)
    Fleet.lose(Vm, Request, Endpoint);
}

} // namespace

TEST_CASE("a request that crashes its upstreams is refused after two crashes") {
  CHECK(rc::check("for any sequence of requests and VMs", [] {
    fleet Fleet(2);
    const auto Draws = *rc::gen::container<std::vector<unsigned>>(
        rc::gen::inRange(0U, 1'000'000U));
    for (const unsigned Draw : Draws)
      step(Fleet, Draw);
    RC_ASSERT(Fleet.CrashesOfPoison <= 2);
    RC_ASSERT(Fleet.OthersRefused == 0);
  }));

  SUBCASE("without the limit every repeat crashes an endpoint") {
    fleet Fleet(1'000'000);
    for (unsigned Repeat = 0; Repeat < 50; ++Repeat) {
      Fleet.Now += seconds(2);
      Fleet.send(Repeat % VmCount, 0, Repeat % 6);
    }
    CHECK(Fleet.CrashesOfPoison == 50);
  }
}

TEST_CASE("a request is not refused for losses that are no evidence") {
  poison_registry Registry;
  time_point Now{};

  SUBCASE("losses of a frequent request whose endpoints crash in turn") {
    Registry.addAnswer("check", Now);
    Now += seconds(5);
    CHECK_FALSE(Registry.addCrash({"check", "a"}, Now));
    CHECK_FALSE(Registry.addCrash({"check", "b"}, Now));
    CHECK(Registry.mayRun("check", Now));
  }
  SUBCASE("several losses in one crash of an endpoint") {
    CHECK(Registry.addCrash({"check", "a"}, Now));
    CHECK_FALSE(Registry.addCrash({"check", "a"}, Now));
    CHECK(Registry.mayRun("check", Now));
  }
  SUBCASE("two losses with an answer between them") {
    CHECK(Registry.addCrash({"check", "a"}, Now));
    Registry.addAnswer("check", Now);
    Now += seconds(61);
    CHECK(Registry.addCrash({"check", "b"}, Now));
    CHECK(Registry.mayRun("check", Now));
  }
  SUBCASE("losses older than the quarantine") {
    Registry.addCrash({"check", "a"}, Now);
    Registry.addCrash({"check", "b"}, Now);
    CHECK_FALSE(Registry.mayRun("check", Now + seconds(600)));
    CHECK(Registry.mayRun("check", Now + seconds(601)));
  }
  SUBCASE("memory is bounded") {
    poison_registry Small({.Suspects = 3, .Answered = 3});
    for (int Index = 0; Index < 50; ++Index) {
      Small.addCrash({std::to_string(Index), "a"}, Now);
      Small.addAnswer(std::to_string(Index + 1'000), Now);
    }
    CHECK(Small.suspects() == 3);
  }
}

TEST_CASE("a registry tells which requests are refused, and since when") {
  poison_registry Registry;
  const time_point Start{};
  Registry.addCrash({"bad", "b"}, Start);
  Registry.addCrash({"bad", "a"}, Start + seconds(5));
  Registry.addCrash({"suspect", "a"}, Start);
  const auto Now = Start + seconds(400);

  SUBCASE("so that another one refuses them for the rest of the time") {
    poison_registry Told;
    for (const auto &[Evidence, Age] : Registry.refusedRequests(16, Now))
      Told.addCrash(Evidence, Now - Age);
    CHECK(Told.suspects() == 1);
    CHECK_FALSE(Told.mayRun("bad", Now));
    CHECK_FALSE(Told.mayRun("bad", Start + seconds(605)));
    CHECK(Told.mayRun("bad", Start + seconds(606)));
  }
  SUBCASE("no more than asked for, and none that is run again") {
    CHECK(Registry.refusedRequests(1, Now).empty());
    CHECK(Registry.refusedRequests(16, Start + seconds(606)).empty());
  }
}
