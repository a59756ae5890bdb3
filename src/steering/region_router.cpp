#include "sesamepaddle/steering/region_router.h"

#include <algorithm>
#include <utility>

namespace sesamepaddle {

namespace {

using seconds = std::chrono::duration<double>;

// Depth of a bucket, in seconds of its rate. In any second a bucket lets
// through at most its rate plus this depth.
constexpr double DepthSeconds = 0.2;
// A shallower bucket could never hold the token for one request.
constexpr double SmallestDepth = 1; // requests
// Depth of the bucket of a guaranteed rate, in seconds of that rate.
constexpr double GuaranteedDepthSeconds = 1;

// Fraction of a bucket that is reserved for workspaces within their guaranteed
// rate; other requests are refused once only the reserve is left.
constexpr double ReservePart = 0.7;

// A VM requests more than it uses, so that a sudden rise in load finds
// capacity.
constexpr double DemandHeadroomFactor = 1.2;
// Weight of the latest measurement when the demand falls; a rise counts at
// once.
constexpr double DemandSmoothing = 0.5;
// Calls of wanted() that follow each other faster return the last estimate.
constexpr double SmallestInterval = 0.05; // seconds

} // namespace

region_router::region_router(std::vector<region_name> Names, time_point Now) {
  for (auto &Name : Names) {
    const limited_rate Nothing{token_bucket(0, 0, Now), 0, Now, 0};
    Regions.push_back({std::move(Name), Nothing, Nothing, 0, 0, Now});
  }
}

void region_router::setPermanentRate(double RequestsPerSecond, time_point Now) {
  PermanentRate = RequestsPerSecond;
  auto &Own = Regions.front();
  setRate(Own.Capacity, std::max(PermanentRate, Own.Capacity.PerSecond),
          Own.Capacity.Until, Now);
}

void region_router::setGuaranteedRate(const workspace_name &Workspace,
                                      double RequestsPerSecond,
                                      time_point Now) {
  Guaranteed.insert_or_assign(
      Workspace,
      token_bucket(RequestsPerSecond,
                   std::max(1.0, RequestsPerSecond * GuaranteedDepthSeconds),
                   Now));
}

void region_router::applyRegionGrant(const region_name &Region,
                                     const capacity_grant &Grant,
                                     time_point SentAt, time_point Now) {
  region_state *State = find(Region);
  // Once this VM has reported a grant as applied, the allocator regards older
  // ones as unused, so they must not be applied again.
  if (State == nullptr || Grant.Number < State->Capacity.Number)
    return;
  State->Capacity.Number = Grant.Number;
  const double Permanent = State == &Regions.front() ? PermanentRate : 0;
  setRate(State->Capacity, Permanent + Grant.PerSecond, SentAt + Grant.Lease,
          Now);
}

void region_router::applyLinkGrant(const region_name &Region,
                                   const capacity_grant &Grant,
                                   time_point SentAt, time_point Now) {
  region_state *State = find(Region);
  if (State == nullptr || Grant.Number < State->Link.Number)
    return;
  State->Link.Number = Grant.Number;
  setRate(State->Link, Grant.PerSecond, SentAt + Grant.Lease, Now);
}

std::optional<region_name> region_router::route(const workspace_name &Workspace,
                                                double LinkBytes,
                                                time_point Now) {
  const auto Found = Guaranteed.find(Workspace);
  const bool IsGuaranteed =
      Found != Guaranteed.end() && Found->second.available(Now) >= 1;
  for (auto &Region : Regions) {
    const bool IsOwn = &Region == &Regions.front();
    Region.Attempts += 1;
    expire(Region, Now);
    if (!spend(Region, IsOwn, IsGuaranteed, LinkBytes, Now))
      continue;
    if (IsGuaranteed)
      Found->second.tryTake(1, Now);
    return Region.Name;
  }
  return std::nullopt;
}

double region_router::wanted(const region_name &Name, time_point Now) {
  region_state *Region = find(Name);
  if (Region == nullptr)
    return 0;
  const double Elapsed = seconds(Now - Region->LastWanted).count();
  if (Elapsed >= SmallestInterval) {
    const double Latest = Region->Attempts / Elapsed * DemandHeadroomFactor;
    Region->WantedPerSecond = std::max(
        Latest, Region->WantedPerSecond +
                    DemandSmoothing * (Latest - Region->WantedPerSecond));
    Region->Attempts = 0;
    Region->LastWanted = Now;
  }
  const double Permanent = Region == &Regions.front() ? PermanentRate : 0;
  return std::max(0.0, Region->WantedPerSecond - Permanent);
}

grant_number region_router::latestRegionGrant(const region_name &Region) const {
  const region_state *State = find(Region);
  return State == nullptr ? 0 : State->Capacity.Number;
}

grant_number region_router::latestLinkGrant(const region_name &Region) const {
  const region_state *State = find(Region);
  return State == nullptr ? 0 : State->Link.Number;
}

region_router::region_state *region_router::find(const region_name &Region) {
  const auto Found = std::ranges::find(Regions, Region, &region_state::Name);
  return Found == Regions.end() ? nullptr : &*Found;
}

const region_router::region_state *
region_router::find(const region_name &Region) const {
  const auto Found = std::ranges::find(Regions, Region, &region_state::Name);
  return Found == Regions.end() ? nullptr : &*Found;
}

void region_router::setRate(limited_rate &Rate, double PerSecond,
                            time_point Until, time_point Now) {
  const double Depth =
      PerSecond > 0 ? std::max(SmallestDepth, PerSecond * DepthSeconds) : 0;
  Rate.PerSecond = PerSecond;
  Rate.Until = Until;
  Rate.Bucket.reshape(PerSecond, Depth, Now);
}

void region_router::expire(region_state &Region, time_point Now) {
  const bool IsOwn = &Region == &Regions.front();
  const double Permanent = IsOwn ? PermanentRate : 0;
  if (Now >= Region.Capacity.Until && Region.Capacity.PerSecond != Permanent)
    setRate(Region.Capacity, Permanent, Region.Capacity.Until, Now);
  if (Now >= Region.Link.Until && Region.Link.PerSecond != 0)
    setRate(Region.Link, 0, Region.Link.Until, Now);
}

bool region_router::spend(region_state &Region, bool IsOwn, bool IsGuaranteed,
                          double LinkBytes, time_point Now) {
  auto &Capacity = Region.Capacity;
  const double Depth = Capacity.PerSecond * DepthSeconds;
  const double Reserve =
      IsGuaranteed || Depth < 2 * SmallestDepth ? 0 : Depth * ReservePart;
  if (Capacity.Bucket.available(Now) < 1 + Reserve)
    return false;
  if (!IsOwn && !Region.Link.Bucket.tryTake(LinkBytes, Now))
    return false;
  return Capacity.Bucket.tryTake(1, Now);
}

} // namespace sesamepaddle
