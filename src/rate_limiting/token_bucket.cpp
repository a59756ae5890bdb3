#include "sesamepaddle/rate_limiting/token_bucket.h"

#include <algorithm>

namespace sesamepaddle {

namespace {

// In tokens. Rounding errors accumulate over refills; without this slack, a
// bucket that holds a whole token could refuse it.
constexpr double RoundingSlack = 1e-9;

double secondsBetween(time_point From, time_point To) {
  return std::max(0.0, std::chrono::duration<double>(To - From).count());
}

} // namespace

token_bucket::token_bucket(double RatePerSecond, double Depth, time_point Now)
    : RatePerSecond(RatePerSecond), Depth(Depth), LastRefill(Now) {}

bool token_bucket::tryTake(double Wanted, time_point Now) {
  refill(Now);
  if (Tokens + RoundingSlack < Wanted)
    return false;
  Tokens = std::max(0.0, Tokens - Wanted);
  return true;
}

void token_bucket::reshape(double NewRatePerSecond, double NewDepth,
                           time_point Now) {
  refill(Now);
  RatePerSecond = NewRatePerSecond;
  Depth = NewDepth;
  Tokens = std::min(Tokens, Depth);
}

void token_bucket::give(double Added, time_point Now) {
  refill(Now);
  Tokens = std::min(Depth, Tokens + Added);
}

double token_bucket::available(time_point Now) const {
  return std::clamp(Tokens + RatePerSecond * secondsBetween(LastRefill, Now),
                    0.0, Depth);
}

void token_bucket::refill(time_point Now) {
  Tokens = available(Now);
  LastRefill = std::max(LastRefill, Now);
}

} // namespace sesamepaddle
