#include "sesamepaddle/admission/demand_quota.h"

#include <algorithm>
#include <cmath>

namespace sesamepaddle {

namespace {

// Part of every limit that is split evenly, for VMs whose callers have just
// come: it serves them until their demand is known to the others.
constexpr double EvenPart = 0.15;
// Time constant of the moving average of demand: long enough that a Poisson
// stream of a few requests a second gives a steady part.
constexpr double AverageSeconds = 2.5;
// Part of the allowed overshoot that is used up on purpose, so that requests
// within the rate are not refused for the split; the rest covers late messages.
constexpr double UsedOvershoot = 0.45;
// What a new bucket begins with, as a part of the allowed overshoot: the VM may
// be the successor of one that has just spent its own.
constexpr double InitialOvershoot = 0.4;
// Tokens that a lender keeps for itself, and the share of its bucket that it
// lends at most at a time.
constexpr double LenderReserve = 1.0;
constexpr double LentShare = 0.5;
// Demand over the limit from which borrowing only moves refusals about.
constexpr double UsefulDemand = 1.05;

double secondsBetween(time_point From, time_point To) {
  return std::chrono::duration<double>(To - From).count();
}

struct bucket_shape {
  double Rate;
  double Depth;
  double Initial;
};

bucket_shape shapeOf(const quota_terms &Terms, double Part) {
  const double Window = std::chrono::duration<double>(Terms.Window).count();
  const double Allowed = Terms.RatePerSecond * Window + Terms.Burst;
  const double Overshoot =
      Allowed * Terms.OvershootRatio + Terms.OvershootSlack;
  return {Part * Terms.RatePerSecond,
          std::max(1.0, Part * (Terms.Burst + UsedOvershoot * Overshoot)),
          std::max(1.0, Part * InitialOvershoot * Overshoot)};
}

} // namespace

double demand_quota::totalDemand(const workspace_name &Workspace) const {
  const auto Own = Accounts.find(Workspace.str());
  double Total = Own == Accounts.end() ? 0 : Own->second.Published;
  for (const auto &[Vm, Demand] : Peers)
    if (const auto Found = Demand.find(Workspace.str()); Found != Demand.end())
      Total += Found->second;
  return Total;
}

double demand_quota::part(const workspace_name &Workspace) const {
  const auto Own = Accounts.find(Workspace.str());
  const double OwnDemand = Own == Accounts.end() ? 0 : Own->second.Published;
  const double Total = totalDemand(Workspace);
  const double Even = 1.0 / static_cast<double>(Peers.size() + 1);
  if (Total <= 0)
    return Even;
  return EvenPart * Even + (1 - EvenPart) * OwnDemand / Total;
}

demand_quota::account &demand_quota::reshaped(const workspace_name &Workspace,
                                              const quota_terms &Terms,
                                              time_point Now) {
  auto &Account = Accounts[Workspace.str()];
  const auto Shape = shapeOf(Terms, part(Workspace));
  if (!Account.Bucket) {
    Account.Bucket.emplace(Shape.Rate, Shape.Depth, Now);
    Account.Bucket->give(Shape.Initial, Now);
  } else {
    Account.Bucket->reshape(Shape.Rate, Shape.Depth, Now);
  }
  return Account;
}

bool demand_quota::admit(const workspace_name &Workspace,
                         const quota_terms &Terms, time_point Now) {
  if (Terms.RatePerSecond <= 0) {
    return true;
  }
  auto &Account = reshaped(Workspace, Terms, Now);
  ++Account.SinceMeasured;
  return Account.Bucket->tryTake(1, Now);
}

bool demand_quota::admitBorrowed(const workspace_name &Workspace,
                                 const quota_terms &Terms, time_point Now) {
  return reshaped(Workspace, Terms, Now).Bucket->tryTake(1, Now);
}

bool demand_quota::isBorrowingUseful(const workspace_name &Workspace,
                                     const quota_terms &Terms) const {
  return !Peers.empty() &&
         totalDemand(Workspace) < UsefulDemand * Terms.RatePerSecond;
}

double demand_quota::lend(const workspace_name &Workspace,
                          const quota_terms &Terms, double Wanted,
                          time_point Now) {
  auto &Bucket = *reshaped(Workspace, Terms, Now).Bucket;
  const double Spare = Bucket.available(Now) - LenderReserve;
  const double Most = std::max(1.0, Spare * LentShare);
  const double Lent = std::floor(std::min(Wanted, Most));
  return Spare >= 1 && Bucket.tryTake(Lent, Now) ? Lent : 0;
}

void demand_quota::addBorrowed(const workspace_name &Workspace,
                               const quota_terms &Terms, double Tokens,
                               time_point Now) {
  reshaped(Workspace, Terms, Now).Bucket->give(Tokens, Now);
}

double demand_quota::secondsToAdmission(const workspace_name &Workspace,
                                        const quota_terms &Terms,
                                        time_point Now) {
  auto &Account = reshaped(Workspace, Terms, Now);
  const double Missing = 1 - Account.Bucket->available(Now);
  const double Rate = shapeOf(Terms, part(Workspace)).Rate;
  return Rate <= 0 ? 1.0 : std::max(0.0, Missing / Rate);
}

workspace_demand demand_quota::publish(time_point Now, bool IsHeard) {
  const double Elapsed = secondsBetween(LastMeasured, Now);
  const bool IsFirst = LastMeasured == time_point{};
  LastMeasured = Now;
  workspace_demand Published;
  for (auto &[Name, Account] : Accounts) {
    if (!IsFirst && Elapsed > 0) {
      const double Rate = static_cast<double>(Account.SinceMeasured) / Elapsed;
      const double Weight = 1 - std::exp(-Elapsed / AverageSeconds);
      Account.RecentRate += Weight * (Rate - Account.RecentRate);
    }
    Account.SinceMeasured = 0;
    if (IsHeard)
      Account.Published = Account.RecentRate;
    if (Account.Published > 0)
      Published[Name] = Account.Published;
  }
  return Published;
}

void demand_quota::applyPeer(const std::string &Vm, workspace_demand Demand) {
  Peers[Vm] = std::move(Demand);
}

void demand_quota::removePeer(const std::string &Vm) { Peers.erase(Vm); }

} // namespace sesamepaddle
