#ifndef SESAMEPADDLE_RATE_LIMITING_TOKEN_BUCKET_H
#define SESAMEPADDLE_RATE_LIMITING_TOKEN_BUCKET_H

#include "sesamepaddle/core/clock.h"

namespace sesamepaddle {

/** A token bucket that starts empty. In any interval of t seconds it lets
    through at most depth + rate * t tokens. */
class token_bucket {
public:
  /** @param RatePerSecond  tokens that come in, or go if it is negative
      @param Now  when the refill starts */
  token_bucket(double RatePerSecond, double Depth, time_point Now);

  /** Takes @p Wanted tokens, all or none.
      @returns false when fewer are available. */
  bool tryTake(double Wanted, time_point Now);

  /** Changes the rate and depth. Tokens above the new depth are lost. */
  void reshape(double NewRatePerSecond, double NewDepth, time_point Now);

  /** Adds tokens up to the depth; the rest are lost. */
  void give(double Added, time_point Now);

  /** @returns the tokens available at @p Now. */
  double available(time_point Now) const;

  /** @returns the tokens that come in per second. */
  double rate() const { return RatePerSecond; }

private:
  void refill(time_point Now);

  double RatePerSecond;
  double Depth;
  double Tokens = 0;
  time_point LastRefill;
};

} // namespace sesamepaddle

#endif
