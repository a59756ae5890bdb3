#include "sesamepaddle/load_balancing/endpoint_choice.h"

#include "sesamepaddle/load_balancing/load_estimate.h"
#include "sesamepaddle/steering/rendezvous.h"

#include <algorithm>
#include <cmath>
#include <optional>
#include <vector>

namespace sesamepaddle {

namespace {

// Load per slot at which an endpoint gets the smallest share among those that
// are alike.
constexpr double FullLoad = 1.5;
constexpr double MinFreeRoom = 0.1; ///< share of the slots, of a full one
// Known objects that weigh as much as a wait of one run: an endpoint that holds
// several busy objects has a queue at times.
constexpr double ObjectsPerRun = 3;

/** A candidate with what it is expected to cost. */
struct judged_candidate {
  const endpoint_candidate *Candidate;
  double Wait;      ///< for a slot, and for the way
  double Deviation; ///< of Wait
  double Load;      ///< requests per slot
};

double slotsOf(const endpoint_candidate &Candidate) {
  return std::max(1U, Candidate.Endpoint->Record.Slots);
}

judged_candidate judge(const endpoint_candidate &Candidate,
                       const choice_options &Options, time_point Now) {
  const auto Load = estimateLoad(*Candidate.Endpoint, Now);
  const double Slots = slotsOf(Candidate);
  double Way = 0;
  if (Candidate.Distance == endpoint_distance::SameRegion)
    Way = Options.SameRegionCost;
  if (Candidate.Distance == endpoint_distance::OtherRegion)
    Way = Options.OtherRegionCost;
  return {&Candidate, Way + std::max(0.0, Load.Requests + 1 - Slots) / Slots,
          Load.Deviation / Slots, Load.Requests / Slots};
}

/** @returns one of those that know the object and are not distinguishable from
    the best one, by this VM's own order of them. */
chosen_endpoint shareAlike(std::span<const judged_candidate> Knowing,
                           const judged_candidate &Best,
                           const choice_request &Request,
                           const choice_options &Options) {
  chosen_endpoint Chosen;
  double BestScore = -1;
  std::size_t Alike = 0;
  for (const auto &Candidate : Knowing) {
    const double Tolerance = Options.AlikeDeviations *
                             std::hypot(Candidate.Deviation, Best.Deviation);
    if (Candidate.Wait > Best.Wait + Tolerance)
      continue;
    ++Alike;
    const double Room = std::max(MinFreeRoom, FullLoad - Candidate.Load);
    const double Score =
        rendezvousScore(Request.ObjectHash ^ Request.ChooserHash,
                        Candidate.Candidate->Endpoint->Hash,
                        Room * slotsOf(*Candidate.Candidate));
    if (Score > BestScore) {
      BestScore = Score;
      Chosen.Endpoint = Candidate.Candidate->Endpoint;
    }
  }
  Chosen.Reason = Alike > 1 ? choice_reason::Shared : choice_reason::Known;
  return Chosen;
}

/** @returns the best of the first few in rendezvous order that do not know the
    object: the one with the fewest objects, as their number stays true for
    longer than a load. */
std::optional<judged_candidate>
findNewHome(std::span<const endpoint_candidate> Candidates,
            const choice_options &Options, time_point Now) {
  std::vector<const endpoint_candidate *> Order;
  for (const auto &Candidate : Candidates)
    if (!Candidate.KnowsObject)
      Order.push_back(&Candidate);
  const auto Count = std::min(Options.NewHomeCandidates, Order.size());
  std::partial_sort(
      Order.begin(), Order.begin() + static_cast<std::ptrdiff_t>(Count),
      Order.end(),
      [](const endpoint_candidate *Left, const endpoint_candidate *Right) {
        return Left->Rank > Right->Rank;
      });
  std::optional<judged_candidate> Best;
  double LeastCost = 0;
  for (std::size_t Index = 0; Index < Count; ++Index) {
    const auto Judged = judge(*Order[Index], Options, Now);
    const double Cost =
        Judged.Wait +
        static_cast<double>(Order[Index]->Endpoint->KnownObjects.size()) /
            ObjectsPerRun;
    if (!Best || Cost < LeastCost) {
      Best = Judged;
      LeastCost = Cost;
    }
  }
  return Best;
}

} // namespace

endpoint_distance distanceOf(const endpoint_record &Record,
                             const region_name &Region,
                             const failure_domain_name &Domain) {
  if (Record.Region != Region)
    return endpoint_distance::OtherRegion;
  return Record.FailureDomain == Domain ? endpoint_distance::SameDomain
                                        : endpoint_distance::SameRegion;
}

std::string_view nameOf(endpoint_distance Distance) {
  switch (Distance) {
  case endpoint_distance::SameDomain:
    return "domain";
  case endpoint_distance::SameRegion:
    return "region";
  case endpoint_distance::OtherRegion:
    return "other-region";
  }
  return "";
}

double distance_weights::of(endpoint_distance Distance) const {
  switch (Distance) {
  case endpoint_distance::SameDomain:
    return 1;
  case endpoint_distance::SameRegion:
    return SameRegion;
  case endpoint_distance::OtherRegion:
    return OtherRegion;
  }
  return 1;
}

distance_weights weighDistances(std::span<const endpoint_pointer> Endpoints,
                                const region_name &Region,
                                const failure_domain_name &Domain,
                                double CallerShare,
                                const choice_options &Options) {
  const distance_weights Weights{Options.SameRegionWeight,
                                 Options.OtherRegionWeight};
  double OwnSlots = 0;
  double OtherSlots = 0;
  double OwnWeight = 0;
  for (const auto &Endpoint : Endpoints) {
    const auto &Record = Endpoint->Record;
    const double Slots = std::max(1U, Record.Slots);
    const auto Distance = distanceOf(Record, Region, Domain);
    if (Distance == endpoint_distance::OtherRegion) {
      OtherSlots += Slots;
      continue;
    }
    OwnSlots += Slots;
    OwnWeight += Slots * Weights.of(Distance);
  }
  if (CallerShare <= 0 || OwnSlots <= 0 || OtherSlots <= 0)
    return Weights;
  const double SlotShare = OwnSlots / (OwnSlots + OtherSlots);
  const double Stay = std::min(Options.MaxStay, SlotShare / CallerShare);
  return {Options.SameRegionWeight,
          OwnWeight * (1 - Stay) / (Stay * OtherSlots)};
}

std::string_view nameOf(choice_reason Reason) {
  switch (Reason) {
  case choice_reason::InOrder:
    return "in-order";
  case choice_reason::Known:
    return "known";
  case choice_reason::Shared:
    return "shared";
  case choice_reason::NewHome:
    return "new-home";
  case choice_reason::Copy:
    return "copy";
  case choice_reason::Filled:
    return "filled";
  case choice_reason::Overflow:
    return "overflow";
  }
  return "";
}

chosen_endpoint chooseEndpoint(std::span<const endpoint_candidate> Candidates,
                               const choice_request &Request,
                               const choice_options &Options, time_point Now) {
  if (Candidates.empty())
    return {};
  std::vector<judged_candidate> Knowing;
  for (const auto &Candidate : Candidates)
    if (Candidate.KnowsObject)
      Knowing.push_back(judge(Candidate, Options, Now));
  const auto Best = std::min_element(Knowing.begin(), Knowing.end(),
                                     [](const auto &Left, const auto &Right) {
                                       return Left.Wait < Right.Wait;
                                     });
  if (Best == Knowing.end())
    return {findNewHome(Candidates, Options, Now)->Candidate->Endpoint,
            choice_reason::NewHome};
  const auto First = std::max_element(
      Candidates.begin(), Candidates.end(),
      [](const endpoint_candidate &Left, const endpoint_candidate &Right) {
        return Left.Rank < Right.Rank;
      });
  if (!First->KnowsObject && Request.Draw < Options.FillChance &&
      First->Endpoint->KnownObjects.size() < Options.MinKnownObjects)
    return {First->Endpoint, choice_reason::Filled};
  // A request that would wait for several runs has nothing to lose by running
  // from nothing at an endpoint with room.
  const bool IsOverflow = 1 + Best->Wait > Options.UnknownObjectCost;
  const bool IsCopyDue = Best->Wait >= Options.CopyWait &&
                         Knowing.size() < Options.MaxCopies &&
                         1 - Request.Draw <= Options.CopyChance;
  if (IsOverflow || IsCopyDue)
    if (const auto New = findNewHome(Candidates, Options, Now)) {
      if (IsOverflow && 1 + Best->Wait > Options.UnknownObjectCost + New->Wait)
        return {New->Candidate->Endpoint, choice_reason::Overflow};
      if (IsCopyDue && New->Wait < Best->Wait)
        return {New->Candidate->Endpoint, choice_reason::Copy};
    }
  return shareAlike(Knowing, *Best, Request, Options);
}

} // namespace sesamepaddle
