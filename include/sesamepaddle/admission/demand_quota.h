#ifndef SESAMEPADDLE_ADMISSION_DEMAND_QUOTA_H
#define SESAMEPADDLE_ADMISSION_DEMAND_QUOTA_H

#include "sesamepaddle/core/clock.h"
#include "sesamepaddle/core/identifiers.h"
#include "sesamepaddle/rate_limiting/token_bucket.h"

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>

namespace sesamepaddle {

/** Rate and burst of a workspace over all VMs, and the tolerated overshoot. */
struct quota_terms {
  double RatePerSecond = 0; ///< 0: unlimited
  double Burst = 0;         ///< requests
  /** The overshoot is measured in any window of this length. */
  std::chrono::milliseconds Window{5'000};
  double OvershootRatio = 0.1; ///< of the requests that a window allows
  double OvershootSlack = 20;  ///< requests beyond the ratio in a window
};

/** Requests per second that a VM receives, admitted or not, by workspace. */
using workspace_demand = std::map<std::string, double>;

/** Limits the rate and burst of each workspace over all VMs: divides each limit
    among the VMs by their demand and applies this VM's part.

    Each VM publishes its demand for each workspace. A small fraction of a limit
    is divided equally, the rest in proportion to the published demand. A VM
    uses its own published demand too, not a newer one, so that the parts of all
    VMs add up to one once the last message has arrived. A VM from which no
    message arrives may still be serving behind a network partition. Its part is
    frozen on both sides: the others leave it that part, and it uses no more.

    The token bucket of a small part is often empty while others are full. A VM
    with an empty bucket borrows tokens from another one, which takes them out
    of its own bucket first: a lost message loses tokens and never doubles
    them.
*/
class demand_quota {
public:
  /** Counts a request of @p Workspace, admitted or not.
      @returns true when this VM admits it */
  bool admit(const workspace_name &Workspace, const quota_terms &Terms,
             time_point Now);

  /** To be called when admit() has returned false, before the request is
      refused.
      @returns how many VMs to ask for a token, one after the other: several
      while the demand of all VMs is below the limit, otherwise at most one, at
      a limited rate */
  std::size_t lendersToAsk(const workspace_name &Workspace,
                           const quota_terms &Terms, time_point Now);

  /** @returns how many tokens to ask another VM for: half the depth of this
      VM's bucket, but at least one and at most a few. */
  double tokensToBorrow(const workspace_name &Workspace,
                        const quota_terms &Terms) const;

  /** Takes up to @p Wanted tokens out of this VM's bucket for another VM. More
      than one is taken only up to a fraction of the bucket, so that this VM
      keeps what it needs itself.
      @returns the number of tokens taken */
  double lend(const workspace_name &Workspace, const quota_terms &Terms,
              double Wanted, time_point Now);

  /** Adds tokens that another VM has lent. */
  void addBorrowed(const workspace_name &Workspace, const quota_terms &Terms,
                   double Tokens, time_point Now);

  /** Tries again to admit a request for which admit() returned false, without
      counting it twice.
      @returns true when this VM admits it */
  bool admitBorrowed(const workspace_name &Workspace, const quota_terms &Terms,
                     time_point Now);

  /** @returns seconds until this VM is likely to admit a request again. */
  double secondsToAdmission(const workspace_name &Workspace,
                            const quota_terms &Terms, time_point Now);

  /** Adds the requests since the last call to the moving average of the demand
      and bases this VM's part on it. To be called just before messages are sent
      to all other VMs.
      @param IsReachable  false while this VM receives no messages from others
                          and so must assume that its own do not arrive: then
                          the last published demand stays in force
      @returns the demand to send to the others */
  workspace_demand publish(time_point Now, bool IsReachable);

  /** Adds another VM, which may be serving although no message has arrived from
      it yet. */
  void learnPeer(const std::string &Vm);

  /** Replaces the demand of another VM by that of its latest message.
      @param SilentAfter  time without a message after which the VM counts as
                          silent and its part is frozen */
  void applyPeer(const std::string &Vm, workspace_demand Demand, time_point Now,
                 std::chrono::milliseconds SilentAfter);

  /** Removes a VM that has left permanently. */
  void removePeer(const std::string &Vm);

  /** @returns the sum of the published demand of this VM and of all VMs that
      are not silent, in requests per second. */
  double totalDemand(const workspace_name &Workspace) const;

  /** @returns this VM's part of the workspace's limit, in [0, 1]. */
  double part(const workspace_name &Workspace) const;

private:
  /** What this VM keeps for a workspace. */
  struct account {
    double RecentRate = 0;         ///< moving average, per second
    double Published = 0;          ///< RecentRate as last published
    std::size_t SinceMeasured = 0; ///< requests since the last publish()
    std::optional<token_bucket> Bucket;
    /** Limits the messages that ask for tokens while demand exceeds the
        limit. */
    std::optional<token_bucket> BorrowRequests;
  };

  /** Another VM. */
  struct peer {
    workspace_demand Demand;
    time_point LastHeard{}; ///< last message; zero: none yet
    std::chrono::milliseconds SilentAfter{0};
    bool IsSilent = true;
    /** Its parts at its last message, by workspace; apply while it is
        silent. */
    std::map<std::string, double> FrozenParts;
  };

  /** As totalDemand(). */
  double totalOf(const std::string &Workspace) const;
  /** Adds the demand of @p Peer, times @p Sign, to ActivePeerDemand. */
  void addActiveDemand(const peer &Peer, double Sign);
  /** Recomputes ActivePeerDemand and ActivePeers. */
  void recomputeActiveDemand();
  /** @returns the part of a VM that is not silent, from its demand. */
  double demandPart(const std::string &Workspace, double Demand) const;
  /** @returns the sum of the parts that are left to silent VMs, at most 1. */
  double frozenPartOfSilentPeers(const std::string &Workspace) const;
  /** @returns the part of a VM with this demand, for each workspace in it. */
  std::map<std::string, double> partsOf(const workspace_demand &Demand) const;
  /** Updates which VMs are silent, drops those that are gone, and freezes this
      VM's own parts while it is unreachable. */
  void updateSilentPeers(time_point Now, bool IsReachable);

  /** @returns the account, its bucket adapted to this VM's current part. */
  account &updatedAccount(const workspace_name &Workspace,
                          const quota_terms &Terms, time_point Now);

  std::unordered_map<std::string, account> Accounts;
  std::map<std::string, peer> Peers;
  /** Sum of the demand of all peers that are not silent, by workspace. */
  std::unordered_map<std::string, double> ActivePeerDemand;
  std::size_t ActivePeers = 0; ///< number of peers that are not silent
  /** This VM's own parts, set only while it is unreachable. */
  std::optional<std::map<std::string, double>> OwnFrozenParts;
  /** This VM's parts when it last published while reachable. */
  std::map<std::string, double> LastPublishedParts;
  time_point LastMeasured{}; ///< last call of publish()
};

} // namespace sesamepaddle

#endif
