#ifndef SESAMEPADDLE_ADMISSION_DEMAND_QUOTA_H
#define SESAMEPADDLE_ADMISSION_DEMAND_QUOTA_H

#include "sesamepaddle/core/clock.h"
#include "sesamepaddle/core/identifiers.h"
#include "sesamepaddle/shares/token_bucket.h"

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>

namespace sesamepaddle {

/** A workspace's rate and burst, over all VMs, and what may slip beyond them.
 */
struct quota_terms {
  double RatePerSecond = 0; ///< 0: unlimited
  double Burst = 0;
  std::chrono::milliseconds Window{5'000};
  double OvershootRatio = 0.1; ///< of what a window allows
  double OvershootSlack = 20;  ///< requests in a window
};

/** Requests a second of each workspace that a VM was asked for. */
using workspace_demand = std::map<std::string, double>;

/** This VM's part of the rate and burst of every workspace.

    Each VM publishes its demand for each workspace; its part of a limit is its
    published demand over that of all VMs, and a small even part. A VM uses for
    itself the demand that it published, not a newer one, so that the parts of
    all VMs add up to one once the last message has arrived. A VM that has gone
    silent may be serving behind a cut: the others leave it the part that it
   had, and it uses no more itself.

    The bucket of a small part is often empty while others are full. A VM that
    would refuse for that reason borrows a token from another one, which gives
    it up first: a lost message loses tokens and never doubles them.
*/
class demand_quota {
public:
  /** Counts a request of @p Workspace, admitted or not.
      @returns true when this VM admits it */
  bool admit(const workspace_name &Workspace, const quota_terms &Terms,
             time_point Now);

  /** @returns how many VMs to ask for a token, one after the other, before a
      request is refused that admit() did not admit: several while the fleet as
      a whole is asked for less than the limit; else one now and then. */
  std::size_t lendersToAsk(const workspace_name &Workspace,
                           const quota_terms &Terms, time_point Now);

  /** @returns how many tokens to ask another VM for: what fits the bucket. */
  double tokensToBorrow(const workspace_name &Workspace,
                        const quota_terms &Terms) const;

  /** Takes up to @p Wanted tokens out for another VM; what this VM needs itself
      stays. @returns how many */
  double lend(const workspace_name &Workspace, const quota_terms &Terms,
              double Wanted, time_point Now);

  /** Puts tokens in that another VM has lent. */
  void addBorrowed(const workspace_name &Workspace, const quota_terms &Terms,
                   double Tokens, time_point Now);

  /** Takes a token for a request that admit() has counted and refused. */
  bool admitBorrowed(const workspace_name &Workspace, const quota_terms &Terms,
                     time_point Now);

  /** @returns seconds until this VM is likely to admit a request again. */
  double secondsToAdmission(const workspace_name &Workspace,
                            const quota_terms &Terms, time_point Now);

  /** Measures the demand since the last call and makes it this VM's own part.
      To be called when all other VMs are told.
      @param IsReachable  false while other VMs can't hear it: then what was
                      published last stands
      @returns what to tell the others */
  workspace_demand publish(time_point Now, bool IsReachable);

  /** Learns that there is another VM, which may be serving although it has not
      been heard. */
  void learnPeer(const std::string &Vm);

  /** Takes the demand of another VM.
      @param SilentAfter  time without a message after which its part is held */
  void applyPeer(const std::string &Vm, workspace_demand Demand, time_point Now,
                 std::chrono::milliseconds SilentAfter);

  /** Forgets a VM that has left for good. */
  void removePeer(const std::string &Vm);

  /** @returns the demand of all VMs, as published. */
  double totalDemand(const workspace_name &Workspace) const;

  /** @returns this VM's part of the workspace's limit, in (0, 1]. */
  double part(const workspace_name &Workspace) const;

private:
  struct account {
    double RecentRate = 0; ///< moving average, per second
    double Published = 0;
    std::size_t SinceMeasured = 0;
    std::optional<token_bucket> Bucket;
    std::optional<token_bucket> BorrowRequests; ///< beyond the limit
  };

  struct peer {
    workspace_demand Demand;
    time_point LastHeard{};
    std::chrono::milliseconds SilentAfter{0};
    bool IsSilent = true;
    std::map<std::string, double> FrozenParts; ///< as of its last message
  };

  double totalOf(const std::string &Workspace) const;
  void addActiveDemand(const peer &Peer, double Sign);
  void recomputeActiveDemand();
  double demandPart(const std::string &Workspace, double Demand) const;
  double frozenPartOfSilentPeers(const std::string &Workspace) const;
  std::map<std::string, double> partsOf(const workspace_demand &Demand) const;
  void updateSilentPeers(time_point Now, bool IsReachable);

  account &updatedAccount(const workspace_name &Workspace,
                          const quota_terms &Terms, time_point Now);

  std::unordered_map<std::string, account> Accounts;
  std::map<std::string, peer> Peers;
  /** Of the peers that are not silent: their sum by workspace, their number. */
  std::unordered_map<std::string, double> ActivePeerDemand;
  std::size_t ActivePeers = 0;
  /** This VM's own parts while no other one can hear it. */
  std::optional<std::map<std::string, double>> OwnFrozenParts;
  std::map<std::string, double> LastPublishedParts;
  time_point LastMeasured{};
};

} // namespace sesamepaddle

#endif
