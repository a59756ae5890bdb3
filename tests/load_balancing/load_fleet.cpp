#include "load_balancing/load_fleet.h"

#include "sesamepaddle/steering/rendezvous.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <cstdio>
#include <limits>
#include <numbers>
#include <utility>

namespace sesamepaddle {

namespace {

const time_point Start = time_point(std::chrono::hours(1));
// As fleet_state does: the interval at which it sums up what others told, and
// the number of message intervals for which that counts.
constexpr double RefreshInterval = 0.1;
constexpr double NewsLifetimeIntervals = 1.6;
constexpr double MinNewsLifetime = 0.8;
constexpr double SampleInterval = 0.1;
constexpr double ShiftWindow = 2;
// Requests of a window below which the change of its share is not judged.
constexpr double MinWindowRequests = 50;

std::uint64_t objectHash(std::uint64_t Object) {
  return stableHash("orders/" + std::to_string(Object));
}

} // namespace

std::string load_result::toString() const {
  std::array<char, 256> Text{};
  std::snprintf(
      Text.data(), Text.size(),
      "in time %.3f (worst domain %.3f) mean %.0f ms, away %.4f, in vain %.4f, "
      "busiest/mean %.2f, peak/mean %.2f, known %.3f, domain %.3f, region "
      "%.3f, shift %.3f, copies %.2f",
      InTime, WorstDomain, MeanTime * 1e3, TurnedAway, WaitedInVain,
      BusiestOverMean, PeakOverMean, Known, OtherDomain, OtherRegion, MaxShift,
      Copies);
  return Text.data();
}

load_fleet::load_fleet(load_plan Given)
    : Plan(std::move(Given)), Random(Plan.Seed) {
  const std::size_t Domains =
      std::max<std::size_t>(1, Plan.EndpointsByDomain.size());
  for (std::size_t Domain = 0; Domain < Plan.EndpointsByDomain.size(); ++Domain)
    for (unsigned Number = 0; Number < Plan.EndpointsByDomain[Domain]; ++Number)
      Endpoints.push_back({Domain, 0, {}, {}, false, 0, 0});
  FreeEndpoints = Endpoints.size();
  VmsOf.resize(Domains);
  Vms.resize(Plan.Vms);
  for (std::size_t Vm = 0; Vm < Vms.size(); ++Vm) {
    auto &View = Vms[Vm];
    View.Domain = Vm % Domains;
    View.Rank = Vm;
    VmsOf[View.Domain].push_back(Vm);
    View.Told.resize(Vms.size(), {-1e9, {}});
    for (std::size_t Number = 0; Number < Endpoints.size(); ++Number) {
      const auto Domain = Endpoints[Number].Domain;
      endpoint_record Record;
      Record.Id = endpoint_id("i-" + std::to_string(Number));
      Record.Address = "10.0.0.1:" + std::to_string(Number);
      Record.Service = service_name("orders");
      Record.Region = region_name("region-" + std::to_string(regionOf(Domain)));
      Record.FailureDomain =
          failure_domain_name("domain-" + std::to_string(Domain));
      Record.Slots = Plan.Slots;
      Record.StartedAt = 1;
      View.Registry.apply(Record, Start);
    }
    for (std::size_t Number = 0; Number < Endpoints.size(); ++Number)
      View.Endpoints.push_back(
          View.Registry.find(endpoint_id("i-" + std::to_string(Number))));
  }
}

void load_fleet::at(double Time, std::function<void()> Action) {
  Events.emplace(Time, std::move(Action));
}

time_point load_fleet::now() const {
  return Start +
         std::chrono::microseconds(static_cast<std::int64_t>(Now * 1e6));
}

double load_fleet::delay(std::size_t From, std::size_t To) const {
  if (From == To)
    return 0;
  return regionOf(From) == regionOf(To) ? Plan.CrossDomainDelay
                                        : Plan.CrossRegionDelay;
}

bool load_fleet::isCut(std::size_t From, std::size_t To) const {
  return Now >= Plan.CutFrom && Now < Plan.CutUntil &&
         (regionOf(From) == 0) != (regionOf(To) == 0);
}

bool load_fleet::isPaused(std::size_t Vm) const {
  return Now >= Plan.PauseFrom && Now < Plan.PauseUntil &&
         Vm / Plan.EndpointsByDomain.size() < Plan.PausedVms;
}

load_result load_fleet::run() {
  for (std::size_t Domain = 0; Domain < VmsOf.size(); ++Domain)
    scheduleArrival(Domain);
  for (std::size_t Vm = 0; Vm < Vms.size(); ++Vm) {
    at(random() * Plan.NearNews, [this, Vm] { sendNews(Vm, false); });
    at(random() * Plan.FarNews, [this, Vm] { sendNews(Vm, true); });
    at(random() * RefreshInterval, [this, Vm] { refreshLoads(Vm); });
  }
  if (Plan.SlowShare > 0)
    for (std::size_t Endpoint = 0; Endpoint < Endpoints.size(); ++Endpoint) {
      Endpoints[Endpoint].IsSlow = random() < Plan.SlowShare;
      at(random() * Plan.SlowDuration,
         [this, Endpoint] { changePace(Endpoint); });
    }
  at(Plan.WarmUp, [this] {
    for (auto &Endpoint : Endpoints) {
      integrate(Endpoint);
      Endpoint.LoadIntegral = 0;
    }
    sample();
  });
  while (!Events.empty() && Events.top().first < Plan.Duration) {
    const auto Action = Events.top().second;
    Now = Events.top().first;
    Events.pop();
    Action();
  }
  load_result Result;
  const auto Share = [](double Part, double All) {
    return All > 0 ? Part / All : 0;
  };
  const auto Number = [](std::size_t Count) {
    return static_cast<double>(Count);
  };
  Result.Requests = Ended;
  Result.InTime = Share(Number(InTime), Number(Ended));
  Result.MeanTime = Share(TimeSum, Number(Answered));
  Result.TurnedAway = Share(Number(Refused), Number(Ended));
  Result.WaitedInVain = Share(Number(InVain), Number(Ended));
  Result.Known = Share(Number(KnownCount), Number(Answered));
  Result.OtherDomain = Share(Number(CrossDomain), Number(Answered));
  Result.OtherRegion = Share(Number(CrossRegion), Number(Answered));
  Result.Unreached = Unreached;
  Result.PeakOverMean = Share(PeakSum, Number(Samples));
  double Sum = 0;
  double Most = 0;
  std::map<std::uint64_t, double> Copies;
  for (auto &Endpoint : Endpoints) {
    integrate(Endpoint);
    Sum += Endpoint.LoadIntegral;
    Most = std::max(Most, Endpoint.LoadIntegral);
    for (const auto &[Object, LastUse] : Endpoint.Kept)
      if (Now - LastUse < 5)
        ++Copies[Object];
  }
  for (const auto &[Object, Count] : Copies)
    Result.Copies += Count / Number(Copies.size());
  Result.BusiestOverMean = Share(Most * Number(Endpoints.size()), Sum);
  Result.WorstDomain = 1;
  for (const auto &[Domain, Counts] : ByDomain)
    Result.WorstDomain = std::min(
        Result.WorstDomain, Share(Number(Counts.second), Number(Counts.first)));
  for (const auto &[Key, Counts] : Windows) {
    const auto Next = Windows.find({Key.first, Key.second + 1});
    const bool IsWhole = (Key.second + 2) * ShiftWindow <= Plan.Duration &&
                         Key.second * ShiftWindow >= Plan.WarmUp;
    if (IsWhole && Next != Windows.end() &&
        std::min(Counts.first, Next->second.first) >= MinWindowRequests)
      Result.MaxShift = std::max(
          Result.MaxShift, std::abs(Counts.second / Counts.first -
                                    Next->second.second / Next->second.first));
  }
  return Result;
}

void load_fleet::scheduleArrival(std::size_t Domain) {
  const auto Domains = static_cast<double>(VmsOf.size());
  const double Most = Plan.RequestsPerSecond / Domains * (1 + Plan.Swing);
  const double Phase =
      static_cast<double>(regionOf(Domain)) / std::ceil(Domains / 2);
  const double Pause = -std::log(1 - random()) / Most;
  at(Now + Pause, [this, Domain, Phase] {
    const double Rate = 1 + Plan.Swing * std::sin(2 * std::numbers::pi *
                                                  (Now / Plan.Period + Phase));
    if (random() * (1 + Plan.Swing) < Rate)
      arriveAtVm(Domain);
    scheduleArrival(Domain);
  });
}

void load_fleet::arriveAtVm(std::size_t Domain) {
  const auto &Local = VmsOf[Domain];
  const auto Domains = VmsOf.size();
  const std::size_t Vm = Local[static_cast<std::size_t>(
      random() * static_cast<double>(Local.size()))];
  // Objects have their callers in one domain, except for the hot one.
  const auto PerDomain = std::max<std::size_t>(1, Plan.Objects / Domains);
  const std::uint64_t Object =
      random() < Plan.HotShare
          ? 0
          : 1 + Domain +
                Domains * static_cast<std::size_t>(
                              random() * static_cast<double>(PerDomain));
  Items.push_back({Vm, Domain, Object, Now});
  place(Items.size() - 1, {});
}

void load_fleet::place(std::size_t Item,
                       const std::vector<endpoint_pointer> &Excluded) {
  auto &Request = Items[Item];
  const std::size_t Chosen = choose(Request, Excluded);
  if (Chosen == Endpoints.size()) {
    end(Request, false);
    return;
  }
  ++Request.Attempts;
  Request.Endpoint = Chosen;
  auto &Seen = *Vms[Request.Vm].Endpoints[Chosen];
  const auto From = Vms[Request.Vm].Domain;
  const auto To = Endpoints[Chosen].Domain;
  if (isCut(From, To)) {
    ++Unreached;
    Seen.addFailure(now());
    if (Request.Attempts >= 3) {
      end(Request, false);
      return;
    }
    auto Tried = Excluded;
    Tried.push_back(Vms[Request.Vm].Endpoints[Chosen]);
    place(Item, Tried);
    return;
  }
  ++Seen.InFlight;
  at(Now + delay(From, To), [this, Item] { arriveAtEndpoint(Item); });
}

std::size_t load_fleet::choose(const work_item &Item,
                               const std::vector<endpoint_pointer> &Excluded) {
  auto &View = Vms[Item.Vm];
  placement_request Request;
  Request.ObjectHash = objectHash(Item.Object);
  Request.CallerRegion =
      region_name("region-" + std::to_string(regionOf(View.Domain)));
  Request.Excluded = Excluded;
  if (Plan.Policy == load_policy::Placement) {
    placement_limits Limits;
    Limits.Vms = Vms.size();
    Limits.VmRank = View.Rank;
    const auto Placed = placeRequest(View.Registry.of(service_name("orders")),
                                     Request, Limits, {}, now());
    const auto Found = std::find(View.Endpoints.begin(), View.Endpoints.end(),
                                 Placed.Endpoint);
    return static_cast<std::size_t>(Found - View.Endpoints.begin());
  }
  std::size_t Best = Endpoints.size();
  double BestCost = std::numeric_limits<double>::max();
  double BestScore = 0;
  for (std::size_t Index = 0; Index < Endpoints.size(); ++Index) {
    const auto &Seen = *View.Endpoints[Index];
    if (std::find(Excluded.begin(), Excluded.end(), View.Endpoints[Index]) !=
        Excluded.end())
      continue;
    const auto &Endpoint = Endpoints[Index];
    const bool IsPerfect = Plan.Policy == load_policy::PerfectView;
    if (IsPerfect ? isCut(View.Domain, Endpoint.Domain) : Seen.isAvoided(now()))
      continue;
    const bool Knows = IsPerfect ? Endpoint.Kept.contains(Item.Object)
                                 : Seen.knows(Request.ObjectHash);
    const auto Load =
        IsPerfect
            ? Endpoint.Running + static_cast<unsigned>(Endpoint.Waiting.size())
            : Seen.knownLoad(now());
    const double Pace = IsPerfect && Endpoint.IsSlow ? Plan.SlowFactor : 1;
    const double Queue = std::max(0.0, Load + 1.0 - Plan.Slots) / Plan.Slots;
    double Cost = Plan.Work * Pace *
                      ((Knows ? Plan.KnownObjectWork : 1) +
                       Queue * (Plan.KnownObjectWork + 1) / 2) +
                  2 * delay(View.Domain, Endpoint.Domain);
    if (Plan.Policy == load_policy::RendezvousOnly)
      Cost = 0;
    const double Score = rendezvousScore(Request.ObjectHash, Seen.Hash, 1);
    if (Cost < BestCost || (Cost == BestCost && Score > BestScore)) {
      BestCost = Cost;
      BestScore = Score;
      Best = Index;
    }
  }
  return Best;
}

void load_fleet::integrate(true_endpoint &Endpoint) {
  Endpoint.LoadIntegral +=
      (Now - Endpoint.IntegratedUntil) *
      static_cast<double>(Endpoint.Running + Endpoint.Waiting.size());
  Endpoint.IntegratedUntil = Now;
}

reported_load load_fleet::loadOf(const true_endpoint &Endpoint) const {
  reported_load Load;
  Load.Running = Endpoint.Running;
  Load.Waiting = static_cast<unsigned>(Endpoint.Waiting.size());
  Load.Slots = Plan.Slots;
  return Load;
}

void load_fleet::arriveAtEndpoint(std::size_t Item) {
  auto &Request = Items[Item];
  auto &Endpoint = Endpoints[Request.Endpoint];
  integrate(Endpoint);
  if (Endpoint.Running < Plan.Slots) {
    start(Item);
    return;
  }
  Request.HasWaited = true;
  Request.HasWaitedInVain = Request.HasWaitedInVain || FreeEndpoints > 0;
  if (Endpoint.Waiting.size() < Plan.MaxWaiting) {
    Endpoint.Waiting.push_back(Item);
    return;
  }
  const auto Load = loadOf(Endpoint);
  at(Now + delay(Endpoint.Domain, Vms[Request.Vm].Domain),
     [this, Item, Load] { answer(Item, false, Load); });
}

void load_fleet::start(std::size_t Item) {
  auto &Request = Items[Item];
  auto &Endpoint = Endpoints[Request.Endpoint];
  if (++Endpoint.Running == Plan.Slots)
    --FreeEndpoints;
  Request.IsKnown = Endpoint.Kept.contains(Request.Object);
  Endpoint.Kept[Request.Object] = Now;
  if (Endpoint.Kept.size() > Plan.ObjectsKept)
    Endpoint.Kept.erase(
        std::min_element(Endpoint.Kept.begin(), Endpoint.Kept.end(),
                         [](const auto &Left, const auto &Right) {
                           return Left.second < Right.second;
                         }));
  double Work = Plan.Work * (Request.IsKnown ? Plan.KnownObjectWork : 1) *
                (Endpoint.IsSlow ? Plan.SlowFactor : 1);
  Work *= std::exp(std::normal_distribution<>(0, Plan.WorkSpread)(Random));
  at(Now + Work, [this, Item] { finish(Item); });
}

void load_fleet::finish(std::size_t Item) {
  auto &Request = Items[Item];
  auto &Endpoint = Endpoints[Request.Endpoint];
  integrate(Endpoint);
  if (Endpoint.Running-- == Plan.Slots)
    ++FreeEndpoints;
  if (!Endpoint.Waiting.empty()) {
    const auto Next = Endpoint.Waiting.front();
    Endpoint.Waiting.pop_front();
    start(Next);
  }
  const auto Load = loadOf(Endpoint);
  at(Now + delay(Endpoint.Domain, Vms[Request.Vm].Domain),
     [this, Item, Load] { answer(Item, true, Load); });
}

void load_fleet::answer(std::size_t Item, bool HasRun, reported_load Load) {
  auto &Request = Items[Item];
  auto &View = Vms[Request.Vm];
  auto &Seen = *View.Endpoints[Request.Endpoint];
  --Seen.InFlight;
  if (Plan.AreFiguresSent) {
    Seen.Load = Load;
    Seen.LoadReportedAt = now();
  }
  Seen.addAnswer();
  if (HasRun) {
    const auto Hash = objectHash(Request.Object);
    if (Seen.addKnownObject(Hash, now())) {
      View.NearUpdates.emplace_back(Request.Endpoint, Hash);
      View.FarUpdates.emplace_back(Request.Endpoint, Hash);
    }
    end(Request, true);
    return;
  }
  if (Request.Attempts >= 2) {
    end(Request, false);
    return;
  }
  place(Item, {View.Endpoints[Request.Endpoint]});
}

void load_fleet::end(const work_item &Item, bool HasRun) {
  const auto Region = regionOf(Item.Domain);
  const auto EndpointDomain =
      HasRun ? Endpoints[Item.Endpoint].Domain : Item.Domain;
  const bool IsElsewhere = regionOf(EndpointDomain) != Region;
  if (HasRun) {
    auto &Window =
        Windows[{Region, static_cast<int>(Item.SentAt / ShiftWindow)}];
    ++Window.first;
    Window.second += IsElsewhere ? 1 : 0;
  }
  if (Item.SentAt < Plan.WarmUp)
    return;
  ++Ended;
  auto &Counts = ByDomain[Item.Domain];
  ++Counts.first;
  InVain += Item.HasWaitedInVain ? 1 : 0;
  if (!HasRun) {
    ++Refused;
    return;
  }
  ++Answered;
  TimeSum += Now - Item.SentAt;
  if (Now - Item.SentAt <= Plan.LatencyObjective) {
    ++InTime;
    ++Counts.second;
  }
  KnownCount += Item.IsKnown ? 1 : 0;
  CrossRegion += IsElsewhere ? 1 : 0;
  CrossDomain += !IsElsewhere && EndpointDomain != Item.Domain ? 1 : 0;
}

void load_fleet::sendNews(std::size_t Vm, bool ToFar) {
  auto &Sender = Vms[Vm];
  at(Now + (ToFar ? Plan.FarNews : Plan.NearNews),
     [this, Vm, ToFar] { sendNews(Vm, ToFar); });
  if (isPaused(Vm))
    return;
  std::vector<std::pair<std::size_t, unsigned>> Loads;
  for (std::size_t Index = 0; Index < Endpoints.size(); ++Index)
    if (Sender.Endpoints[Index]->InFlight > 0)
      Loads.emplace_back(Index, Sender.Endpoints[Index]->InFlight);
  const auto Updates =
      std::exchange(ToFar ? Sender.FarUpdates : Sender.NearUpdates, {});
  for (std::size_t Other = 0; Other < Vms.size(); ++Other) {
    auto &Receiver = Vms[Other];
    const bool IsFar = regionOf(Receiver.Domain) != regionOf(Sender.Domain);
    if (Other == Vm || IsFar != ToFar ||
        isCut(Sender.Domain, Receiver.Domain) || isPaused(Other) ||
        random() < Plan.LostNews)
      continue;
    Receiver.Told[Vm] = {Now, Loads};
    for (const auto &[Endpoint, Object] : Updates)
      Receiver.Endpoints[Endpoint]->addKnownObject(Object, now());
  }
}

void load_fleet::refreshLoads(std::size_t Vm) {
  at(Now + RefreshInterval, [this, Vm] { refreshLoads(Vm); });
  if (isPaused(Vm))
    return;
  auto &View = Vms[Vm];
  for (const auto &Endpoint : View.Endpoints)
    Endpoint->PeerInFlight = 0;
  for (std::size_t Other = 0; Other < Vms.size(); ++Other) {
    const auto &[At, Loads] = View.Told[Other];
    const bool IsFar = regionOf(Vms[Other].Domain) != regionOf(View.Domain);
    const double Lifetime =
        std::max(MinNewsLifetime, NewsLifetimeIntervals *
                                      (IsFar ? Plan.FarNews : Plan.NearNews));
    if (Now - At > Lifetime)
      continue;
    for (const auto &[Endpoint, InFlight] : Loads)
      View.Endpoints[Endpoint]->PeerInFlight += InFlight;
  }
}

void load_fleet::sample() {
  at(Now + SampleInterval, [this] { sample(); });
  double Sum = 0;
  double Most = 0;
  for (const auto &Endpoint : Endpoints) {
    const auto Load =
        static_cast<double>(Endpoint.Running + Endpoint.Waiting.size());
    Sum += Load;
    Most = std::max(Most, Load);
  }
  if (Sum <= 0)
    return;
  PeakSum += Most * static_cast<double>(Endpoints.size()) / Sum;
  ++Samples;
}

void load_fleet::changePace(std::size_t Endpoint) {
  Endpoints[Endpoint].IsSlow = random() < Plan.SlowShare;
  at(Now - std::log(1 - random()) * Plan.SlowDuration,
     [this, Endpoint] { changePace(Endpoint); });
}

} // namespace sesamepaddle
