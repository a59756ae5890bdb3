#ifndef SESAMEPADDLE_MOVES_USUAL_LATENCY_H
#define SESAMEPADDLE_MOVES_USUAL_LATENCY_H

#include "sesamepaddle/core/clock.h"

namespace sesamepaddle {

/** How long answers on one route usually take at the old version of a service,
    so that answers of a new one can be called slow.

    Endpoints are several times as fast on an object that they have handled, and
    those of a new version have handled none. The two kinds of answers are kept
    apart. */
class usual_latency {
public:
  /** Counts an answer of the old version. */
  void add(bool IsKnownObject, duration Took);

  /** @returns true when an answer of either version took several times as long
      as usual; false as long as too few are known. */
  bool isSlow(bool IsKnownObject, duration Took) const;

  /** @returns how long an answer for an unknown object usually takes; zero as
      long as too few are known. */
  duration forUnknownObject() const;

private:
  struct average {
    double Seconds = 0;
    unsigned Answers = 0;

    void add(double Latest);
    bool isUsable() const;
  };

  average Known;
  average Unknown;
};

} // namespace sesamepaddle

#endif
