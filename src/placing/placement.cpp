#include "sesamepaddle/placing/placement.h"

#include "sesamepaddle/routing/fleet_configuration.h"
#include "sesamepaddle/steering/rendezvous.h"

#include <algorithm>
#include <limits>

namespace sesamepaddle {

namespace {

// VMs that send to the same cold endpoint: one request of each may fall into
// the same second, which stays below the tolerated rate with its slack.
constexpr std::size_t MaxColdSenders = 6;

struct candidate {
  endpoint_pointer Endpoint;
  double Score = 0;
  bool IsKnowing = false;
  bool IsNear = false;
  bool IsPreferred = false; ///< for knowing the object, or for knowing few
  unsigned Waiting = 0;     ///< requests that one more would wait for
};

bool isUsable(const fleet_endpoint &Endpoint, const placement_request &Request,
              const placement_limits &Limits) {
  const auto &Record = Endpoint.Record;
  if (Record.IsLeaving || Endpoint.IsReplaced || Endpoint.IsLeavingReported)
    return false;
  const auto &Version = Request.Version;
  if (!Version.RequiredVersion.empty() &&
      Record.Version != Version.RequiredVersion)
    return false;
  if (!Version.ExcludedVersion.empty() &&
      Record.Version == Version.ExcludedVersion)
    return false;
  if (Limits.EvacuatedDomains.contains(Record.FailureDomain))
    return false;
  return isRegionAllowed(Record.Region, Request.RouteHomes,
                         Request.WorkspaceHomes);
}

bool isExcluded(const endpoint_pointer &Endpoint,
                const placement_request &Request) {
  return std::find(Request.Excluded.begin(), Request.Excluded.end(),
                   Endpoint) != Request.Excluded.end();
}

/** @returns true when this VM is one of those that send to the endpoint while
    it is cold, and its next request is due. */
bool isColdSendDue(const fleet_endpoint &Endpoint,
                   const placement_limits &Limits, time_point Now) {
  if (Limits.ColdRequestsPerSecond <= 0)
    return true;
  const std::size_t Vms = std::max<std::size_t>(Limits.Vms, 1);
  const std::size_t Turn = (Limits.VmRank + Endpoint.Hash % Vms) % Vms;
  return Turn < MaxColdSenders && Now >= Endpoint.NextColdSend;
}

void countColdSend(fleet_endpoint &Endpoint, const placement_limits &Limits,
                   time_point Now) {
  if (Limits.ColdRequestsPerSecond <= 0)
    return;
  const auto Senders =
      std::min(std::max<std::size_t>(Limits.Vms, 1), MaxColdSenders);
  const double Seconds =
      static_cast<double>(Senders) / Limits.ColdRequestsPerSecond;
  // Never more than one request a second from each sender: the bound counts
  // any second, and all senders may fall into the same one.
  Endpoint.NextColdSend =
      Now + std::chrono::microseconds(
                static_cast<std::int64_t>(std::max(Seconds, 1.0) * 1e6));
}

bool isHealthy(const fleet_endpoint &Endpoint, time_point Now) {
  return !Endpoint.isAvoided(Now) && !Endpoint.Health.isSuspect();
}

double loadOf(const fleet_endpoint &Endpoint, time_point Now) {
  return static_cast<double>(Endpoint.knownLoad(Now)) /
         std::max(1U, Endpoint.Record.Slots);
}

unsigned waitingAt(const fleet_endpoint &Endpoint, time_point Now) {
  const unsigned Load = Endpoint.knownLoad(Now) + 1;
  const unsigned Slots = std::max(1U, Endpoint.Record.Slots);
  return Load > Slots ? Load - Slots : 0;
}

std::vector<candidate>
orderCandidates(std::span<const endpoint_pointer> Endpoints,
                const placement_request &Request,
                const placement_limits &Limits,
                const placement_options &Options, time_point Now) {
  std::vector<candidate> Order;
  Order.reserve(Endpoints.size());
  for (const auto &Endpoint : Endpoints) {
    if (!isUsable(*Endpoint, Request, Limits) || isExcluded(Endpoint, Request))
      continue;
    const bool IsNear = Endpoint->Record.Region == Request.CallerRegion;
    const double Weight = std::max(1U, Endpoint->Record.Slots) *
                          (IsNear ? 1.0 : Options.RemoteWeight);
    Order.push_back(
        {Endpoint, rendezvousScore(Request.ObjectHash, Endpoint->Hash, Weight),
         Endpoint->knows(Request.ObjectHash), IsNear,
         Endpoint->knows(Request.ObjectHash), waitingAt(*Endpoint, Now)});
  }
  // Callers that move to another region take their objects' endpoints along;
  // endpoints that come take over no objects but their first few.
  const auto First =
      std::max_element(Order.begin(), Order.end(),
                       [](const candidate &Left, const candidate &Right) {
                         return Left.Score < Right.Score;
                       });
  if (First != Order.end() &&
      First->Endpoint->KnownObjects.size() < Options.MinKnownObjects &&
      isHealthy(*First->Endpoint, Now))
    First->IsPreferred = First->IsNear = true;
  // Of those that know the object one with a free slot is as good as another,
  // and keeps the order; where all are busy the shortest queue goes first.
  std::sort(Order.begin(), Order.end(),
            [](const candidate &Left, const candidate &Right) {
              if (Left.IsPreferred != Right.IsPreferred)
                return Left.IsPreferred;
              if (Left.IsPreferred && Left.IsNear != Right.IsNear)
                return Left.IsNear;
              if (Left.IsPreferred && Left.Waiting != Right.Waiting)
                return Left.Waiting < Right.Waiting;
              return Left.Score > Right.Score;
            });
  return Order;
}

} // namespace

placed_endpoint placeRequest(std::span<const endpoint_pointer> Endpoints,
                             const placement_request &Request,
                             const placement_limits &Limits,
                             const placement_options &Options, time_point Now) {
  const auto Order = orderCandidates(Endpoints, Request, Limits, Options, Now);
  if (Order.empty())
    return {placement_result::NoEndpoint, nullptr};
  endpoint_pointer Cheapest;
  double LeastCost = std::numeric_limits<double>::max();
  std::size_t Asked = 0;
  for (const bool WantsHealthy : {true, false}) {
    for (const auto &Candidate : Order) {
      const auto &Endpoint = Candidate.Endpoint;
      if (isHealthy(*Endpoint, Now) != WantsHealthy)
        continue;
      if (Endpoint->isCold(Now)) {
        if (Cheapest || !isColdSendDue(*Endpoint, Limits, Now))
          continue;
        countColdSend(*Endpoint, Limits, Now);
        return {placement_result::Placed, Endpoint};
      }
      // Where all are busy, the time until the answer decides: waiting where
      // the object is known against running it from nothing.
      const double Load = loadOf(*Endpoint, Now);
      const double Cost =
          (Candidate.IsKnowing ? 1.0 : Options.UnknownObjectCost) * (1 + Load);
      const bool IsFree =
          Load < (Candidate.IsKnowing ? Options.KnownObjectFullLoad
                                      : Options.FullLoad);
      if (IsFree && Cost < LeastCost)
        return {placement_result::Placed, Endpoint};
      if (Cost < LeastCost) {
        LeastCost = Cost;
        Cheapest = Endpoint;
      }
      if (!Candidate.IsKnowing && ++Asked >= Options.MaxCandidates)
        break;
    }
    if (Cheapest)
      return {placement_result::Placed, Cheapest};
  }
  return {placement_result::AllFull, nullptr};
}

} // namespace sesamepaddle
