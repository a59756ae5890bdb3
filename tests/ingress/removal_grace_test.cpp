#include "sesamepaddle/ingress/removal_grace.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <array>
#include <functional>
#include <map>
#include <random>
#include <set>
#include <vector>

using namespace sesamepaddle;
using std::chrono::milliseconds;

namespace {

time_point at(int Ms) { return time_point(milliseconds(1'000'000 + Ms)); }

removal_grace::arrival ownRows(int AsOf) {
  removal_grace::arrival Rows;
  Rows.AsOf = at(AsOf);
  return Rows;
}

removal_grace::arrival rowsOfVm(int AsOf, int ServedSince) {
  auto Rows = ownRows(AsOf);
  Rows.ServedSince = at(ServedSince);
  return Rows;
}

} // namespace

// Guards against requests to endpoints that are gone: each VM that had once
// failed to read the store granted them two seconds more, whenever it read the
// store again.
TEST_CASE("the grace for missing rows counts from the store's return") {
  removal_grace Grace;
  CHECK_FALSE(Grace.recordRows(ownRows(0)));
  CHECK(Grace.servedSince() == at(0));

  SUBCASE("there is none while the store answers") {
    CHECK_FALSE(Grace.recordRows(ownRows(800)));
    SUBCASE("also for a VM that has lost the one that reads for it") {
      CHECK_FALSE(Grace.recordRows(ownRows(3'000)));
    }
    SUBCASE("also for one whose read was lost and sent again") {
      Grace.recordFailedRead(at(900));
      CHECK_FALSE(Grace.recordRows(ownRows(1'900)));
    }
    SUBCASE("also when a read from before newer rows of another VM fails") {
      CHECK_FALSE(Grace.recordRows(rowsOfVm(1'900, 0)));
      Grace.recordFailedRead(at(1'500));
      CHECK_FALSE(Grace.recordRows(ownRows(5'000)));
    }
    CHECK_FALSE(Grace.until(at(1'000)));
    CHECK(Grace.servedSince() == at(0));
  }

  SUBCASE("a VM has failed to read the store since its rows") {
    Grace.recordFailedRead(at(2'000));
    Grace.recordFailedRead(at(4'000));

    SUBCASE("older rows of another VM are no news of the store") {
      CHECK_FALSE(Grace.recordRows(rowsOfVm(3'900, 0)));
      CHECK_FALSE(Grace.until(at(4'200)));
    }
    SUBCASE("it reads the store again") {
      CHECK(Grace.recordRows(ownRows(4'500)) == at(4'500));
      CHECK(Grace.until(at(6'600)) == at(6'700));
      CHECK_FALSE(Grace.until(at(6'700)));
      SUBCASE("once only") {
        CHECK_FALSE(Grace.recordRows(ownRows(9'000)));
        CHECK_FALSE(Grace.until(at(9'000)));
      }
      SUBCASE("a second outage has a grace of its own") {
        CHECK_FALSE(Grace.recordRows(ownRows(7'000)));
        Grace.recordFailedRead(at(8'000));
        CHECK(Grace.recordRows(ownRows(8'600)) == at(8'600));
        CHECK(Grace.until(at(8'600)) == at(10'800));
      }
      SUBCASE("one that begins before the rows are back prolongs it") {
        Grace.recordFailedRead(at(5'000));
        CHECK(Grace.until(at(6'700)) == at(7'900));
        CHECK(Grace.recordRows(ownRows(5'500)) == at(5'500));
        CHECK(Grace.until(at(6'700)) == at(7'900));
      }
    }
    SUBCASE("it reads the store again long after it has tried last") {
      CHECK(Grace.recordRows(ownRows(9'000)) == at(4'700));
      CHECK_FALSE(Grace.until(at(9'000)));
    }
    SUBCASE("another VM has read it before") {
      CHECK(Grace.recordRows(rowsOfVm(5'000, 4'100)) == at(4'100));
      CHECK(Grace.until(at(5'000)) == at(6'300));
      CHECK(Grace.servedSince() == at(4'100));
      SUBCASE("and is lost later") {
        CHECK_FALSE(Grace.recordRows(ownRows(22'000)));
        CHECK_FALSE(Grace.until(at(22'000)));
      }
    }
    SUBCASE("the return was long ago for another VM") {
      CHECK(Grace.recordRows(rowsOfVm(9'000, 4'100)) == at(4'100));
      CHECK_FALSE(Grace.until(at(9'000)));
    }
    SUBCASE("the store has served another VM all the time") {
      CHECK_FALSE(Grace.recordRows(rowsOfVm(5'000, 0)));
      CHECK_FALSE(Grace.until(at(5'000)));
    }
    SUBCASE("a VM hands on a time that is still to come") {
      CHECK(Grace.recordRows(rowsOfVm(5'000, 60'000)) == at(5'000));
    }
  }

  SUBCASE("a VM that was suspended learns what it has missed") {
    Grace.recordSuspension(at(100), at(6'000));
    SUBCASE("from the store") {
      CHECK(Grace.recordRows(ownRows(6'100)) == at(6'100));
    }
    SUBCASE("from a VM that was in an outage") {
      CHECK(Grace.recordRows(rowsOfVm(6'100, 5'000)) == at(5'000));
      CHECK(Grace.until(at(6'100)) == at(7'200));
    }
    SUBCASE("from a VM that was in none") {
      CHECK_FALSE(Grace.recordRows(rowsOfVm(6'100, 0)));
    }
  }

  SUBCASE("a store that is back from a backup may lack rows") {
    CHECK_FALSE(Grace.recordRows(ownRows(800)));
    auto Restored = ownRows(1'000);
    Restored.IsRestored = true;
    SUBCASE("as this VM reads") {
      CHECK(Grace.recordRows(Restored) == at(1'000));
    }
    SUBCASE("as another VM has read before") {
      Restored.ServedSince = at(900);
      CHECK(Grace.recordRows(Restored) == at(900));
    }
  }
}

namespace {

constexpr int StepMs = 50;
constexpr int DayMs = 60'000;
constexpr int Registered = 10 * DayMs; ///< later than any time
// PROTOCOL.md: rows that expired are back within about two seconds of the
// store's return. RULES.md, DRAIN: no request later than drainS after the store
// has confirmed, while it is stable, that an endpoint is gone; it is stable
// touchS after its return, and a VM is bound touchS after it was lost.
constexpr int BackAfterMs = 2'000;
// A read that the store does not answer fails after this time, and the next one
// follows after the second one.
constexpr int ReadTimeoutMs = 900;
constexpr int RetryMs = 250;
// A VM that waits for a silent store cannot know the time of its return better.
constexpr int SilentReturnMs = ReadTimeoutMs + RetryMs + 2 * 50;
constexpr int DrainMs = 2'000;
constexpr int TouchMs = 3'000;
// From a VM's decision until the request reaches an endpoint.
constexpr int TransitMs = 50;

/** Some VMs before an in-memory store. One of them reads it, the others copy
    from that one, or read it themselves when their rows are old. Outages of the
    store, losses of VMs and removals of endpoints are drawn from a seed. */
class simulated_fleet {
public:
  static constexpr std::size_t VmCount = 5;
  static constexpr int EndpointCount = 12;

  explicit simulated_fleet(unsigned Seed) : Random(Seed) {
    for (int Id = 0; Id < EndpointCount; ++Id)
      Rows.insert(Id);
    int Next = draw(2'000, 6'000);
    while (Next < DayMs - 12'000) {
      const int Length = draw(1'500, 5'000);
      const bool IsSoon = !Outages.empty() && Next - Outages.back().To < 1'000;
      Outages.push_back({Next, Next + Length, !IsSoon && draw(0, 1) == 0});
      // A second outage that begins before all rows are back, or a later one.
      Next += Length + (draw(0, 3) == 0 ? draw(300, 800) : draw(4'000, 16'000));
    }
  }

  void play() {
    for (Now = 0; Now < DayMs; Now += StepMs) {
      moveStore();
      for (auto &Vm : Vms) {
        if (Now >= Vm.DarkUntil && draw(0, 9'000 / StepMs) == 0)
          loseVm(Vm);
        if (Now >= Vm.DarkUntil)
          moveVm(Vm);
      }
      check();
    }
  }

  std::size_t KeptTooLong = 0; ///< endpoints that are gone, by VM and step
  std::size_t LostAlive = 0;   ///< the same for ones that only lack their rows
  std::size_t Graces = 0;      ///< rows that expired, by VM and step
  std::size_t Departures = 0; ///< endpoints that left while the store is stable

private:
  struct outage {
    int From;
    int To;
    bool IsSilent; ///< otherwise it turns reads away at once
  };
  struct vm {
    removal_grace Grace;
    std::map<int, int> UsableUntil; ///< by endpoint; or Registered
    int HeldUntil = -1;             ///< -1: no rows
    int DarkFrom = 0;
    int NextRead = 0;
    int ReadSentAt = -1; ///< of a read that waits for its answer
    int DarkUntil = 0;
    int BackSince = -TouchMs; ///< of its latest loss
  };

  static int toMs(time_point Time) {
    return static_cast<int>((Time - at(0)) / milliseconds(1));
  }

  int draw(int Least, int Most) {
    return std::uniform_int_distribution<int>(Least, Most)(Random);
  }

  /** @returns the outage at that time, or null. */
  const outage *awayAt(int Time) const {
    for (const auto &One : Outages)
      if (Time >= One.From && Time < One.To)
        return &One;
    return nullptr;
  }
  bool isAway(int Time) const { return awayAt(Time) != nullptr; }

  /** @returns the time since the store's return, as far as a VM can know it. */
  int returnedFor() const {
    const outage *Latest = nullptr;
    for (const auto &One : Outages)
      if (One.From <= Now)
        Latest = &One;
    if (Latest == nullptr)
      return Now;
    return Now - Latest->To + (Latest->IsSilent ? SilentReturnMs : 0);
  }

  /** @returns when the store was last away; long ago if never. */
  int latestAway() const {
    int Latest = -DayMs;
    for (const auto &One : Outages)
      if (One.From <= Now)
        Latest = std::min(One.To, Now);
    return Latest;
  }

  void moveStore() {
    for (const auto &One : Outages) {
      // Most rows expire in a long outage, and are back some time after it.
      if (Now >= One.From + 2'900 && Now < One.From + 2'900 + StepMs &&
          Now < One.To)
        for (int Id = 0; Id < EndpointCount; ++Id)
          if (!Gone.contains(Id) && draw(0, 2) > 0 && Rows.erase(Id) > 0)
            BackAt[Id] = One.To + draw(100, BackAfterMs);
    }
    for (auto Entry = BackAt.begin(); Entry != BackAt.end();) {
      if (Now >= Entry->second && !isAway(Now)) {
        Rows.insert(Entry->first);
        Entry = BackAt.erase(Entry);
      } else {
        ++Entry;
      }
    }
    const bool IsStable = Now - latestAway() >= TouchMs;
    if (IsStable && Gone.size() < 9 && draw(0, 5'000 / StepMs) == 0) {
      const int Id = draw(0, EndpointCount - 1);
      if (Rows.erase(Id) > 0) {
        Gone[Id] = Now;
        ++Departures;
      }
    }
  }

  /** Suspends a VM, or starts it anew. */
  void loseVm(vm &Vm) {
    const int Length = draw(1'000, 4'000);
    if (draw(0, 1) == 0)
      Vm = vm();
    Vm.ReadSentAt = -1;
    Vm.DarkFrom = Now;
    Vm.DarkUntil = Now + Length;
    Vm.BackSince = Vm.DarkUntil;
  }

  /** @returns the VM that reads the store for @p Vm, or null. It changes every
      few seconds, and not all VMs agree. */
  const vm *readerOf(const vm &Vm) const {
    const std::size_t Own = static_cast<std::size_t>(&Vm - Vms.data());
    for (std::size_t Step = 0; Step < VmCount; ++Step) {
      const std::size_t Index =
          (static_cast<std::size_t>(Now) / 7'000 + Step) % VmCount;
      const auto &Other = Vms.at(Index);
      if (Index == Own)
        return nullptr;
      if (Now >= Other.DarkUntil + 500 && Now - Other.HeldUntil < 1'200)
        return &Other;
    }
    return nullptr;
  }

  void moveVm(vm &Vm) {
    if (Now - Vm.DarkUntil < StepMs && Vm.DarkFrom > 0)
      recordUnread(Vm, [&] {
        Vm.Grace.recordSuspension(at(Vm.DarkFrom), at(Vm.DarkUntil));
      });
    if (Vm.ReadSentAt >= 0) {
      const auto *Outage = awayAt(Vm.ReadSentAt);
      if (Outage != nullptr && Outage->IsSilent &&
          Now - Vm.ReadSentAt < ReadTimeoutMs)
        return;
      if (Outage != nullptr) {
        recordUnread(Vm, [&] { Vm.Grace.recordFailedRead(at(Vm.ReadSentAt)); });
        Vm.NextRead = Now + RetryMs;
      } else {
        apply(Vm, Vm.ReadSentAt, Rows, std::nullopt);
        Vm.NextRead = Now + 800;
      }
      Vm.ReadSentAt = -1;
      return;
    }
    if (Now < Vm.NextRead)
      return;
    const vm *Reader = readerOf(Vm);
    if (Reader != nullptr && Reader->HeldUntil > Vm.HeldUntil) {
      std::set<int> Known;
      for (const auto &[Id, Until] : Reader->UsableUntil)
        if (Until == Registered)
          Known.insert(Id);
      apply(Vm, Reader->HeldUntil, Known, Reader->Grace.servedSince());
      Vm.NextRead = Now + draw(100, 850);
    } else if (Reader == nullptr || Now - Vm.HeldUntil > 1'200) {
      Vm.ReadSentAt = Now;
    }
  }

  /** Calls @p Record and prolongs the grace of endpoints that have one. */
  void recordUnread(vm &Vm, const std::function<void()> &Record) {
    const bool IsInGrace = Vm.Grace.until(at(Vm.HeldUntil)).has_value();
    Record();
    if (const auto Until = Vm.Grace.until(at(Now)); Until && IsInGrace)
      for (auto &[Id, UsableUntil] : Vm.UsableUntil)
        if (UsableUntil > Vm.DarkFrom && UsableUntil < Registered)
          UsableUntil = std::max(UsableUntil, toMs(*Until));
  }

  void apply(vm &Vm, int AsOf, const std::set<int> &Present,
             std::optional<time_point> ServedSince) {
    removal_grace::arrival Arrival;
    Arrival.AsOf = at(AsOf);
    Arrival.ServedSince = ServedSince;
    Vm.Grace.recordRows(Arrival);
    Vm.HeldUntil = std::max(Vm.HeldUntil, AsOf);
    for (auto &[Id, Until] : Vm.UsableUntil)
      if (!Present.contains(Id) && Until == Registered) {
        const auto Grace = Vm.Grace.until(at(Now));
        Until = Grace ? toMs(*Grace) : Now;
      }
    for (const int Id : Present)
      Vm.UsableUntil[Id] = Registered;
  }

  void check() {
    for (const auto &Vm : Vms) {
      const bool IsBound = Now >= Vm.DarkUntil &&
                           Now - Vm.BackSince >= TouchMs &&
                           Now - latestAway() >= TouchMs;
      for (const auto &[Id, Until] : Vm.UsableUntil) {
        const bool IsUsable = Now < Until;
        const auto Left = Gone.find(Id);
        if (Left != Gone.end())
          KeptTooLong +=
              IsBound && IsUsable && Now - Left->second + TransitMs > DrainMs
                  ? 1
                  : 0;
        else if (!Rows.contains(Id) && Now >= Vm.DarkUntil + ReadTimeoutMs &&
                 returnedFor() < BackAfterMs) {
          ++Graces;
          LostAlive += IsUsable ? 0 : 1;
        }
      }
    }
  }

  std::mt19937 Random;
  int Now = 0;
  std::vector<outage> Outages;
  std::set<int> Rows;        ///< in the store
  std::map<int, int> BackAt; ///< of endpoints whose rows have expired
  std::map<int, int> Gone;   ///< endpoints that have left, since when
  std::array<vm, VmCount> Vms{};
};

} // namespace

// Guards against both faults at once: requests to endpoints that are gone, and
// living endpoints that are out of use because the store was away.
TEST_CASE("model: through outages, losses of VMs and changes of reader an "
          "endpoint is usable as long as it should be") {
  std::size_t Graces = 0;
  std::size_t Departures = 0;
  for (unsigned Seed = 1; Seed <= 200; ++Seed) {
    CAPTURE(Seed);
    simulated_fleet Fleet(Seed);
    Fleet.play();
    CHECK(Fleet.KeptTooLong == 0);
    CHECK(Fleet.LostAlive == 0);
    Graces += Fleet.Graces;
    Departures += Fleet.Departures;
  }
  // The days are such that both can go wrong.
  CHECK(Graces > 1'000);
  CHECK(Departures > 500);
}
