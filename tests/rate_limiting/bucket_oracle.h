#ifndef SESAMEPADDLE_TESTS_RATE_LIMITING_BUCKET_ORACLE_H
#define SESAMEPADDLE_TESTS_RATE_LIMITING_BUCKET_ORACLE_H

#include "sesamepaddle/rate_limiting/share_types.h"

#include <algorithm>

namespace sesamepaddle {

/** Checks the tokens that all VMs take against one bucket that starts full.
    While its shape is unchanged, the level never falls below zero if and only
    if in every interval of t seconds at most burst + rate * t are taken. */
class bucket_oracle {
public:
  explicit bucket_oracle(limit_shape Shape)
      : Shape(Shape), Level(Shape.Burst) {}

  void reshape(limit_shape NewShape, time_point Now) {
    refill(Now);
    Shape = NewShape;
    Level = std::min(Level, Shape.Burst);
  }

  /** Records that tokens were taken.
      @returns false when more were taken than the limit allows. */
  bool take(double Tokens, time_point Now) {
    constexpr double RoundingSlack = 1e-6; // tokens
    refill(Now);
    Level -= Tokens;
    return Level >= -RoundingSlack;
  }

  double level() const { return Level; }

private:
  void refill(time_point Now) {
    const double Seconds = std::chrono::duration<double>(Now - Last).count();
    Level = std::min(Shape.Burst, Level + Shape.RatePerSecond * Seconds);
    Last = Now;
  }

  limit_shape Shape;
  double Level;
  time_point Last{};
};

} // namespace sesamepaddle

#endif
