#include "sesamepaddle/rate_limiting/token_cache.h"

#include <algorithm>
#include <utility>

namespace sesamepaddle {

namespace {

// In tokens; absorbs floating-point rounding errors in the sum of batches.
constexpr double RoundingSlack = 1e-9;

} // namespace

token_cache::token_cache(incarnation Self, share_timing Timing,
                         share_rules Rules)
    : Self(Self), Timing(Timing), Rules(Rules) {}

token_request token_cache::ask(const limit_name &Limit, double Tokens,
                               double Unit, time_point Now) {
  const share_sequence Sequence = ++LastSequence;
  Open[Sequence] = {Limit, Now};
  return {Sequence, Limit, Tokens, Unit};
}

// The deadline counts from when the request was sent. The home counts the same
// time, extended for clock drift, from its later reply, so the tokens expire
// here before the home treats them as expired.
void token_cache::receive(const token_reply &Reply, time_point Now) {
  if (Rules.ChecksIncarnation && Reply.Asker != Self)
    return;
  const auto Entry = Open.find(Reply.Sequence);
  if (Entry == Open.end())
    return;
  const time_point Deadline = Entry->second.SentAt + Timing.GrantTime;
  Open.erase(Entry);
  if (Reply.Tokens > 0 && Now < Deadline)
    Batches[Reply.Limit].push_back({Reply.Sequence, Reply.Tokens, Deadline});
}

bool token_cache::tryTake(const limit_name &Limit, double Tokens,
                          time_point Now) {
  if (Rules.ChecksDeadlineAtSpend)
    expire(Now);
  const auto Entry = Batches.find(Limit);
  if (Entry == Batches.end())
    return false;
  double Sum = 0;
  for (const auto &Batch : Entry->second)
    Sum += Batch.Tokens;
  if (Sum + RoundingSlack < Tokens)
    return false;
  for (auto &Batch : Entry->second) {
    const double Used = std::min(Tokens, Batch.Tokens);
    Batch.Tokens -= Used;
    Tokens -= Used;
    if (Used > 0 && Batch.Tokens <= 0)
      Spent.push_back({Batch.Sequence, Limit});
  }
  return true;
}

std::vector<tokens_spent> token_cache::takeSpent() {
  return std::exchange(Spent, {});
}

void token_cache::expire(time_point Now) {
  for (auto &[Limit, List] : Batches)
    std::erase_if(List, [Now](const batch &Batch) {
      return Batch.Deadline <= Now || Batch.Tokens <= 0;
    });
  std::erase_if(Open, [&](const auto &Request) {
    return Request.second.SentAt + Timing.GrantTime <= Now;
  });
}

double token_cache::available(const limit_name &Limit, time_point Now) const {
  const auto Entry = Batches.find(Limit);
  double Sum = 0;
  if (Entry != Batches.end())
    for (const auto &Batch : Entry->second)
      Sum += Batch.Deadline > Now ? Batch.Tokens : 0;
  return Sum;
}

bool token_cache::hasOpenRequest(const limit_name &Limit) const {
  return std::any_of(Open.begin(), Open.end(), [&](const auto &Request) {
    return Request.second.Limit == Limit;
  });
}

} // namespace sesamepaddle
