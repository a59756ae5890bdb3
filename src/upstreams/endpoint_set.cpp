#include "sesamepaddle/upstreams/endpoint_set.h"

#include <algorithm>
#include <utility>

namespace sesamepaddle {

namespace {

using std::chrono::milliseconds;

// An endpoint is avoided this long after its first failure. The time doubles
// with each further one, at most MaxDoublings times: up to 3.2 s.
constexpr milliseconds ShortestAvoidance{100};
constexpr unsigned MaxDoublings = 5;

duration::rep toCount(time_point Time) {
  return Time.time_since_epoch().count();
}

/** Orders endpoints for the next request; the smallest rank is the best. */
struct endpoint_rank {
  bool IsAvoided;
  bool IsForeign; ///< not in the failure domain that is preferred
  double Load;    ///< share of the slots in use

  friend auto operator<=>(const endpoint_rank &,
                          const endpoint_rank &) = default;
};

bool contains(std::span<const std::shared_ptr<endpoint_state>> Endpoints,
              const std::shared_ptr<endpoint_state> &Endpoint) {
  return std::ranges::find(Endpoints, Endpoint) != Endpoints.end();
}

} // namespace

void endpoint_state::addFailure(time_point Now) {
  const unsigned Doublings = std::min(Failures.fetch_add(1), MaxDoublings);
  AvoidUntil.store(toCount(Now + ShortestAvoidance * (1U << Doublings)));
}

void endpoint_state::addAnswer() {
  if (Failures.load(std::memory_order_relaxed) == 0)
    return;
  Failures.store(0);
  AvoidUntil.store(0);
}

bool endpoint_state::isAvoided(time_point Now) const {
  return toCount(Now) < AvoidUntil.load(std::memory_order_relaxed);
}

endpoint_lease::endpoint_lease(std::shared_ptr<endpoint_state> Endpoint)
    : Endpoint(std::move(Endpoint)) {
  this->Endpoint->InFlight.fetch_add(1);
}

endpoint_lease::~endpoint_lease() {
  if (Endpoint)
    Endpoint->InFlight.fetch_sub(1);
}

endpoint_set::endpoint_set(
    std::vector<std::shared_ptr<endpoint_state>> Endpoints)
    : Endpoints(std::move(Endpoints)) {}

std::shared_ptr<endpoint_state>
endpoint_set::choose(const failure_domain_name &Domain,
                     std::span<const std::shared_ptr<endpoint_state>> Excluded,
                     time_point Now, std::size_t Turn) const {
  std::shared_ptr<endpoint_state> Best;
  endpoint_rank BestRank{};
  for (std::size_t Step = 0; Step < Endpoints.size(); ++Step) {
    const auto &Endpoint = Endpoints[(Turn + Step) % Endpoints.size()];
    if (contains(Excluded, Endpoint))
      continue;
    const endpoint_rank Rank{
        Endpoint->isAvoided(Now), Endpoint->FailureDomain != Domain,
        static_cast<double>(Endpoint->InFlight.load()) / Endpoint->Slots};
    if (!Best || Rank < BestRank) {
      Best = Endpoint;
      BestRank = Rank;
    }
  }
  return Best;
}

} // namespace sesamepaddle
