#include "sesamepaddle/admission/overload_gate.h"

#include <doctest/doctest.h>

#include <array>
#include <cstddef>
#include <deque>

using namespace sesamepaddle;
using std::chrono::microseconds;
using std::chrono::milliseconds;

namespace {

const time_point Start{std::chrono::seconds(100)};

/** A VM with one event loop whose requests cost processor time: reading each
    of them, and then serving or refusing it. Requests arrive evenly. */
class loaded_vm {
public:
  static constexpr microseconds ReadCost{60};
  static constexpr microseconds ServeCost{240};
  static constexpr microseconds RefuseCost{20};
  static constexpr milliseconds Deadline{400};
  static constexpr std::size_t Priorities = 3;

  explicit loaded_vm(bool HasGate) : HasGate(HasGate) {}

  /** Plays @p Time with @p PerSecond requests, a third of each priority. */
  void play(double PerSecond, milliseconds Time) {
    const auto End = Now + Time;
    auto NextArrival = Now;
    const microseconds Gap(static_cast<std::int64_t>(1e6 / PerSecond));
    while (Now < End) {
      // One pass of the loop: all that is ready at its start.
      const auto PassStart = Now;
      for (; NextArrival <= PassStart; NextArrival += Gap)
        Waiting.push_back(NextArrival);
      if (Waiting.empty()) {
        Now = NextArrival;
        continue;
      }
      const std::size_t Ready = Waiting.size();
      for (std::size_t Index = 0; Index < Ready; ++Index)
        takeTurn(Waiting[Index]);
      Waiting.erase(Waiting.begin(),
                    Waiting.begin() + static_cast<std::ptrdiff_t>(Ready));
      Gate.observe(Now - PassStart, Now);
    }
  }

  std::array<std::size_t, Priorities> Served{};  ///< in time, by priority
  std::array<std::size_t, Priorities> Refused{}; ///< by priority
  std::size_t Late = 0; ///< served after the caller had left
  overload_gate Gate;
  time_point Now = Start;

private:
  void takeTurn(time_point Arrival) {
    const std::size_t Priority = Turns++ % Priorities;
    Now += ReadCost;
    if (HasGate && !Gate.admits(static_cast<int>(Priority), Now)) {
      Now += RefuseCost;
      ++Refused[Priority];
      return;
    }
    Now += ServeCost;
    if (Now - Arrival > Deadline)
      ++Late;
    else
      ++Served[Priority];
  }

  bool HasGate;
  std::size_t Turns = 0;
  std::deque<time_point> Waiting;
};

std::size_t sum(const std::array<std::size_t, loaded_vm::Priorities> &Counts) {
  return Counts[0] + Counts[1] + Counts[2];
}

} // namespace

TEST_CASE("an overload gate refuses only while waits stay long") {
  overload_gate Gate;
  CHECK(Gate.admits(2, Start));
  CHECK_FALSE(Gate.isBusy(Start));

  SUBCASE("one long wait refuses nothing") {
    Gate.observe(milliseconds(1), Start - milliseconds(400));
    Gate.observe(milliseconds(400), Start);
    CHECK(Gate.admits(2, Start));
  }

  SUBCASE("waits that stay long refuse the least urgent requests first") {
    time_point Now = Start;
    for (int Pass = 0; Pass < 10; ++Pass, Now += milliseconds(70))
      Gate.observe(milliseconds(70), Now);
    CHECK_FALSE(Gate.admits(2, Now));
    CHECK_FALSE(Gate.admits(7, Now));
    CHECK(Gate.admits(1, Now));
    CHECK(Gate.admits(0, Now));
    CHECK(Gate.isBusy(Now));

    SUBCASE("and all are served again once waits are short") {
      Gate.observe(milliseconds(5), Now);
      CHECK(Gate.admits(2, Now));
      CHECK(Gate.isBusy(Now));
      CHECK_FALSE(Gate.isBusy(Now + milliseconds(2'000)));
    }
    SUBCASE("or once nothing has arrived for a while") {
      CHECK(Gate.admits(2, Now + milliseconds(600)));
    }
  }
}

// The load: for seconds, requests arrive at several times the rate that the VM
// can serve, as in a retry storm.
TEST_CASE("a VM under more load than it can carry serves what it can in time") {
  constexpr double Capacity =
      1e6 /
      static_cast<double>((loaded_vm::ReadCost + loaded_vm::ServeCost).count());
  constexpr milliseconds Time{4'000};

  SUBCASE("without a gate, work goes into requests whose callers have left") {
    loaded_vm Vm(false);
    Vm.play(3 * Capacity, Time);
    CHECK(Vm.Late > sum(Vm.Served));
  }

  SUBCASE("below its limit it refuses nothing") {
    loaded_vm Vm(true);
    Vm.play(0.9 * Capacity, Time);
    CHECK(sum(Vm.Refused) == 0);
    CHECK(Vm.Late == 0);
  }

  for (const double Load : {1.5, 2.0, 3.0}) {
    CAPTURE(Load);
    loaded_vm Vm(true);
    Vm.play(Load * Capacity, Time);
    // What the processor time allows: each refused request costs its reading
    // and its refusal.
    const double RefusalCost =
        static_cast<double>(
            (loaded_vm::ReadCost + loaded_vm::RefuseCost).count()) /
        static_cast<double>(
            (loaded_vm::ReadCost + loaded_vm::ServeCost).count());
    const double Most =
        Capacity * 4 * (1 - Load * RefusalCost) / (1 - RefusalCost);
    CHECK(static_cast<double>(sum(Vm.Served)) >= 0.9 * Most);
    CHECK(Vm.Late == 0);
    CHECK(Vm.Served[0] > Vm.Served[2]);
    CHECK(Vm.Refused[0] < Vm.Refused[2]);
  }
}
