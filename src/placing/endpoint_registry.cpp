#include "sesamepaddle/placing/endpoint_registry.h"

#include "sesamepaddle/steering/rendezvous.h"

#include <algorithm>

namespace sesamepaddle {

namespace {

// First pause after a failed connection; doubles with each failure in a row. An
// endpoint that restarts is refused for seconds, a lost packet for one try.
constexpr std::chrono::milliseconds FirstAvoidance{250};
// Longest pause, so that an endpoint that is back gets work again soon.
constexpr std::chrono::milliseconds LongestAvoidance{2'000};
// Objects of an endpoint that a VM remembers; endpoints keep some tens.
constexpr std::size_t MaxKnownObjects = 64;
// A reported load is trusted for about the length of a request.
constexpr std::chrono::milliseconds LoadTrust{400};
// An endpoint that came back cold says so with its next heartbeat, which is
// read within this time: a heartbeat of 1.5 s and a read each second.
constexpr std::chrono::milliseconds Probation{2'600};

} // namespace

void fleet_endpoint::addFailure(time_point Now) {
  const unsigned Doublings = std::min(FailuresInRow, 3U);
  ++FailuresInRow;
  const auto Pause = std::min<std::chrono::milliseconds>(
      FirstAvoidance * (1U << Doublings), LongestAvoidance);
  AvoidUntil = Now + Pause;
}

void fleet_endpoint::markPossiblyCold(time_point Now) {
  PossiblyColdUntil = std::max(PossiblyColdUntil, Now + Probation);
}

void fleet_endpoint::addAnswer() {
  FailuresInRow = 0;
  AvoidUntil = {};
}

bool fleet_endpoint::addKnownObject(std::uint64_t ObjectHash, time_point Now) {
  const bool IsNews = KnownObjects.insert_or_assign(ObjectHash, Now).second;
  if (KnownObjects.size() > MaxKnownObjects)
    KnownObjects.erase(
        std::min_element(KnownObjects.begin(), KnownObjects.end(),
                         [](const auto &Left, const auto &Right) {
                           return Left.second < Right.second;
                         }));
  return IsNews;
}

unsigned fleet_endpoint::knownLoad(time_point Now) const {
  const unsigned Told = InFlight + PeerInFlight;
  if (Now - LoadReportedAt > LoadTrust)
    return Told;
  return std::max(Told, Load.Running + Load.Waiting);
}

std::string endpoint_registry::apply(const endpoint_record &Record,
                                     time_point Now) {
  const auto Known = Endpoints.find(Record.Id);
  // A heartbeat of an earlier life may be written late.
  if (Known != Endpoints.end() &&
      Record.StartedAt < Known->second->Record.StartedAt)
    return "stale";
  RemovalTimes.erase(Record.Id);
  auto &Slot = Endpoints[Record.Id];
  const bool IsSameLife = Slot && Slot->Record.StartedAt == Record.StartedAt &&
                          Slot->Record.Address == Record.Address &&
                          Slot->Record.Service == Record.Service;
  std::string Change;
  if (!IsSameLife) {
    const service_name Former = Slot ? Slot->Record.Service : service_name();
    Slot = std::make_shared<fleet_endpoint>();
    Slot->Hash = stableHash(Record.Id.view());
    IdByHash[Slot->Hash] = Record.Id;
    Slot->Record = Record;
    Change = "joined";
    if (!Former.empty() && Former != Record.Service)
      rebuild(Former);
    rebuild(Record.Service);
  } else if (Record.IsLeaving && !Slot->Record.IsLeaving) {
    Change = "leaving";
  }
  Slot->Record = Record;
  Slot->ColdUntil = Now + Record.ColdRemaining;
  return Change;
}

bool endpoint_registry::remove(const endpoint_id &Id,
                               std::optional<time_point> UsableUntil) {
  const auto Found = Endpoints.find(Id);
  if (Found == Endpoints.end())
    return false;
  if (UsableUntil && !Found->second->Record.IsLeaving) {
    RemovalTimes.emplace(Id, *UsableUntil);
    return true;
  }
  const service_name Service = Found->second->Record.Service;
  Found->second->Record.IsLeaving = true;
  IdByHash.erase(Found->second->Hash);
  Endpoints.erase(Found);
  RemovalTimes.erase(Id);
  rebuild(Service);
  return true;
}

void endpoint_registry::retain(std::span<const endpoint_id> Present,
                               std::optional<time_point> UsableUntil) {
  std::vector<endpoint_id> Gone;
  for (const auto &[Id, Endpoint] : Endpoints)
    if (std::find(Present.begin(), Present.end(), Id) == Present.end())
      Gone.push_back(Id);
  for (const auto &Id : Gone)
    remove(Id, UsableUntil);
}

void endpoint_registry::expire(time_point Now) {
  std::vector<endpoint_id> Over;
  for (const auto &[Id, Until] : RemovalTimes)
    if (Until <= Now)
      Over.push_back(Id);
  for (const auto &Id : Over)
    remove(Id, std::nullopt);
}

void endpoint_registry::judge(
    time_point Now,
    const std::function<void(const fleet_endpoint &)> &OnChange) {
  for (const auto &[Service, Members] : ByService) {
    std::vector<double> Shares;
    Shares.reserve(Members.size());
    for (const auto &Endpoint : Members)
      Shares.push_back(Endpoint->Health.badShare(Now));
    // The median, so that a few bad endpoints don't raise what is usual.
    const auto Middle =
        Shares.begin() + static_cast<std::ptrdiff_t>(Shares.size() / 2);
    std::nth_element(Shares.begin(), Middle, Shares.end());
    const double Usual = *Middle;
    for (const auto &Endpoint : Members) {
      const bool WasSuspect = Endpoint->Health.isSuspect();
      Endpoint->Health.judge(Usual, Now);
      if (Endpoint->Health.isSuspect() != WasSuspect)
        OnChange(*Endpoint);
    }
  }
}

std::span<const endpoint_pointer>
endpoint_registry::of(const service_name &Service) const {
  const auto Found = ByService.find(Service);
  if (Found == ByService.end())
    return {};
  return Found->second;
}

endpoint_pointer endpoint_registry::find(const endpoint_id &Id) const {
  const auto Found = Endpoints.find(Id);
  return Found == Endpoints.end() ? nullptr : Found->second;
}

endpoint_pointer endpoint_registry::findByHash(std::uint64_t Hash) const {
  const auto Found = IdByHash.find(Hash);
  return Found == IdByHash.end() ? nullptr : find(Found->second);
}

void endpoint_registry::rebuild(const service_name &Service) {
  auto &Members = ByService[Service];
  Members.clear();
  for (const auto &[Id, Endpoint] : Endpoints)
    if (Endpoint && Endpoint->Record.Service == Service)
      Members.push_back(Endpoint);
  if (Members.empty())
    ByService.erase(Service);
}

} // namespace sesamepaddle
