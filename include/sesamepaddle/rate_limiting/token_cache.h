#ifndef SESAMEPADDLE_RATE_LIMITING_TOKEN_CACHE_H
#define SESAMEPADDLE_RATE_LIMITING_TOKEN_CACHE_H

#include "sesamepaddle/rate_limiting/share_messages.h"

#include <map>
#include <optional>
#include <vector>

namespace sesamepaddle {

/** Tokens that homes granted to this VM and that it has not spent yet. */
class token_cache {
public:
  explicit token_cache(incarnation Self, share_timing Timing = {},
                       share_rules Rules = {});

  /** Creates a request for tokens and records @p Now as the time it was sent.
      @see share_holder::askHome */
  token_request ask(const limit_name &Limit, double Tokens, double Unit,
                    time_point Now);

  /** Adds the tokens of a reply. Repeated replies and replies to an earlier
      process are ignored. */
  void receive(const token_reply &Reply, time_point Now);

  /** Spends @p Tokens, all or none.
      @returns false when fewer are available. */
  bool tryTake(const limit_name &Limit, double Tokens, time_point Now);

  /** @returns one notice for each reply whose tokens have all been spent since
      the last call. */
  std::vector<tokens_spent> takeSpent();

  /** Removes tokens and open requests that have expired. */
  void expire(time_point Now);

  /** @returns the tokens that have not expired at @p Now. */
  double available(const limit_name &Limit, time_point Now) const;

  /** @returns true while a request for the limit awaits its reply. */
  bool hasOpenRequest(const limit_name &Limit) const;

private:
  struct batch {
    share_sequence Sequence;
    double Tokens;
    time_point Deadline;
  };
  struct open_request {
    limit_name Limit;
    time_point SentAt;
  };

  incarnation Self;
  share_timing Timing;
  share_rules Rules;
  share_sequence LastSequence = 0;
  std::map<share_sequence, open_request> Open;
  std::map<limit_name, std::vector<batch>> Batches;
  std::vector<tokens_spent> Spent;
};

} // namespace sesamepaddle

#endif
