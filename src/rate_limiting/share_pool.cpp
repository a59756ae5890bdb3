#include "sesamepaddle/rate_limiting/share_pool.h"

#include <algorithm>
#include <cmath>

namespace sesamepaddle {

namespace {

// In units of a request; absorbs floating-point rounding errors, which could
// otherwise cost a whole unit.
constexpr double RoundingSlack = 1e-9;

} // namespace

share_pool::share_pool(share_timing Timing, share_rules Rules)
    : Timing(Timing), Rules(Rules) {}

void share_pool::setOwn(share_parts Parts, time_point Now) {
  if (Own == Parts)
    return;
  Own = Parts;
  reshape(Now);
}

void share_pool::setLoan(const vm_name &Owner, share_parts Parts,
                         time_point Deadline, time_point Now) {
  expire(Now);
  if (Deadline <= Now)
    return;
  Loans[Owner] = {Parts, Deadline};
  reshape(Now);
}

void share_pool::setLimit(const limit_name &Limit, limit_shape Shape,
                          time_point Now) {
  expire(Now);
  const auto [Entry, IsNew] =
      Limits.try_emplace(Limit, limit_state{Shape, {0, 0, Now}, {}});
  Entry->second.Shape = Shape;
  reshape(Entry->second, Now);
}

// Handles expiries one by one in the order of time: buckets refill at the old
// rate up to each expiry and are reduced at that time. A late call thus leaves
// the same state as a timely one.
void share_pool::expire(time_point Now) {
  while (true) {
    time_point Next = time_point::max();
    for (const auto &[Owner, Loan] : Loans)
      Next = std::min(Next, Loan.Deadline);
    for (const auto &[Name, Limited] : Limits)
      for (const auto &Grant : Limited.Grants)
        Next = std::min(Next, Grant.Until);
    if (Next > Now)
      return;
    expireAsOf(Next);
  }
}

bool share_pool::tryTake(const limit_name &Limit, double Tokens,
                         time_point Now) {
  if (Rules.ChecksDeadlineAtSpend)
    expire(Now);
  const auto Entry = Limits.find(Limit);
  return Entry != Limits.end() && Entry->second.Bucket.tryTake(Tokens, Now);
}

double share_pool::grant(const vm_identity &Asker, const token_request &Request,
                         time_point Now) {
  expire(Now);
  const auto Entry = Limits.find(Request.Limit);
  const double Unit = Request.Unit;
  if (Entry == Limits.end() || !(Unit > 0))
    return 0;
  limit_state &Limited = Entry->second;
  const time_point Until = Now + Timing.withClockDrift(Timing.GrantTime);
  const double Covered =
      Limited.Shape.Burst * held(Until) / WholeParts - Limited.granted();
  const double Most =
      std::min({Request.Tokens, Limited.Bucket.available(Now), Covered});
  // A fraction of a unit would expire unspent.
  const double Tokens = std::floor(Most / Unit + RoundingSlack) * Unit;
  if (Tokens <= 0 || !Limited.Bucket.tryTake(Tokens, Now))
    return 0;
  if (Rules.CountsGrants)
    Limited.Grants.push_back({Asker, Request.Sequence, Tokens, Until});
  reshape(Limited, Now);
  return Tokens;
}

void share_pool::endGrant(const vm_identity &Asker, const tokens_spent &Spent,
                          time_point Now) {
  expire(Now);
  const auto Entry = Limits.find(Spent.Limit);
  if (Entry == Limits.end())
    return;
  std::erase_if(Entry->second.Grants, [&](const token_grant &Grant) {
    return Grant.Asker == Asker && Grant.Sequence == Spent.Sequence;
  });
  reshape(Entry->second, Now);
}

share_parts share_pool::held(time_point Now) const {
  share_parts Sum = Own;
  for (const auto &[Owner, Loan] : Loans)
    if (Loan.Deadline > Now)
      Sum += Loan.Parts;
  return Sum;
}

bool share_pool::hasGrants(time_point Now) const {
  for (const auto &[Name, Limited] : Limits)
    for (const auto &Grant : Limited.Grants)
      if (Grant.Until > Now)
        return true;
  return false;
}

double share_pool::limit_state::granted() const {
  double Sum = 0;
  for (const auto &Grant : Grants)
    Sum += Grant.Tokens;
  return Sum;
}

void share_pool::expireAsOf(time_point Moment) {
  std::erase_if(Loans, [Moment](const auto &Loan) {
    return Loan.second.Deadline <= Moment;
  });
  for (auto &[Name, Limited] : Limits)
    std::erase_if(Limited.Grants, [Moment](const token_grant &Grant) {
      return Grant.Until <= Moment;
    });
  reshape(Moment);
}

void share_pool::reshape(time_point Now) {
  for (auto &[Name, Limited] : Limits)
    reshape(Limited, Now);
}

void share_pool::reshape(limit_state &Limited, time_point Now) const {
  share_parts Parts = Own;
  for (const auto &[Owner, Loan] : Loans)
    Parts += Loan.Parts;
  const double Fraction = static_cast<double>(Parts) / WholeParts;
  const double Depth = Limited.Shape.Burst * Fraction;
  const double Free = std::max(0.0, Depth - Limited.granted());
  Limited.Bucket.reshape(Limited.Shape.RatePerSecond * Fraction, Free, Now);
  if (!Rules.StartsEmpty && Depth > Limited.Depth)
    Limited.Bucket.give(Depth - Limited.Depth, Now);
  Limited.Depth = Depth;
}

} // namespace sesamepaddle
