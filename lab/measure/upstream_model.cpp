#include "measure/upstream_model.h"

#include "sesamepaddle/upstreams/endpoint_set.h"

#include <algorithm>
#include <functional>
#include <memory>
#include <queue>
#include <random>
#include <tuple>
#include <utility>

namespace sesamepaddle {

namespace {

constexpr unsigned MaxAttempts = 3; // before a wait or a refusal
// Exponential backoff of LeastInFlightWaiting, doubled after each wait. A
// request that all tried endpoints refuse after the longest wait is refused.
constexpr double FirstWaitMs = 2;
constexpr double MaxWaitMs = 128;
// Indices of the two special endpoints.
constexpr unsigned SlowEndpoint = 0;
constexpr unsigned ZeroReportingEndpoint = 1;

using endpoint_pointer = std::shared_ptr<endpoint_state>;

/** Runs events in the order of their times, in milliseconds. */
class event_queue {
public:
  void at(double Time, std::function<void()> Action) {
    Events.push({Time, Next++, std::move(Action)});
  }

  void run() {
    while (!Events.empty()) {
      const event Event = Events.top();
      Events.pop();
      NowMs = Event.Time;
      Event.Action();
    }
  }

  double now() const { return NowMs; }

private:
  struct event {
    double Time;
    std::uint64_t Order;
    std::function<void()> Action;

    bool operator<(const event &Other) const {
      return std::tie(Time, Order) > std::tie(Other.Time, Other.Order);
    }
  };
  std::priority_queue<event> Events;
  std::uint64_t Next = 0;
  double NowMs = 0;
};

/** One entry VM's view of the endpoints. */
struct model_vm {
  std::vector<endpoint_pointer> Known;
  std::size_t Turn = 0; ///< counts choices, for round robin and ties
};

/** The simulation of one load with one policy. */
class upstream_model {
public:
  explicit upstream_model(const upstream_model_settings &Settings)
      : Settings(Settings), Random(Settings.Seed), Running(Settings.Endpoints),
        Reported(Settings.Endpoints), Vms(Settings.Vms) {
    for (auto &Vm : Vms)
      for (unsigned Index = 0; Index < Settings.Endpoints; ++Index) {
        Vm.Known.push_back(std::make_shared<endpoint_state>());
        Vm.Known.back()->Slots = Settings.Slots;
      }
  }

  upstream_model_result run() {
    report();
    arrive();
    Events.run();
    return summarise();
  }

private:
  /** @returns the mean time between arrivals. The slow endpoint counts with its
      reduced capacity. */
  double meanGapMs() const {
    const double Speed = Settings.Endpoints - 1 + 1 / Settings.Slowness;
    return Settings.MeanRunMs / (Settings.Load * Settings.Slots * Speed);
  }

  double draw(double Mean) {
    return std::exponential_distribution<double>(1 / Mean)(Random);
  }

  time_point now() const {
    return time_point(std::chrono::microseconds(
        static_cast<std::int64_t>(Events.now() * 1'000)));
  }

  void report() {
    Reported = Running;
    Reported[ZeroReportingEndpoint] = 0;
    if (Arrived < Settings.Requests)
      Events.at(Events.now() + Settings.ReportIntervalMs, [this] { report(); });
  }

  void arrive() {
    if (++Arrived < Settings.Requests)
      Events.at(Events.now() + draw(meanGapMs()), [this] { arrive(); });
    attempt(Arrived % Settings.Vms, Events.now(), {}, FirstWaitMs);
  }

  void waitOrRefuse(unsigned Vm, double Start, double WaitMs) {
    if (Settings.Policy != endpoint_choice_policy::LeastInFlightWaiting ||
        WaitMs > MaxWaitMs) {
      ++Refused;
      return;
    }
    Events.at(Events.now() + WaitMs, [this, Vm, Start, WaitMs] {
      attempt(Vm, Start, {}, WaitMs * 2);
    });
  }

  void attempt(unsigned Vm, double Start, std::vector<endpoint_pointer> Tried,
               double WaitMs) {
    if (Tried.size() == MaxAttempts) {
      waitOrRefuse(Vm, Start, WaitMs);
      return;
    }
    const std::size_t Index = choose(Vms[Vm], Tried);
    const auto Known = Vms[Vm].Known[Index];
    Tried.push_back(Known);
    Known->InFlight.fetch_add(1);
    Events.at(Events.now() + Settings.OneWayMs,
              [this, Vm, Start, Index, Tried = std::move(Tried), WaitMs] {
                receive(Vm, Start, Index, Tried, WaitMs);
              });
  }

  void receive(unsigned Vm, double Start, std::size_t Index,
               const std::vector<endpoint_pointer> &Tried, double WaitMs) {
    if (Running[Index] >= Settings.Slots) {
      Events.at(Events.now() + Settings.OneWayMs,
                [this, Vm, Start, Tried, WaitMs] {
                  Tried.back()->InFlight.fetch_sub(1);
                  attempt(Vm, Start, Tried, WaitMs);
                });
      return;
    }
    ++Running[Index];
    const double Factor = Index == SlowEndpoint ? Settings.Slowness : 1;
    const double RunMs = draw(Settings.MeanRunMs * Factor);
    Events.at(Events.now() + RunMs, [this, Index] { --Running[Index]; });
    Events.at(Events.now() + RunMs + Settings.OneWayMs,
              [this, Start, Known = Tried.back()] {
                Known->InFlight.fetch_sub(1);
                Latencies.push_back(Events.now() - Start);
              });
  }

  std::size_t choose(model_vm &Vm, const std::vector<endpoint_pointer> &Tried) {
    switch (Settings.Policy) {
    case endpoint_choice_policy::RoundRobin:
      return Vm.Turn++ % Vm.Known.size();
    case endpoint_choice_policy::LeastReported:
      return chooseLeast(Vm, Tried, [&](std::size_t Index) {
        return static_cast<double>(Reported[Index]);
      });
    case endpoint_choice_policy::TwoChoices: {
      const std::size_t First = Random() % Vm.Known.size();
      const std::size_t Second = Random() % Vm.Known.size();
      return Vm.Known[First]->InFlight <= Vm.Known[Second]->InFlight ? First
                                                                     : Second;
    }
    case endpoint_choice_policy::LeastInFlight:
      return chooseLeast(Vm, Tried, [&](std::size_t Index) {
        return static_cast<double>(Vm.Known[Index]->InFlight.load());
      });
    case endpoint_choice_policy::LeastInFlightWaiting:
      break;
    }
    const auto Chosen =
        endpoint_set(Vm.Known).choose({}, Tried, now(), Vm.Turn++);
    return static_cast<std::size_t>(std::ranges::find(Vm.Known, Chosen) -
                                    Vm.Known.begin());
  }

  /** Chooses an untried endpoint with the lowest cost. Ties go to the next one
     in round-robin order. */
  template <typename Cost>
  std::size_t chooseLeast(model_vm &Vm,
                          const std::vector<endpoint_pointer> &Tried,
                          Cost CostOf) {
    const std::size_t Count = Vm.Known.size();
    const std::size_t Offset = Vm.Turn++;
    std::size_t Best = Offset % Count;
    double BestCost = 1e9;
    for (std::size_t Step = 0; Step < Count; ++Step) {
      const std::size_t Index = (Offset + Step) % Count;
      const bool IsTried =
          std::ranges::find(Tried, Vm.Known[Index]) != Tried.end();
      if (!IsTried && CostOf(Index) < BestCost) {
        Best = Index;
        BestCost = CostOf(Index);
      }
    }
    return Best;
  }

  upstream_model_result summarise() {
    std::ranges::sort(Latencies);
    const auto At = [&](double Part) {
      return Latencies[static_cast<std::size_t>(
          Part * static_cast<double>(Latencies.size() - 1))];
    };
    return {At(0.5), At(0.99), At(0.999),
            100.0 * Refused / static_cast<double>(Settings.Requests)};
  }

  const upstream_model_settings Settings;
  std::mt19937_64 Random;
  event_queue Events;
  // Running requests by endpoint: now, and at the last report.
  std::vector<unsigned> Running;
  std::vector<unsigned> Reported;
  std::vector<model_vm> Vms;
  std::vector<double> Latencies;
  unsigned Arrived = 0;
  unsigned Refused = 0;
};

} // namespace

std::string_view choiceName(endpoint_choice_policy Policy) {
  switch (Policy) {
  case endpoint_choice_policy::RoundRobin:
    return "round robin";
  case endpoint_choice_policy::LeastReported:
    return "least reported load";
  case endpoint_choice_policy::TwoChoices:
    return "two choices";
  case endpoint_choice_policy::LeastInFlight:
    return "least in flight";
  case endpoint_choice_policy::LeastInFlightWaiting:
    break;
  }
  return "least in flight, waiting";
}

upstream_model_result
runUpstreamModel(const upstream_model_settings &Settings) {
  return upstream_model(Settings).run();
}

} // namespace sesamepaddle
