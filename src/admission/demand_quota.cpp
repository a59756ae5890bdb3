#include "sesamepaddle/admission/demand_quota.h"

#include <algorithm>
#include <cmath>

namespace sesamepaddle {

namespace {

// Fraction of each limit that is divided equally among the VMs. It serves a VM
// whose callers have just arrived until the other VMs know its demand.
constexpr double EqualFraction = 0.15;
// Time constant of the moving average of demand: long enough that a Poisson
// stream of a third of a request per second gives a steady part. When callers
// move to other VMs, tokens are borrowed until the parts have adapted.
constexpr double AverageSeconds = 10;
// Fraction of the tolerated overshoot that deepens the buckets, so that
// requests within the rate are not refused because the limit is divided. The
// rest covers late messages.
constexpr double UsedOvershoot = 0.4;
// Initial tokens of a new bucket, as a fraction of the tolerated overshoot.
// Limited, since the VM may replace one that has just spent its own tokens.
constexpr double InitialOvershoot = 0.4;
// Time without a message after which a VM is considered gone and its part goes
// to the others.
constexpr std::chrono::seconds GoneAfter{60};
// Maximum number of tokens borrowed at a time.
constexpr double MaxBorrowedTokens = 3;
// Maximum fraction of its tokens that a lender gives at a time, though it may
// always give one.
constexpr double MaxLentFraction = 0.4;
// VMs asked for a token per request while the demand is below the limit. One of
// them nearly always has a token.
constexpr std::size_t LendersBelowLimit = 6;
// Ratio of demand to limit from which a lender needs its tokens itself.
constexpr double SaturatedDemandRatio = 1.05;
// The next three constants limit the messages that ask for tokens while demand
// exceeds the limit, so that a workspace at many times its limit causes few
// messages. Only tokens that a full bucket would discard are worth borrowing
// then: about a tenth of the rate with buckets of a few tokens. One VM is asked
// per request.
//
// Messages per token that this VM's bucket gets from its own part of the rate.
constexpr double BorrowRequestsPerToken = 1;
// Upper limit of the rate of messages from this VM.
constexpr double MaxBorrowRequestsPerSecond = 4;
// Messages that this VM may send at once.
constexpr double BorrowRequestBurst = 2;

double secondsBetween(time_point From, time_point To) {
  return std::chrono::duration<double>(To - From).count();
}

/** Parameters of a token bucket. */
struct bucket_shape {
  double Rate;    ///< tokens per second
  double Depth;   ///< maximum number of tokens
  double Initial; ///< tokens of a new bucket
};

/** @returns the bucket for a VM that has @p Part of the limit. */
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

// The sums are maintained incrementally, since a part is computed for each
// request and for each workspace of each message: summing over 84 VMs every
// time took 0.66 ms per message.
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
  const double EqualPart = 1.0 / static_cast<double>(Peers.size() + 1);
  double FrozenPart = 0;
  for (const auto &[Vm, Peer] : Peers) {
    if (!Peer.IsSilent)
      continue;
    const auto Found = Peer.FrozenParts.find(Workspace);
    // The part of a VM that has sent no message yet is unknown. It is left an
    // equal one.
    const bool HasBeenHeard = Peer.LastHeard != time_point{};
    if (Found != Peer.FrozenParts.end())
      FrozenPart += Found->second;
    else
      FrozenPart += HasBeenHeard ? EqualFraction * EqualPart : EqualPart;
  }
  return std::min(FrozenPart, 1.0);
}

double demand_quota::demandPart(const std::string &Workspace,
                                double Demand) const {
  const std::size_t ActiveVms = 1 + ActivePeers;
  const double EqualPart = 1.0 / static_cast<double>(ActiveVms);
  const double Total = totalOf(Workspace);
  // A VM that has received no message since its start may be partitioned off,
  // and the others then reserve for it only the frozen part of its predecessor.
  const bool HasNoActivePeer = ActiveVms == 1 && !Peers.empty();
  const bool HasNeverHeardPeers =
      HasNoActivePeer &&
      std::all_of(Peers.begin(), Peers.end(), [](const auto &Entry) {
        return Entry.second.LastHeard == time_point{};
      });
  if (HasNeverHeardPeers)
    return EqualFraction / static_cast<double>(Peers.size() + 1);
  const double Free = 1 - frozenPartOfSilentPeers(Workspace);
  return Free * (Total <= 0 ? EqualPart
                            : EqualFraction * EqualPart +
                                  (1 - EqualFraction) * Demand / Total);
}

double demand_quota::part(const workspace_name &Workspace) const {
  if (OwnFrozenParts) {
    const auto Found = OwnFrozenParts->find(Workspace.str());
    if (Found != OwnFrozenParts->end())
      return Found->second;
    return EqualFraction / static_cast<double>(Peers.size() + 1);
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

// The part of a silent VM is frozen as of its last message, and the part of
// this VM, while it is unreachable, as of its own last message. Both sides of a
// partition thus use the parts that they knew at about the same time.
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
    // Uses the smaller of the part at this VM's last message and the current
    // one: messages that the others sent at the time of that message arrived
    // after it and may have changed the part.
    auto Parts = LastPublishedParts;
    for (auto &[Workspace, Part] : Parts)
      Part = std::min(Part, part(workspace_name(Workspace)));
    OwnFrozenParts = std::move(Parts);
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
  if (totalDemand(Workspace) < SaturatedDemandRatio * Terms.RatePerSecond)
    return LendersBelowLimit;
  auto &BorrowRequests = Accounts[Workspace.str()].BorrowRequests;
  const double Rate =
      std::min(MaxBorrowRequestsPerSecond,
               BorrowRequestsPerToken * part(Workspace) * Terms.RatePerSecond);
  if (!BorrowRequests)
    BorrowRequests.emplace(Rate, BorrowRequestBurst, Now);
  BorrowRequests->reshape(Rate, BorrowRequestBurst, Now);
  return BorrowRequests->tryTake(1, Now) ? 1 : 0;
}

double demand_quota::tokensToBorrow(const workspace_name &Workspace,
                                    const quota_terms &Terms) const {
  const double Depth = shapeOf(Terms, part(Workspace)).Depth;
  return std::clamp(std::floor(Depth / 2), 1.0, MaxBorrowedTokens);
}

double demand_quota::lend(const workspace_name &Workspace,
                          const quota_terms &Terms, double Wanted,
                          time_point Now) {
  auto &Bucket = *updatedAccount(Workspace, Terms, Now).Bucket;
  const double MaxLent = std::max(1.0, Bucket.available(Now) * MaxLentFraction);
  const double Lent = std::floor(std::min(Wanted, MaxLent));
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
