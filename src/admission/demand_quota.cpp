#include "sesamepaddle/admission/demand_quota.h"

#include <algorithm>
#include <cmath>

namespace sesamepaddle {

namespace {

// Part of every limit that is split evenly, for VMs whose callers have just
// come: it serves them until their demand is known to the others.
constexpr double EvenPart = 0.15;
// Time constant of the moving average of demand: long enough that a Poisson
// stream of a third of a request a second gives a steady part. Until the parts
// follow callers that moved, tokens are borrowed.
constexpr double AverageSeconds = 10;
// Part of the allowed overshoot that is used up on purpose, so that requests
// within the rate are not refused for the split; the rest covers late messages.
constexpr double UsedOvershoot = 0.4;
// What a new bucket begins with, as a part of the allowed overshoot: the VM may
// be the successor of one that has just spent its own.
constexpr double InitialOvershoot = 0.4;
// A VM that was silent for this long is gone, and its part goes to the others.
constexpr std::chrono::seconds GoneAfter{60};
// Most tokens that are borrowed at a time.
constexpr double MostBorrowed = 3;
// Share of its bucket that a lender gives at most at a time, beyond one token.
constexpr double LentShare = 0.4;
// Lenders that are asked for one request while the demand is below the limit:
// one of them nearly always has a token.
constexpr std::size_t LendersBelowLimit = 6;
// Demand over the limit from which tokens lent by one VM are missing there.
constexpr double UsefulDemand = 1.05;
// Beyond the limit only tokens that a full bucket would lose are worth asking
// for: at buckets of a few tokens about a tenth of the rate. One VM is asked
// for a request, as often as the own part brings tokens and no more, so that a
// workspace at many times its limit costs few messages.
constexpr double AsksPerToken = 1;
constexpr double MostAsksPerSecond = 4;
constexpr double AskDepth = 2;

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
  return totalOf(Workspace.str());
}

double demand_quota::totalOf(const std::string &Workspace) const {
  const auto Own = Accounts.find(Workspace);
  const auto Others = ActivePeerDemand.find(Workspace);
  return (Own == Accounts.end() ? 0 : Own->second.Published) +
         (Others == ActivePeerDemand.end() ? 0 : std::max(0.0, Others->second));
}

// Sums are kept, as a part is asked for with each request and for each
// workspace of each message: adding up 84 VMs each time took 0.66 ms a message.
void demand_quota::addActiveDemand(const peer &Peer, double Sign) {
  for (const auto &[Workspace, Rate] : Peer.Demand)
    ActivePeerDemand[Workspace] += Sign * Rate;
}

void demand_quota::recomputeActiveDemand() {
  ActivePeerDemand.clear();
  ActivePeers = 0;
  for (const auto &[Vm, Peer] : Peers) {
    if (Peer.IsSilent)
      continue;
    ++ActivePeers;
    addActiveDemand(Peer, 1);
  }
}

double
demand_quota::frozenPartOfSilentPeers(const std::string &Workspace) const {
  if (ActivePeers == Peers.size())
    return 0;
  const double Even = 1.0 / static_cast<double>(Peers.size() + 1);
  double Held = 0;
  for (const auto &[Vm, Peer] : Peers) {
    if (!Peer.IsSilent)
      continue;
    const auto Found = Peer.FrozenParts.find(Workspace);
    // Of a VM that was never heard nothing is known but that it is there.
    const bool IsKnown = Peer.LastHeard != time_point{};
    if (Found != Peer.FrozenParts.end())
      Held += Found->second;
    else
      Held += IsKnown ? EvenPart * Even : Even;
  }
  return std::min(Held, 1.0);
}

/** @returns the part of a VM that is heard, for its demand. */
double demand_quota::demandPart(const std::string &Workspace,
                                double Demand) const {
  const std::size_t Heard = 1 + ActivePeers;
  const double Even = 1.0 / static_cast<double>(Heard);
  const double Total = totalOf(Workspace);
  // A VM that has heard no other one since its start may stand behind a cut,
  // while the others hold what its predecessor had.
  const bool IsAlone = Heard == 1 && !Peers.empty();
  const bool IsUnheard =
      IsAlone && std::all_of(Peers.begin(), Peers.end(), [](const auto &Entry) {
        return Entry.second.LastHeard == time_point{};
      });
  if (IsUnheard)
    return EvenPart / static_cast<double>(Peers.size() + 1);
  const double Free = 1 - frozenPartOfSilentPeers(Workspace);
  return Free * (Total <= 0
                     ? Even
                     : EvenPart * Even + (1 - EvenPart) * Demand / Total);
}

double demand_quota::part(const workspace_name &Workspace) const {
  if (OwnFrozenParts) {
    const auto Found = OwnFrozenParts->find(Workspace.str());
    if (Found != OwnFrozenParts->end())
      return Found->second;
    return EvenPart / static_cast<double>(Peers.size() + 1);
  }
  const auto Own = Accounts.find(Workspace.str());
  return demandPart(Workspace.str(),
                    Own == Accounts.end() ? 0 : Own->second.Published);
}

std::map<std::string, double>
demand_quota::partsOf(const workspace_demand &Demand) const {
  std::map<std::string, double> Parts;
  for (const auto &[Workspace, Rate] : Demand)
    Parts[Workspace] = demandPart(Workspace, Rate);
  return Parts;
}

// What a silent VM keeps was fixed with its last message, and what this VM
// keeps while it is not heard with its own last one: both sides then hold what
// they knew at about the same moment.
void demand_quota::updateSilentPeers(time_point Now, bool IsReachable) {
  std::erase_if(Peers, [Now](const auto &Entry) {
    return Entry.second.LastHeard != time_point{} &&
           Now - Entry.second.LastHeard > GoneAfter;
  });
  for (auto &[Vm, Peer] : Peers)
    Peer.IsSilent = Now - Peer.LastHeard > Peer.SilentAfter;
  recomputeActiveDemand();
  if (IsReachable)
    OwnFrozenParts.reset();
  else if (!OwnFrozenParts && !Peers.empty()) {
    // The lesser of then and now: what the others told in the same moment as
    // this VM's last message is known only since.
    auto Held = LastPublishedParts;
    for (auto &[Workspace, Part] : Held)
      Part = std::min(Part, part(workspace_name(Workspace)));
    OwnFrozenParts = std::move(Held);
  }
}

demand_quota::account &
demand_quota::updatedAccount(const workspace_name &Workspace,
                             const quota_terms &Terms, time_point Now) {
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
  auto &Account = updatedAccount(Workspace, Terms, Now);
  ++Account.SinceMeasured;
  return Account.Bucket->tryTake(1, Now);
}

bool demand_quota::admitBorrowed(const workspace_name &Workspace,
                                 const quota_terms &Terms, time_point Now) {
  return updatedAccount(Workspace, Terms, Now).Bucket->tryTake(1, Now);
}

std::size_t demand_quota::lendersToAsk(const workspace_name &Workspace,
                                       const quota_terms &Terms,
                                       time_point Now) {
  if (Peers.empty())
    return 0;
  if (totalDemand(Workspace) < UsefulDemand * Terms.RatePerSecond)
    return LendersBelowLimit;
  auto &BorrowRequests = Accounts[Workspace.str()].BorrowRequests;
  const double Rate = std::min(
      MostAsksPerSecond, AsksPerToken * part(Workspace) * Terms.RatePerSecond);
  if (!BorrowRequests)
    BorrowRequests.emplace(Rate, AskDepth, Now);
  BorrowRequests->reshape(Rate, AskDepth, Now);
  return BorrowRequests->tryTake(1, Now) ? 1 : 0;
}

double demand_quota::tokensToBorrow(const workspace_name &Workspace,
                                    const quota_terms &Terms) const {
  const double Depth = shapeOf(Terms, part(Workspace)).Depth;
  return std::clamp(std::floor(Depth / 2), 1.0, MostBorrowed);
}

double demand_quota::lend(const workspace_name &Workspace,
                          const quota_terms &Terms, double Wanted,
                          time_point Now) {
  auto &Bucket = *updatedAccount(Workspace, Terms, Now).Bucket;
  const double Most = std::max(1.0, Bucket.available(Now) * LentShare);
  const double Lent = std::floor(std::min(Wanted, Most));
  return Bucket.tryTake(Lent, Now) ? Lent : 0;
}

void demand_quota::addBorrowed(const workspace_name &Workspace,
                               const quota_terms &Terms, double Tokens,
                               time_point Now) {
  updatedAccount(Workspace, Terms, Now).Bucket->give(Tokens, Now);
}

double demand_quota::secondsToAdmission(const workspace_name &Workspace,
                                        const quota_terms &Terms,
                                        time_point Now) {
  auto &Account = updatedAccount(Workspace, Terms, Now);
  const double Missing = 1 - Account.Bucket->available(Now);
  const double Rate = shapeOf(Terms, part(Workspace)).Rate;
  return Rate <= 0 ? 1.0 : std::max(0.0, Missing / Rate);
}

workspace_demand demand_quota::publish(time_point Now, bool IsReachable) {
  const double Elapsed = secondsBetween(LastMeasured, Now);
  const bool IsFirst = LastMeasured == time_point{};
  LastMeasured = Now;
  updateSilentPeers(Now, IsReachable);
  workspace_demand Published;
  for (auto &[Name, Account] : Accounts) {
    if (!IsFirst && Elapsed > 0) {
      const double Rate = static_cast<double>(Account.SinceMeasured) / Elapsed;
      const double Weight = 1 - std::exp(-Elapsed / AverageSeconds);
      Account.RecentRate += Weight * (Rate - Account.RecentRate);
    }
    Account.SinceMeasured = 0;
    if (IsReachable)
      Account.Published = Account.RecentRate;
    if (Account.Published > 0)
      Published[Name] = Account.Published;
  }
  if (IsReachable)
    LastPublishedParts = partsOf(Published);
  return Published;
}

void demand_quota::learnPeer(const std::string &Vm) { Peers.try_emplace(Vm); }

void demand_quota::applyPeer(const std::string &Vm, workspace_demand Demand,
                             time_point Now,
                             std::chrono::milliseconds SilentAfter) {
  auto &Peer = Peers[Vm];
  if (Peer.IsSilent)
    ++ActivePeers;
  else
    addActiveDemand(Peer, -1);
  Peer = {std::move(Demand), Now, SilentAfter, false, {}};
  addActiveDemand(Peer, 1);
  Peer.FrozenParts = partsOf(Peer.Demand);
}

void demand_quota::removePeer(const std::string &Vm) {
  Peers.erase(Vm);
  recomputeActiveDemand();
}

} // namespace sesamepaddle
