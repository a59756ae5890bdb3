#ifndef SESAMEPADDLE_TESTS_LOAD_BALANCING_LOAD_FLEET_H
#define SESAMEPADDLE_TESTS_LOAD_BALANCING_LOAD_FLEET_H

#include "sesamepaddle/load_balancing/placement.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <queue>
#include <random>
#include <string>
#include <unordered_map>
#include <vector>

namespace sesamepaddle {

/** How the VMs of a load_fleet choose endpoints. */
enum class load_policy : std::uint8_t {
  Placement,     ///< placeRequest()
  LeastLoaded,   ///< the shortest expected time by the VM's own news
  PerfectView,   ///< the shortest expected time by the endpoints' true state
  RendezvousOnly ///< the first in rendezvous order, whatever its load
};

/** A fleet, its service and its load. Times are in seconds. */
struct load_plan {
  unsigned Vms = 90;
  /** Of each failure domain; domains 2k and 2k + 1 form region k. */
  std::vector<unsigned> EndpointsByDomain = {12, 12, 48, 48, 57, 57};
  unsigned Slots = 3;
  unsigned MaxWaiting = 9;
  double Work = 0.54; ///< mean for an object that the endpoint does not know
  double WorkSpread = 0.15;
  double KnownObjectWork = 0.3; ///< as a part of Work
  std::size_t ObjectsKept = 11; ///< by an endpoint, the last used ones
  std::size_t Objects = 246;    ///< their callers are in one domain each
  double HotShare = 0;          ///< of the requests, for one object
  double RequestsPerSecond = 830;
  double Swing = 0;          ///< of a region's rate, the regions a third apart
  double Period = 36;        ///< of the swing
  double NearNews = 1;       ///< between messages to the VMs of the same region
  double FarNews = 4;        ///< between messages to the others
  double LostNews = 0;       ///< share of the messages
  double SlowShare = 0;      ///< of the endpoints, at any moment
  double SlowFactor = 2.5;   ///< of their work
  double SlowDuration = 0.6; ///< mean
  double CrossDomainDelay = 0.004; ///< one way
  double CrossRegionDelay = 0.012;
  double LatencyObjective = 0.4;
  double Duration = 20;
  double WarmUp = 5; ///< at the start, not measured
  /** Region 0 and the others do not reach each other in this time. */
  double CutFrom = 0;
  double CutUntil = 0;
  /** The first PausedVms VMs of each domain act on no news in this time. */
  unsigned PausedVms = 0;
  double PauseFrom = 0;
  double PauseUntil = 0;
  bool AreFiguresSent = true; ///< the endpoints tell their load and pace
  std::uint64_t Seed = 1;
  load_policy Policy = load_policy::Placement;
};

/** What the callers of a load_fleet saw after its warm-up. */
struct load_result {
  std::size_t Requests = 0;
  double InTime = 0;     ///< share answered within the latency objective
  double MeanTime = 0;   ///< seconds, of answered ones
  double TurnedAway = 0; ///< share that no endpoint took
  /** Share that met a queue or was turned away while an endpoint of the service
      had a free slot. */
  double WaitedInVain = 0;
  double BusiestOverMean = 0; ///< time average of running and waiting ones
  /** Mean over samples of the same ratio at one moment. */
  double PeakOverMean = 0;
  double Known = 0;       ///< share that ran where the object was known
  double OtherDomain = 0; ///< share run in another domain of the region
  double OtherRegion = 0; ///< share run in another region
  /** Largest change of the share of a region's requests that run in another
      region, from one window of 2 s to the next. */
  double MaxShift = 0;
  double Copies = 0;         ///< endpoints that know an object, mean at the end
  double WorstDomain = 0;    ///< the lowest InTime of a caller's domain
  std::size_t Unreached = 0; ///< sent across a cut

  std::string toString() const;
};

/** VMs that place requests by their own news of a service's endpoints, in the
    test's own time. */
class load_fleet {
public:
  explicit load_fleet(load_plan Plan);

  /** Plays the plan once. */
  load_result run();

private:
  struct work_item {
    std::size_t Vm;
    std::size_t Domain; ///< of the caller
    std::uint64_t Object;
    double SentAt; ///< by the caller
    unsigned Attempts = 0;
    std::size_t Endpoint = 0;
    bool HasWaited = false;
    bool HasWaitedInVain = false;
    bool IsKnown = false;
  };
  struct true_endpoint {
    std::size_t Domain;
    unsigned Running = 0;
    std::deque<std::size_t> Waiting;                ///< indices of Items
    std::unordered_map<std::uint64_t, double> Kept; ///< last use
    bool IsSlow = false;
    double LoadIntegral = 0;
    double IntegratedUntil = 0;
  };
  struct view {
    endpoint_registry Registry;
    std::vector<endpoint_pointer> Endpoints; ///< by index
    std::vector<std::pair<std::size_t, std::uint64_t>> NearUpdates;
    std::vector<std::pair<std::size_t, std::uint64_t>> FarUpdates;
    /** In-flight requests that other VMs have told, with the arrival. */
    std::vector<
        std::pair<double, std::vector<std::pair<std::size_t, unsigned>>>>
        Told;
    std::size_t Domain = 0;
    std::size_t Rank = 0;
  };
  using event = std::pair<double, std::function<void()>>;
  struct is_later {
    bool operator()(const event &Left, const event &Right) const {
      return Left.first > Right.first;
    }
  };

  void at(double Time, std::function<void()> Action);
  double random() { return std::uniform_real_distribution<>(0, 1)(Random); }
  std::size_t regionOf(std::size_t Domain) const { return Domain / 2; }
  double delay(std::size_t From, std::size_t To) const;
  bool isCut(std::size_t From, std::size_t To) const;
  bool isPaused(std::size_t Vm) const;
  time_point now() const;

  void scheduleArrival(std::size_t Domain);
  void arriveAtVm(std::size_t Domain);
  void place(std::size_t Item, const std::vector<endpoint_pointer> &Excluded);
  std::size_t choose(const work_item &Item,
                     const std::vector<endpoint_pointer> &Excluded);
  reported_load loadOf(const true_endpoint &Endpoint) const;
  void arriveAtEndpoint(std::size_t Item);
  void start(std::size_t Item);
  void finish(std::size_t Item);
  void answer(std::size_t Item, bool HasRun, reported_load Load);
  void end(const work_item &Item, bool HasRun);
  void sendNews(std::size_t Vm, bool ToFar);
  void refreshLoads(std::size_t Vm);
  void sample();
  void changePace(std::size_t Endpoint);
  void integrate(true_endpoint &Endpoint);

  load_plan Plan;
  std::mt19937_64 Random;
  double Now = 0;
  std::priority_queue<event, std::vector<event>, is_later> Events;
  std::vector<true_endpoint> Endpoints;
  std::vector<view> Vms;
  std::vector<std::vector<std::size_t>> VmsOf; ///< by domain
  std::vector<work_item> Items;
  std::size_t FreeEndpoints = 0;

  // Counts after the warm-up.
  std::size_t Ended = 0, Answered = 0, InTime = 0, Refused = 0, InVain = 0,
              KnownCount = 0, CrossDomain = 0, CrossRegion = 0, Unreached = 0;
  double TimeSum = 0, PeakSum = 0;
  std::size_t Samples = 0;
  std::map<std::size_t, std::pair<std::size_t, std::size_t>> ByDomain;
  /** By region and window of 2 s: all, and those run elsewhere. */
  std::map<std::pair<std::size_t, int>, std::pair<double, double>> Windows;
};

} // namespace sesamepaddle

#endif
