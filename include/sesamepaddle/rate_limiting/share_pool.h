#ifndef SESAMEPADDLE_RATE_LIMITING_SHARE_POOL_H
#define SESAMEPADDLE_RATE_LIMITING_SHARE_POOL_H

#include "sesamepaddle/rate_limiting/share_messages.h"
#include "sesamepaddle/rate_limiting/token_bucket.h"

#include <map>
#include <vector>

namespace sesamepaddle {

/** The parts of one slot that this VM may use, its own and those lent to it,
    and one token bucket for each limit of the slot. */
class share_pool {
public:
  explicit share_pool(share_timing Timing = {}, share_rules Rules = {});

  /** Sets the own parts that this VM may use in the slot. */
  void setOwn(share_parts Parts, time_point Now);

  /** Adds or renews a loan from @p Owner. */
  void setLoan(const vm_name &Owner, share_parts Parts, time_point Deadline,
               time_point Now);

  /** Adds a limit or changes its shape. */
  void setLimit(const limit_name &Limit, limit_shape Shape, time_point Now);

  /** Removes expired loans and grants. */
  void expire(time_point Now);

  /** Spends @p Tokens, all or none.
      @returns false when fewer are available. */
  bool tryTake(const limit_name &Limit, double Tokens, time_point Now);

  /** Grants at most the tokens that a VM requests, in whole multiples of its
      unit, and no more than is covered by the parts that this VM still holds
      when the grant ends.
      @returns the tokens granted. */
  double grant(const vm_identity &Asker, const token_request &Request,
               time_point Now);

  /** Removes the grant for a request because its tokens are spent. */
  void endGrant(const vm_identity &Asker, const tokens_spent &Spent,
                time_point Now);

  /** @returns the parts that this VM may use at @p Now, own and lent. */
  share_parts held(time_point Now) const;

  /** @returns true while granted tokens can still be spent. */
  bool hasGrants(time_point Now) const;

private:
  struct loan {
    share_parts Parts;
    time_point Deadline;
  };
  struct token_grant {
    vm_identity Asker;
    share_sequence Sequence;
    double Tokens;
    time_point Until;
  };
  struct limit_state {
    limit_shape Shape;
    token_bucket Bucket;
    std::vector<token_grant> Grants;
    double Depth = 0; ///< before the grants are subtracted

    double granted() const;
  };

  void expireAsOf(time_point Moment);
  void reshape(time_point Now);
  void reshape(limit_state &Limited, time_point Now) const;

  share_timing Timing;
  share_rules Rules;
  share_parts Own = 0;
  std::map<vm_name, loan> Loans;
  std::map<limit_name, limit_state> Limits;
};

} // namespace sesamepaddle

#endif
