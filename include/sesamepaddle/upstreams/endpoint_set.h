#ifndef SESAMEPADDLE_UPSTREAMS_ENDPOINT_SET_H
#define SESAMEPADDLE_UPSTREAMS_ENDPOINT_SET_H

#include "sesamepaddle/core/clock.h"
#include "sesamepaddle/core/identifiers.h"

#include <atomic>
#include <cstddef>
#include <memory>
#include <span>
#include <string>
#include <vector>

namespace sesamepaddle {

/** What this VM knows about one endpoint. Shared by all threads. */
struct endpoint_state {
  std::string Address;
  failure_domain_name FailureDomain;
  unsigned Slots = 1; ///< requests that it can run at the same time
  std::atomic<unsigned> InFlight{0}; ///< slots that this VM uses

  /** Records a connection that could not be opened. The endpoint is avoided for
      a time that doubles with each consecutive failure, up to a bound. */
  void addFailure(time_point Now);

  /** Records an answer, which ends the avoidance and resets its time. */
  void addAnswer();

  /** @returns true while the endpoint is avoided after failures. */
  bool isAvoided(time_point Now) const;

private:
  std::atomic<unsigned> Failures{0};        ///< consecutive
  std::atomic<duration::rep> AvoidUntil{0}; ///< ticks since the clock's epoch
};

/** Holds one of an endpoint's slots for its lifetime. */
class endpoint_lease {
public:
  explicit endpoint_lease(std::shared_ptr<endpoint_state> Endpoint);
  ~endpoint_lease();
  endpoint_lease(endpoint_lease &&) noexcept = default;
  endpoint_lease &operator=(endpoint_lease &&) = delete;
  endpoint_lease(const endpoint_lease &) = delete;
  endpoint_lease &operator=(const endpoint_lease &) = delete;

  const endpoint_state &endpoint() const { return *Endpoint; }

private:
  std::shared_ptr<endpoint_state> Endpoint;
};

/** The endpoints of one version of an upstream. Immutable except for the
    endpoints' counters. */
class endpoint_set {
public:
  explicit endpoint_set(std::vector<std::shared_ptr<endpoint_state>> Endpoints);

  /** @returns the endpoint to try next, of those not in @p Excluded, or null.
      Prefers endpoints that are not avoided, then those in @p Domain, then the
      lowest share of slots in use.
      @param Turn  grows with each call, so that equal endpoints take turns */
  std::shared_ptr<endpoint_state>
  choose(const failure_domain_name &Domain,
         std::span<const std::shared_ptr<endpoint_state>> Excluded,
         time_point Now, std::size_t Turn) const;

  std::span<const std::shared_ptr<endpoint_state>> endpoints() const {
    return Endpoints;
  }

private:
  std::vector<std::shared_ptr<endpoint_state>> Endpoints;
};

} // namespace sesamepaddle

#endif
