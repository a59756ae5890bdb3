#ifndef SESAMEPADDLE_LOAD_BALANCING_ENDPOINT_REGISTRY_H
#define SESAMEPADDLE_LOAD_BALANCING_ENDPOINT_REGISTRY_H

#include "sesamepaddle/core/clock.h"
#include "sesamepaddle/core/identifiers.h"
#include "sesamepaddle/load_balancing/endpoint_health.h"
#include "sesamepaddle/load_balancing/load_report.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <unordered_map>
#include <vector>

namespace sesamepaddle {

using endpoint_id = identifier<struct endpoint_tag>;

/** What an endpoint has registered in the store. */
struct endpoint_record {
  endpoint_id Id;
  std::string Address; ///< IP address and port
  service_name Service;
  version_name Version;
  failure_domain_name FailureDomain;
  region_name Region;
  unsigned Slots = 1;     ///< requests that it runs at the same time
  bool IsLeaving = false; ///< shutting down, takes no new requests
  std::chrono::milliseconds ColdRemaining{0}; ///< until it has warmed up
  /** Distinguishes incarnations with the same id; a later one is larger. */
  std::int64_t StartedAt = 0;
  /** Number of the heartbeat that wrote the record; rises within an
      incarnation. Unset: the record has none. */
  std::optional<std::uint64_t> Sequence;
};

/** @returns true when the endpoint wrote @p Record before @p Known: in an
    earlier incarnation, or with an earlier heartbeat of the same one. The store
    may carry out such a write late. */
bool isOutdated(const endpoint_record &Record, const endpoint_record &Known);

/** An endpoint as this VM sees it: its record and what is known from its
    answers and from other VMs. */
struct fleet_endpoint {
  endpoint_record Record;
  std::uint64_t Hash = 0; ///< of the id, the same on all VMs

  unsigned InFlight = 0;     ///< requests that this VM has sent and awaits
  unsigned PeerInFlight = 0; ///< the same for other VMs, as last reported
  reported_load Load;        ///< the latest
  time_point LoadReportedAt{};
  /** The latest reported_load::Pace. It may change many times a second. */
  double Pace = 1;
  time_point PaceReportedAt{}; ///< time_point{}: never

  time_point ColdUntil{};         ///< end of its warm-up, from its record
  time_point PossiblyColdUntil{}; ///< set by markPossiblyCold()
  time_point NextColdSend{}; ///< earliest time of the next request while cold

  unsigned FailuresInRow = 0; ///< consecutive, see addFailure()
  time_point AvoidUntil{};    ///< end of the backoff of addFailure()
  endpoint_health Health;
  /** Hashes of the objects that it has served for any VM, with their last use.
      It is faster on these. Bounded; the least recently used one is dropped. */
  std::unordered_map<std::uint64_t, time_point> KnownObjects;
  bool IsReplaced = false; ///< another instance has answered at its address
  /** The endpoint itself reported that it is leaving, whatever its record says.
      @see endpoint_registry::noteLeaving */
  bool IsLeavingReported = false;
  /** The endpoint itself asked for no requests until then.
      @see endpoint_registry::noteQuiet */
  time_point QuietUntil{};
  std::optional<time_point> RemovedAt; ///< never set at present

  bool isCold(time_point Now) const {
    return Now < ColdUntil || Now < PossiblyColdUntil;
  }
  bool isAvoided(time_point Now) const { return Now < AvoidUntil; }
  bool isQuiet(time_point Now) const { return Now < QuietUntil; }

  /** Counts a connection attempt that was refused or timed out, whether it was
      made for a request or as a check after a lost connection. The endpoint is
      avoided for a backoff that doubles with each failure in a row. */
  void addFailure(time_point Now);

  /** Treats the endpoint as cold for as long as it may take until its next
      heartbeat is read: it may have restarted, which its record does not show
      yet. */
  void markPossiblyCold(time_point Now);

  /** Stores what the endpoint said about its load in an answer. */
  void noteLoad(const reported_load &Reported, time_point Now);

  /** Ends the backoff of addFailure(), as an answer shows that the endpoint can
      be reached. */
  void addAnswer();

  /** Records that the endpoint has served an object and so is faster on it.
      @returns true when the object was not recorded before */
  bool addKnownObject(std::uint64_t ObjectHash, time_point Now);

  /** @returns true when the endpoint is recorded as having served the
      object. */
  bool knows(std::uint64_t ObjectHash) const {
    return KnownObjects.contains(ObjectHash);
  }

  /** @returns the number of requests that it runs or queues: those in flight
      from all VMs, or what it reported recently if that is more. */
  unsigned knownLoad(time_point Now) const;
};

using endpoint_pointer = std::shared_ptr<fleet_endpoint>;

/** All endpoints that are registered in the store. Not thread-safe. */
class endpoint_registry {
public:
  /** Adds or updates an endpoint. What is known of it is kept unless its
      incarnation, address or service has changed.
      @returns the change for the log, or an empty string; "stale" when the
      record is outdated and was ignored */
  std::string apply(const endpoint_record &Record, time_point Now);

  /** Records that the endpoint that registered @p Record has reported that it
      is leaving. Later records of the same incarnation do not undo it, not even
      after the endpoint has been removed. */
  void noteLeaving(const endpoint_record &Record);

  /** Records that the endpoint that registered @p Record has asked for no
      requests until @p Until. A shorter time does not end a longer one. Kept as
      with noteLeaving(). */
  void noteQuiet(const endpoint_record &Record, time_point Until);

  /** Removes an endpoint. Requests that were sent to it continue.
      @param UsableUntil  when set, an endpoint that is not leaving is removed
                          only then, by expire(): its record may have expired
                          because the store was unavailable
      @returns true when the endpoint was known */
  bool remove(const endpoint_id &Id, std::optional<time_point> UsableUntil);

  /** Calls remove() for all endpoints that are not in @p Present. */
  void retain(std::span<const endpoint_id> Present,
              std::optional<time_point> UsableUntil);

  /** Sets the time of all endpoints with a UsableUntil to @p Until, where that
      is later. */
  void prolongRemovals(time_point Until);

  /** Removes the endpoints whose UsableUntil has passed. */
  void expire(time_point Now);

  /** Updates isSuspect() of all endpoints from their recent answers. To be
      called several times a second.
      @param OnChange  called with each endpoint for which it changed */
  void judge(time_point Now,
             const std::function<void(const fleet_endpoint &)> &OnChange);

  /** @returns the endpoints of @p Service, sorted by id. */
  std::span<const endpoint_pointer> of(const service_name &Service) const;

  endpoint_pointer find(const endpoint_id &Id) const;

  /** @returns the endpoint whose id has this hash, or null. */
  endpoint_pointer findByHash(std::uint64_t Hash) const;

  /** Calls @p Visit with each endpoint. */
  template <typename Function> void forEach(Function Visit) const {
    for (const auto &[Id, Endpoint] : Endpoints)
      Visit(*Endpoint);
  }

  std::size_t size() const { return Endpoints.size(); }

  /** @returns the number of endpoints that are usable although their records
      are gone. */
  std::size_t inGrace() const { return RemovalTimes.size(); }

  /** @returns the number of incarnations whose announcements are kept. */
  std::size_t announcements() const { return Announced.size(); }

private:
  /** What one incarnation of an endpoint has said about itself in answers. */
  struct announcement {
    std::int64_t StartedAt = 0;
    std::string Address;
    bool IsLeaving = false;
    time_point QuietUntil{};
    std::uint64_t Order = 0; ///< larger for a later one
  };

  /** @returns the place for what the endpoint of @p Record says, or null when a
      later incarnation has spoken or registered. */
  announcement *announcementOf(const endpoint_record &Record);

  /** Sets what @p Endpoint has said before its record came back. */
  void recall(fleet_endpoint &Endpoint) const;

  /** Recomputes the list of @p Service in ByService. */
  void rebuild(const service_name &Service);

  std::map<endpoint_id, endpoint_pointer> Endpoints;
  std::unordered_map<service_name, std::vector<endpoint_pointer>> ByService;
  std::unordered_map<std::uint64_t, endpoint_pointer> ByHash;
  /** Endpoints whose record is gone but that stay usable until the given
      time. */
  std::map<endpoint_id, time_point> RemovalTimes;
  std::map<endpoint_id, announcement> Announced;
  std::uint64_t AnnouncementsMade = 0;
};

} // namespace sesamepaddle

#endif
