#ifndef SESAMEPADDLE_ADMISSION_WORKSPACE_QUOTA_H
#define SESAMEPADDLE_ADMISSION_WORKSPACE_QUOTA_H

#include "sesamepaddle/admission/quota_homes.h"
#include "sesamepaddle/admission/quota_terms.h"
#include "sesamepaddle/core/clock.h"
#include "sesamepaddle/core/identifiers.h"
#include "sesamepaddle/rate_limiting/token_bucket.h"

#include <cstddef>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace sesamepaddle {

/** A request for tokens, to be sent to a limit's home in one place. */
struct quota_ask {
  std::string Home; ///< name of the VM
  double Tokens = 0;
  bool IsNear = false; ///< the home is in this VM's place
};

/** The answer to an ask. */
struct quota_grant {
  double Tokens = 0;
  /** Without tokens: time for which the asker does not ask this home again. */
  std::chrono::milliseconds RefuseFor{0};
  bool IsHome = false; ///< the VM that answers makes tokens of the limit
};

/** One VM's view of the fleet, on which the homes of limits depend. */
struct quota_fleet_view {
  quota_vm Self;
  std::vector<quota_vm> Others; ///< all that may be running, heard or not
  /** Others lists all VMs that exist. */
  bool IsComplete = false;
  /** The others leave its part to this VM: it has heard one of them since its
      start, they count it all the same, or it is the only one. */
  bool IsConnected = false;
  duration SettleTime{0}; ///< @see quota_homes::update
  /** Time after which all VMs know that a home has been replaced. */
  duration TakeoverDelay{0};
  /** Others may replace a home that did not run for longer than this. */
  duration MaxPause{0};
};

/** A request's search for a token. */
struct quota_search {
  std::vector<std::string> Asked; ///< VMs
  unsigned EmptyHomes = 0;        ///< that had no token
};

/** What one VM has done with the tokens of a limit since it first used it. The
    tokens that it made as a home are those spent from its bucket, those granted
    and those available. */
struct quota_activity {
  std::string Workspace;
  bool IsHome = false;
  /** At which this VM makes tokens; negative: those of a former home go. */
  double RatePerSecond = 0;
  double Available = 0;     ///< in its own bucket
  double SpentOwn = 0;      ///< from its own bucket
  double SpentReceived = 0; ///< of those that other VMs granted
  double Granted = 0;       ///< to other VMs
  double Received = 0;      ///< from other VMs
};

/** Limits the rate and burst of each workspace over all VMs.

    Each request that is admitted spends a token. A limit's tokens are made by
    its homes alone, one VM in each of a few places, and move from there to the
    VMs that ask for them: a token exists once, however many VMs there are. A VM
    whose callers send many requests asks for some in advance. These can be
    spent for a short time only, and count against the limit's burst until then.

    A home that has no token refuses the asker for a while. A workspace far
    beyond its limit thus causes few messages, and most of its requests are
    refused without any.

    Does no I/O and takes the time as an argument. Not thread-safe.
    @see quota_homes
*/
class workspace_quota {
public:
  /** @param Self  name of this VM
      @param OwnPlace  place of this VM
      @param Places  all places of VMs, the same on all VMs */
  workspace_quota(std::string Self, std::string OwnPlace,
                  std::vector<std::string> Places);

  /** Replaces this VM's view of the fleet. To be called several times a
      second: a longer pause counts as one of the process. */
  void updateFleet(const quota_fleet_view &View, time_point Now);

  /** Counts a request of @p Workspace, admitted or not.
      @returns true when this VM has a token for it, which is now spent */
  bool admit(const workspace_name &Workspace, const quota_terms &Terms,
             time_point Now);

  /** To be called when admit() has returned false, and again after an answer
      without tokens or its timeout, until it returns nothing: then the request
      is refused.
      @param Search  of this request; the VM to be asked is added
      @returns the next ask to send */
  std::optional<quota_ask> nextAsk(const workspace_name &Workspace,
                                   const quota_terms &Terms,
                                   quota_search &Search, time_point Now);

  /** Applies the answer of @p Home to an ask, also a late one.
      @param AskedAt  when the ask was sent
      @returns true when it was a home without tokens */
  bool receive(const workspace_name &Workspace, const std::string &Home,
               const quota_grant &Grant, time_point AskedAt, time_point Now);

  /** To be called once for each ask, after its answer or its timeout. */
  void endAsk(const workspace_name &Workspace);

  /** Records that @p Home did not answer in time. */
  void noteUnanswered(const std::string &Home, time_point Now);

  /** Spends a token for a request that admit() has counted.
      @returns false when this VM has none */
  bool take(const workspace_name &Workspace, const quota_terms &Terms,
            time_point Now);

  /** @returns the tokens for an ask of the VM @p Asker, taken out of this VM's
      bucket. */
  quota_grant grant(const std::string &Asker, const workspace_name &Workspace,
                    const quota_terms &Terms, double Wanted, time_point Now);

  /** @returns seconds until a home may have a token again. */
  double secondsToAdmission(const workspace_name &Workspace,
                            time_point Now) const;

  /** @see quota_homes::fraction */
  double fraction() const;

  /** @returns the limits whose tokens were spent or granted since the last
      call, those with the most such tokens first.
      @param Most  their number at most */
  std::vector<quota_activity> takeActivity(std::size_t Most, time_point Now);

private:
  /** Tokens that can be spent until a point in time. */
  struct token_batch {
    double Tokens;
    time_point Until;
  };

  /** The tokens that this VM makes, or has made, as a limit's home. */
  struct home_bucket {
    explicit home_bucket(time_point Start) : Bucket(0, 0, Start) {}
    token_bucket Bucket;
    bool IsHome = false;
    std::deque<token_batch> Grants;
    /** When each VM was last refused. */
    std::unordered_map<std::string, time_point> Refused;
  };

  /** What this VM keeps for a workspace. */
  struct account {
    quota_terms Terms;
    time_point LastUse{};
    std::deque<token_batch> Batches; ///< of other homes
    double RecentRequests = 0;       ///< decays
    time_point LastRequest{};
    std::size_t OpenAsks = 0; ///< asks without an answer
    std::size_t Searches = 0; ///< requests that asked another home
    /** Until when the home in each place is not asked. */
    std::vector<time_point> EmptyUntil;
    std::optional<home_bucket> Home;
    quota_activity Activity;
    double ReportedTokens = 0; ///< spent and granted up to takeActivity()
  };

  account &accountOf(const workspace_name &Workspace, const quota_terms &Terms,
                     time_point Now);
  /** Adapts the bucket of an account, if this VM is or was its home. */
  void refresh(const std::string &Workspace, account &Account, time_point Now);
  /** Gives up what was in the buckets when this VM did not run for so long that
      others may have replaced it as a home. */
  void checkPause(time_point Now);
  /** @returns the places among which the limit is divided, the nearest first.
   */
  std::vector<std::size_t> placesOf(const std::string &Workspace,
                                    const quota_terms &Terms) const;
  bool isAvoided(const std::string &Home, time_point Now) const;

  /** A home that did not answer. */
  struct unanswered_home {
    time_point AvoidUntil{};
    duration Backoff{0};
  };

  std::string Self;
  quota_homes Homes;
  quota_fleet_view View;
  time_point LastUpdate{}; ///< zero: never
  /** Since when this VM's place has had the same homes, and from when on a new
      one of them makes tokens. */
  time_point HomesSince{};
  std::unordered_map<std::string, account> Accounts;
  std::unordered_map<std::string, unanswered_home> Unanswered;
};

} // namespace sesamepaddle

#endif
