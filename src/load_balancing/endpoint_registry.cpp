#include "sesamepaddle/load_balancing/endpoint_registry.h"

#include "sesamepaddle/steering/rendezvous.h"

#include <algorithm>

namespace sesamepaddle {

namespace {

// Backoff after the first failed connection attempt: short, since a lost packet
// affects a single attempt. It doubles with each failure in a row, since a
// restarting endpoint refuses connections for seconds.
constexpr std::chrono::milliseconds InitialBackoff{250};
// Limits the backoff, so that an endpoint that has recovered gets requests
// again soon.
constexpr std::chrono::milliseconds MaxBackoff{2'000};
// Objects recorded for each endpoint. Endpoints themselves keep a few tens of
// objects.
constexpr std::size_t MaxKnownObjects = 64;
// Age up to which a reported load is used: about the duration of a request.
constexpr std::chrono::milliseconds MaxLoadAge{400};
// An endpoint that restarted and is cold reports this with its next heartbeat,
// which is read within this time: heartbeats are sent every 1.5 s, records are
// read every second.
constexpr std::chrono::milliseconds ColdReportDelay{2'600};

// Endpoints whose announcements are kept for when their records lapse and come
// back: more than leave in the time that an outage of the store may last.
constexpr std::size_t MaxAnnouncements = 1'024;

bool isSameProcess(const endpoint_record &Left, const endpoint_record &Right) {
  return Left.StartedAt == Right.StartedAt && Left.Address == Right.Address;
}

} // namespace

bool isOutdated(const endpoint_record &Record, const endpoint_record &Known) {
  if (Record.StartedAt != Known.StartedAt)
    return Record.StartedAt < Known.StartedAt;
  // Heartbeats of two processes that started at the same time can't be
  // compared.
  return Record.Address == Known.Address && Record.Sequence && Known.Sequence &&
         *Record.Sequence < *Known.Sequence;
}

void fleet_endpoint::addFailure(time_point Now) {
  const unsigned Doublings = std::min(FailuresInRow, 3U);
  ++FailuresInRow;
  const auto Backoff = std::min<std::chrono::milliseconds>(
      InitialBackoff * (1U << Doublings), MaxBackoff);
  AvoidUntil = Now + Backoff;
}

void fleet_endpoint::markPossiblyCold(time_point Now) {
  PossiblyColdUntil = std::max(PossiblyColdUntil, Now + ColdReportDelay);
}

void fleet_endpoint::addAnswer() {
  FailuresInRow = 0;
  AvoidUntil = {};
}

bool fleet_endpoint::addKnownObject(std::uint64_t ObjectHash, time_point Now) {
  const bool IsNew = KnownObjects.insert_or_assign(ObjectHash, Now).second;
  if (KnownObjects.size() > MaxKnownObjects)
    KnownObjects.erase(
        std::min_element(KnownObjects.begin(), KnownObjects.end(),
                         [](const auto &Left, const auto &Right) {
                           return Left.second < Right.second;
                         }));
  return IsNew;
}

void fleet_endpoint::noteLoad(const reported_load &Reported, time_point Now) {
  Load = Reported;
  LoadReportedAt = Now;
  if (!Reported.Pace)
    return;
  Pace = *Reported.Pace;
  PaceReportedAt = Now;
}

unsigned fleet_endpoint::knownLoad(time_point Now) const {
  const unsigned AllInFlight = InFlight + PeerInFlight;
  if (Now - LoadReportedAt > MaxLoadAge)
    return AllInFlight;
  return std::max(AllInFlight, Load.Running + Load.Waiting);
}

std::string endpoint_registry::apply(const endpoint_record &Record,
                                     time_point Now) {
  const auto Known = Endpoints.find(Record.Id);
  if (Known != Endpoints.end() && isOutdated(Record, Known->second->Record))
    return "stale";
  RemovalTimes.erase(Record.Id);
  auto &Endpoint = Endpoints[Record.Id];
  const bool IsSameIncarnation =
      Endpoint && Endpoint->Record.StartedAt == Record.StartedAt &&
      Endpoint->Record.Address == Record.Address &&
      Endpoint->Record.Service == Record.Service;
  std::string Change;
  if (!IsSameIncarnation) {
    const service_name Former =
        Endpoint ? Endpoint->Record.Service : service_name();
    Endpoint = std::make_shared<fleet_endpoint>();
    Endpoint->Hash = stableHash(Record.Id.view());
    ByHash[Endpoint->Hash] = Endpoint;
    Endpoint->Record = Record;
    recall(*Endpoint);
    Change = "joined";
    if (!Former.empty() && Former != Record.Service)
      rebuild(Former);
    rebuild(Record.Service);
  } else if (Record.IsLeaving != Endpoint->Record.IsLeaving) {
    Change = Record.IsLeaving ? "leaving" : "staying";
  }
  Endpoint->Record = Record;
  Endpoint->ColdUntil = Now + Record.ColdRemaining;
  return Change;
}

endpoint_registry::announcement *
endpoint_registry::announcementOf(const endpoint_record &Record) {
  const auto Known = Endpoints.find(Record.Id);
  if (Known != Endpoints.end() &&
      Known->second->Record.StartedAt > Record.StartedAt)
    return nullptr;
  auto &Entry = Announced[Record.Id];
  if (Entry.StartedAt > Record.StartedAt)
    return nullptr;
  if (Entry.StartedAt != Record.StartedAt || Entry.Address != Record.Address)
    Entry = {Record.StartedAt, Record.Address, false, {}, 0};
  Entry.Order = ++AnnouncementsMade;
  if (Announced.size() > MaxAnnouncements)
    Announced.erase(std::min_element(Announced.begin(), Announced.end(),
                                     [](const auto &Left, const auto &Right) {
                                       return Left.second.Order <
                                              Right.second.Order;
                                     }));
  return &Entry;
}

void endpoint_registry::recall(fleet_endpoint &Endpoint) const {
  const auto Found = Announced.find(Endpoint.Record.Id);
  if (Found == Announced.end() ||
      Found->second.StartedAt != Endpoint.Record.StartedAt ||
      Found->second.Address != Endpoint.Record.Address)
    return;
  Endpoint.IsLeavingReported = Found->second.IsLeaving;
  Endpoint.QuietUntil = Found->second.QuietUntil;
}

void endpoint_registry::noteLeaving(const endpoint_record &Record) {
  auto *Announcement = announcementOf(Record);
  if (Announcement == nullptr)
    return;
  Announcement->IsLeaving = true;
  // The record may have lapsed and come back since the request was sent.
  const auto Known = find(Record.Id);
  if (Known && isSameProcess(Known->Record, Record))
    recall(*Known);
}

void endpoint_registry::noteQuiet(const endpoint_record &Record,
                                  time_point Until) {
  auto *Announcement = announcementOf(Record);
  if (Announcement == nullptr)
    return;
  Announcement->QuietUntil = std::max(Announcement->QuietUntil, Until);
  const auto Known = find(Record.Id);
  if (Known && isSameProcess(Known->Record, Record))
    recall(*Known);
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
  ByHash.erase(Found->second->Hash);
  Endpoints.erase(Found);
  RemovalTimes.erase(Id);
  rebuild(Service);
  return true;
}

void endpoint_registry::retain(std::span<const endpoint_id> Present,
                               std::optional<time_point> UsableUntil) {
  std::vector<endpoint_id> Missing;
  for (const auto &[Id, Endpoint] : Endpoints)
    if (std::find(Present.begin(), Present.end(), Id) == Present.end())
      Missing.push_back(Id);
  for (const auto &Id : Missing)
    remove(Id, UsableUntil);
}

void endpoint_registry::prolongRemovals(time_point Until) {
  for (auto &[Id, UsableUntil] : RemovalTimes)
    UsableUntil = std::max(UsableUntil, Until);
}

void endpoint_registry::expire(time_point Now) {
  std::vector<endpoint_id> Expired;
  for (const auto &[Id, Until] : RemovalTimes)
    if (Until <= Now)
      Expired.push_back(Id);
  for (const auto &Id : Expired)
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
    // The median, since a few bad endpoints do not raise it.
    const auto Median =
        Shares.begin() + static_cast<std::ptrdiff_t>(Shares.size() / 2);
    std::nth_element(Shares.begin(), Median, Shares.end());
    const double Usual = *Median;
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
  const auto Found = ByHash.find(Hash);
  return Found == ByHash.end() ? nullptr : Found->second;
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
