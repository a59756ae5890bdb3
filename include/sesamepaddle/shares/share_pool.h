#ifndef SESAMEPADDLE_SHARES_SHARE_POOL_H
#define SESAMEPADDLE_SHARES_SHARE_POOL_H

#include "sesamepaddle/shares/share_messages.h"
#include "sesamepaddle/shares/token_bucket.h"

#include <map>
#include <vector>

namespace sesamepaddle {

/** The parts of one slot that this VM may use: its own and those lent to it,
    with one bucket for each limit of the slot. */
class share_pool {
public:
  explicit share_pool(share_timing Timing = {}, share_rules Rules = {});

  /** Sets the own parts that count here. */
  void setOwn(share_parts Parts, time_point Now);

  /** Takes in or renews what @p Owner lends until @p Deadline. */
  void setLoan(const vm_name &Owner, share_parts Parts, time_point Deadline,
               time_point Now);

  /** Adds a limit or gives it another shape. */
  void setLimit(const limit_name &Limit, limit_shape Shape, time_point Now);

  /** Ends the loans and grants whose time is over. */
  void expire(time_point Now);

  /** Spends tokens at @p Now. @returns false when there are fewer. */
  bool tryTake(const limit_name &Limit, double Tokens, time_point Now);

  /** Hands out up to the tokens that another VM wants, in whole multiples of
      its unit and no more than what surely stays covered until they end.
      @returns the tokens handed out. */
  double grant(const vm_identity &Asker, const token_request &Request,
               time_point Now);

  /** Stops counting what was handed out for a request, which is spent. */
  void endGrant(const vm_identity &Asker, const tokens_spent &Spent,
                time_point Now);

  /** @returns the parts that are held at @p Now. */
  share_parts held(time_point Now) const;

  /** @returns true while handed-out tokens can still be spent. */
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
    double Depth = 0;

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
