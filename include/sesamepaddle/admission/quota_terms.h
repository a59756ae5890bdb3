#ifndef SESAMEPADDLE_ADMISSION_QUOTA_TERMS_H
#define SESAMEPADDLE_ADMISSION_QUOTA_TERMS_H

#include <chrono>

namespace sesamepaddle {

/** Rate and burst of a workspace over all VMs, and the tolerated overshoot. */
struct quota_terms {
  double RatePerSecond = 0; ///< 0: unlimited
  double Burst = 0;         ///< requests
  /** The overshoot is measured in any window of this length. */
  std::chrono::milliseconds Window{5'000};
  double OvershootRatio = 0.1; ///< of the requests that a window allows
  double OvershootSlack = 20;  ///< requests beyond the ratio in a window

  /** @returns the number of tokens that may exist at the same time: the burst
      and the part of the tolerated overshoot that is used. */
  double depth() const;
};

} // namespace sesamepaddle

#endif
