#ifndef SESAMEPADDLE_MOVES_LATENCY_PROFILE_H
#define SESAMEPADDLE_MOVES_LATENCY_PROFILE_H

#include <array>
#include <chrono>
#include <cstddef>

namespace sesamepaddle {

/** Decides which latencies of a route are slow, from a histogram of the old
    version's latencies. Old counts decay, so recent requests weigh most. */
class latency_profile {
public:
  void add(std::chrono::microseconds Latency);

  /** @returns true when @p Latency is well above what is usual on the old
      version. */
  bool isSlow(std::chrono::microseconds Latency) const;

  /** @returns the share of the old version's requests that are slow by the same
      rule. */
  double slowRate() const;

  /** @returns true when there are enough samples to judge by. */
  bool isReady() const;

private:
  /** Logarithmic, from 1 us. The last one also has all latencies over 2.4 s. */
  static constexpr std::size_t Buckets = 128;
  static std::size_t bucketOf(std::chrono::microseconds Latency);
  void updateThreshold();

  std::array<double, Buckets> Counts{};
  double Total = 0; ///< sum of Counts, decayed like them
  unsigned SinceUpdate = 0;
  std::size_t ThresholdBucket = Buckets;
  double SlowRate = 0;
};

} // namespace sesamepaddle

#endif
