#ifndef SESAMEPADDLE_SHARES_TOKEN_CACHE_H
#define SESAMEPADDLE_SHARES_TOKEN_CACHE_H

#include "sesamepaddle/shares/share_messages.h"

#include <map>
#include <optional>
#include <vector>

namespace sesamepaddle {

/** Tokens that homes handed out to this VM, ahead of need. */
class token_cache {
public:
  explicit token_cache(incarnation Self, share_timing Timing = {},
                       share_rules Rules = {});

  /** Makes a request for tokens and notes when it was sent. */
  token_request ask(const limit_name &Limit, double Tokens, double Unit,
                    time_point Now);

  /** Takes in an answer. Repeated answers and those to an earlier process are
      ignored. */
  void receive(const token_reply &Reply, time_point Now);

  /** Spends tokens at @p Now. @returns false when there are fewer. */
  bool tryTake(const limit_name &Limit, double Tokens, time_point Now);

  /** @returns the answers whose tokens are all spent, and forgets them. */
  std::vector<tokens_spent> takeSpent();

  /** Drops what can no longer be spent. */
  void expire(time_point Now);

  /** @returns the tokens that can be spent at @p Now. */
  double available(const limit_name &Limit, time_point Now) const;

  /** @returns true while a request for the limit is not answered. */
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
