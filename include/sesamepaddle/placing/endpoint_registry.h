#ifndef SESAMEPADDLE_PLACING_ENDPOINT_REGISTRY_H
#define SESAMEPADDLE_PLACING_ENDPOINT_REGISTRY_H

#include "sesamepaddle/core/clock.h"
#include "sesamepaddle/core/identifiers.h"
#include "sesamepaddle/placing/endpoint_health.h"

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

/** What an endpoint says of itself in the store. */
struct endpoint_record {
  endpoint_id Id;
  std::string Address; ///< IP number and port
  service_name Service;
  version_name Version;
  failure_domain_name FailureDomain;
  region_name Region;
  unsigned Slots = 1;
  bool IsLeaving = false;
  std::chrono::milliseconds ColdRemaining{0};
  std::int64_t StartedAt = 0; ///< tells lives under the same id apart
};

/** The load that an endpoint told with an answer. */
struct reported_load {
  unsigned Running = 0;
  unsigned Waiting = 0;
  unsigned Slots = 0;
};

/** An endpoint as this VM sees it: its record, and what its answers showed. */
struct fleet_endpoint {
  endpoint_record Record;
  std::uint64_t Hash = 0; ///< of the id; the same on all VMs

  unsigned InFlight = 0;     ///< requests of this VM
  unsigned PeerInFlight = 0; ///< of other VMs, as they last told
  reported_load Load;
  time_point LoadReportedAt{};

  time_point ColdUntil{}; ///< as its record says
  time_point
      PossiblyColdUntil{};   ///< may be cold although its record does not say
  time_point NextColdSend{}; ///< earliest next request while cold

  unsigned FailuresInRow = 0; ///< connections refused, dark or lost
  time_point AvoidUntil{};
  endpoint_health Health;
  /** Objects that it has answered for, at any VM, with their last use. */
  std::unordered_map<std::uint64_t, time_point> KnownObjects;
  bool IsReplaced = false; ///< another instance answers at its address
  bool IsLeavingReported =
      false; ///< it said so itself while the record did not
  std::optional<time_point> RemovedAt;

  bool isCold(time_point Now) const {
    return Now < ColdUntil || Now < PossiblyColdUntil;
  }
  bool isAvoided(time_point Now) const { return Now < AvoidUntil; }

  /** Counts a connection that was refused, stayed dark or was lost at work. */
  void addFailure(time_point Now);

  /** Treats the endpoint as cold until its next record must have come. */
  void markPossiblyCold(time_point Now);

  /** Counts an answer, which shows that the endpoint can be reached. */
  void addAnswer();

  /** Notes that the endpoint has answered for an object, so that it is faster
      the next time. @returns true when that is news */
  bool addKnownObject(std::uint64_t ObjectHash, time_point Now);

  bool knows(std::uint64_t ObjectHash) const {
    return KnownObjects.contains(ObjectHash);
  }

  /** @returns the requests that it runs or queues, as far as is known. */
  unsigned knownLoad(time_point Now) const;
};

using endpoint_pointer = std::shared_ptr<fleet_endpoint>;

/** All endpoints that the store names. Not safe for threads. */
class endpoint_registry {
public:
  /** Takes a record in; keeps what is known of the same life.
      @returns what changed, for the log, or an empty string. */
  std::string apply(const endpoint_record &Record, time_point Now);

  /** Takes an endpoint out. Requests that hold it go on.
      @param UsableUntil  when set, it may still be used until then, as its
                         record may have lapsed while the store was away
      @returns true when there was one */
  bool remove(const endpoint_id &Id, std::optional<time_point> UsableUntil);

  /** Takes out all endpoints that are not in @p Present. */
  void retain(std::span<const endpoint_id> Present,
              std::optional<time_point> UsableUntil);

  /** Drops the endpoints whose stay has ended. */
  void expire(time_point Now);

  /** Judges all endpoints by their answers of late. To be called several times
      a second.
      @param OnChange  called with each endpoint that is judged otherwise */
  void judge(time_point Now,
             const std::function<void(const fleet_endpoint &)> &OnChange);

  /** @returns the endpoints of @p Service, in the order of their ids. */
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

private:
  void rebuild(const service_name &Service);

  std::map<endpoint_id, endpoint_pointer> Endpoints;
  std::unordered_map<service_name, std::vector<endpoint_pointer>> ByService;
  std::unordered_map<std::uint64_t, endpoint_id> IdByHash;
  std::map<endpoint_id, time_point> RemovalTimes;
};

} // namespace sesamepaddle

#endif
