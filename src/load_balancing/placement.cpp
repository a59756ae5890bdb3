#include "sesamepaddle/load_balancing/placement.h"

#include "sesamepaddle/routing/fleet_configuration.h"
#include "sesamepaddle/steering/rendezvous.h"

#include <algorithm>
#include <limits>
#include <optional>

namespace sesamepaddle {

namespace {

// Maximum number of VMs that may send to the same cold endpoint. Each may send
// a request in the same second, which stays within the rate that the endpoint
// tolerates and the slack beyond it.
constexpr std::size_t MaxColdSenders = 6;

/** A usable endpoint with what determines its place in the order. */
struct candidate {
  endpoint_pointer Endpoint;
  double Score = 0; ///< rendezvous score, higher is better
  bool KnowsObject = false;
  bool IsNear = false;      ///< in the caller's region, or ranked as if it were
  bool IsPreferred = false; ///< knows the object, or needs its first objects
  unsigned QueueLength = 0; ///< see queueLengthWithOneMore()
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

/** @returns true when this VM is one of those that may send to the cold
    endpoint and may send its next request now. */
bool isColdSendDue(const fleet_endpoint &Endpoint,
                   const placement_limits &Limits, time_point Now) {
  if (Limits.ColdRequestsPerSecond <= 0)
    return true;
  const std::size_t Vms = std::max<std::size_t>(Limits.Vms, 1);
  // The hash selects different VMs as senders for different endpoints.
  const std::size_t Position = (Limits.VmRank + Endpoint.Hash % Vms) % Vms;
  return Position < MaxColdSenders && Now >= Endpoint.NextColdSend;
}

/** Sets the time of this VM's next request to the cold endpoint, so that all
    senders together stay within the limit. */
void countColdSend(fleet_endpoint &Endpoint, const placement_limits &Limits,
                   time_point Now) {
  if (Limits.ColdRequestsPerSecond <= 0)
    return;
  const auto Senders =
      std::min(std::max<std::size_t>(Limits.Vms, 1), MaxColdSenders);
  const double Seconds =
      static_cast<double>(Senders) / Limits.ColdRequestsPerSecond;
  // At most one request per second from each sender: the limit applies to every
  // window of one second, and the requests of all senders may fall into one.
  Endpoint.NextColdSend =
      Now + std::chrono::microseconds(
                static_cast<std::int64_t>(std::max(Seconds, 1.0) * 1e6));
}

bool isHealthy(const fleet_endpoint &Endpoint, time_point Now) {
  return !Endpoint.isAvoided(Now) && !Endpoint.Health.isSuspect();
}

/** @returns the requests per slot. */
double loadPerSlot(const fleet_endpoint &Endpoint, time_point Now) {
  return static_cast<double>(Endpoint.knownLoad(Now)) /
         std::max(1U, Endpoint.Record.Slots);
}

/** @returns how many requests would wait for a slot if one more was sent. */
unsigned queueLengthWithOneMore(const fleet_endpoint &Endpoint,
                                time_point Now) {
  const unsigned Load = Endpoint.knownLoad(Now) + 1;
  const unsigned Slots = std::max(1U, Endpoint.Record.Slots);
  return Load > Slots ? Load - Slots : 0;
}

/** @returns the endpoints that may be used, in the order in which to consider
    them. */
std::vector<candidate>
orderCandidates(std::span<const endpoint_pointer> Endpoints,
                const placement_request &Request,
                const placement_limits &Limits,
                const placement_options &Options, time_point Now) {
  std::vector<candidate> Order;
  Order.reserve(Endpoints.size());
  for (const auto &Endpoint : Endpoints) {
    if (!isUsable(*Endpoint, Request, Limits) || Endpoint->isQuiet(Now) ||
        isExcluded(Endpoint, Request))
      continue;
    const bool IsNear = Endpoint->Record.Region == Request.CallerRegion;
    const double Weight = std::max(1U, Endpoint->Record.Slots) *
                          (IsNear ? 1.0 : Options.RemoteWeight);
    Order.push_back(
        {Endpoint, rendezvousScore(Request.ObjectHash, Endpoint->Hash, Weight),
         Endpoint->knows(Request.ObjectHash), IsNear,
         Endpoint->knows(Request.ObjectHash),
         queueLengthWithOneMore(*Endpoint, Now)});
  }
  // An object stays with the endpoints that know it when its callers move to
  // another region. A new endpoint takes over only its first few objects.
  const auto First =
      std::max_element(Order.begin(), Order.end(),
                       [](const candidate &Left, const candidate &Right) {
                         return Left.Score < Right.Score;
                       });
  if (First != Order.end() &&
      First->Endpoint->KnownObjects.size() < Options.MinKnownObjects &&
      isHealthy(*First->Endpoint, Now))
    First->IsPreferred = First->IsNear = true;
  // Endpoints that know the object and have a free slot are equivalent and stay
  // in rendezvous order; if all are busy, the shortest queue comes first.
  std::sort(Order.begin(), Order.end(),
            [](const candidate &Left, const candidate &Right) {
              if (Left.IsPreferred != Right.IsPreferred)
                return Left.IsPreferred;
              if (Left.IsPreferred && Left.IsNear != Right.IsNear)
                return Left.IsNear;
              if (Left.IsPreferred && Left.QueueLength != Right.QueueLength)
                return Left.QueueLength < Right.QueueLength;
              return Left.Score > Right.Score;
            });
  return Order;
}

/** @returns the endpoints that may be used, healthy or not. */
std::vector<endpoint_candidate>
evenCandidates(std::span<const endpoint_pointer> Endpoints,
               const placement_request &Request, const placement_limits &Limits,
               const placement_options &Options, time_point Now) {
  std::vector<endpoint_pointer> Usable;
  Usable.reserve(Endpoints.size());
  for (const auto &Endpoint : Endpoints)
    if (isUsable(*Endpoint, Request, Limits) && !Endpoint->isQuiet(Now) &&
        !isExcluded(Endpoint, Request))
      Usable.push_back(Endpoint);
  const auto Weights =
      weighDistances(Usable, Request.CallerRegion, Request.CallerDomain,
                     Limits.CallerShare, Options.Choice);
  std::vector<endpoint_candidate> Candidates;
  Candidates.reserve(Usable.size());
  for (auto &Endpoint : Usable) {
    const auto Distance = distanceOf(Endpoint->Record, Request.CallerRegion,
                                     Request.CallerDomain);
    const double Weight =
        std::max(1U, Endpoint->Record.Slots) * Weights.of(Distance);
    const double Rank =
        rendezvousScore(Request.ObjectHash, Endpoint->Hash, Weight);
    const bool KnowsObject = Endpoint->willKnow(Request.ObjectHash, Now);
    Candidates.push_back({std::move(Endpoint), Distance, Rank, KnowsObject});
  }
  return Candidates;
}

/** Chooses by chooseEndpoint() among the healthy endpoints, else among the
    others. A cold endpoint is used where no warm one is, or to get its first
    objects. */
placed_endpoint placeEvenly(std::span<const endpoint_candidate> Candidates,
                            const placement_request &Request,
                            const placement_limits &Limits,
                            const choice_options &Options, time_point Now) {
  for (const bool WantsHealthy : {true, false}) {
    std::vector<endpoint_candidate> Warm;
    const endpoint_candidate *Cold = nullptr; // the first in order
    double FirstRank = 0;                     // of the warm ones
    for (const auto &Candidate : Candidates) {
      if (isHealthy(*Candidate.Endpoint, Now) != WantsHealthy)
        continue;
      if (!Candidate.Endpoint->isCold(Now)) {
        FirstRank = std::max(FirstRank, Candidate.Rank);
        Warm.push_back(Candidate);
      } else if ((Cold == nullptr || Candidate.Rank > Cold->Rank) &&
                 isColdSendDue(*Candidate.Endpoint, Limits, Now)) {
        Cold = &Candidate;
      }
    }
    const bool IsColdDue =
        Cold != nullptr &&
        (Warm.empty() ||
         (Cold->Rank > FirstRank && Request.Draw < Options.FillChance &&
          Cold->Endpoint->KnownObjects.size() < Options.MinKnownObjects));
    if (IsColdDue) {
      countColdSend(*Cold->Endpoint, Limits, Now);
      return {placement_result::Placed,
              Cold->Endpoint,
              {},
              Warm.empty() ? choice_reason::InOrder : choice_reason::Filled};
    }
    if (Warm.empty())
      continue;
    const auto Chosen = chooseEndpoint(
        Warm, {Request.ObjectHash, Request.ChooserHash, Request.Draw}, Options,
        Now);
    if (!Chosen.Endpoint->willKnow(Request.ObjectHash, Now))
      Chosen.Endpoint->addExpectedObject(Request.ObjectHash, Now);
    return {placement_result::Placed, Chosen.Endpoint, {}, Chosen.Reason};
  }
  return {placement_result::AllFull, nullptr, {}, choice_reason::InOrder};
}

/** @returns when the first endpoint that may be used wants requests again, or
    nothing when none may be used or one wants them now, even if the request has
    been there. */
std::optional<time_point>
endOfQuiet(std::span<const endpoint_pointer> Endpoints,
           const placement_request &Request, const placement_limits &Limits,
           time_point Now) {
  std::optional<time_point> End;
  for (const auto &Endpoint : Endpoints) {
    if (!isUsable(*Endpoint, Request, Limits))
      continue;
    if (!Endpoint->isQuiet(Now))
      return std::nullopt;
    End = std::min(End.value_or(time_point::max()), Endpoint->QuietUntil);
  }
  return End;
}

} // namespace

bool mayUse(const fleet_endpoint &Endpoint, const placement_request &Request,
            const placement_limits &Limits, time_point Now) {
  return isUsable(Endpoint, Request, Limits) && !Endpoint.isQuiet(Now);
}

placed_endpoint placeRequest(std::span<const endpoint_pointer> Endpoints,
                             const placement_request &Request,
                             const placement_limits &Limits,
                             const placement_options &Options, time_point Now) {
  const auto ReplyWithoutAny = [&]() -> placed_endpoint {
    if (const auto End = endOfQuiet(Endpoints, Request, Limits, Now))
      return {placement_result::AllQuiet, nullptr, *End,
              choice_reason::InOrder};
    return {placement_result::NoEndpoint, nullptr, {}, choice_reason::InOrder};
  };
  if (Options.IsEven) {
    const auto Candidates =
        evenCandidates(Endpoints, Request, Limits, Options, Now);
    return Candidates.empty()
               ? ReplyWithoutAny()
               : placeEvenly(Candidates, Request, Limits, Options.Choice, Now);
  }
  const auto Order = orderCandidates(Endpoints, Request, Limits, Options, Now);
  if (Order.empty())
    return ReplyWithoutAny();
  endpoint_pointer Cheapest;
  double LeastCost = std::numeric_limits<double>::max();
  std::size_t WithoutObject = 0;
  // Endpoints that are failing are used only if no other one can be.
  for (const bool WantsHealthy : {true, false}) {
    for (const auto &Candidate : Order) {
      const auto &Endpoint = Candidate.Endpoint;
      if (isHealthy(*Endpoint, Now) != WantsHealthy)
        continue;
      // A cold endpoint is used only if no warm one was considered before it.
      if (Endpoint->isCold(Now)) {
        if (Cheapest || !isColdSendDue(*Endpoint, Limits, Now))
          continue;
        countColdSend(*Endpoint, Limits, Now);
        return {placement_result::Placed, Endpoint, {}, choice_reason::InOrder};
      }
      // If all are busy, the expected time to the answer decides between
      // waiting at an endpoint that knows the object and running at one that
      // does not.
      const double Load = loadPerSlot(*Endpoint, Now);
      const double Cost =
          (Candidate.KnowsObject ? 1.0 : Options.UnknownObjectCost) *
          (1 + Load);
      const bool IsFree =
          Load < (Candidate.KnowsObject ? Options.KnownObjectFullLoad
                                        : Options.FullLoad);
      if (IsFree && Cost < LeastCost)
        return {placement_result::Placed, Endpoint, {}, choice_reason::InOrder};
      if (Cost < LeastCost) {
        LeastCost = Cost;
        Cheapest = Endpoint;
      }
      if (!Candidate.KnowsObject && ++WithoutObject >= Options.MaxCandidates)
        break;
    }
    if (Cheapest)
      return {placement_result::Placed, Cheapest, {}, choice_reason::InOrder};
  }
  return {placement_result::AllFull, nullptr, {}, choice_reason::InOrder};
}

} // namespace sesamepaddle
