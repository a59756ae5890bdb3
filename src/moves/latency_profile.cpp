#include "sesamepaddle/moves/latency_profile.h"

#include <algorithm>
#include <cmath>

namespace sesamepaddle {

namespace {

// Buckets are logarithmic: this many for each doubling of the latency.
constexpr double BucketsPerOctave = 6;

// A latency is slow when it lies more than MarginBuckets, a factor of 1.26,
// above the bucket of this quantile.
constexpr double ThresholdQuantile = 0.9;
constexpr std::size_t MarginBuckets = 2;

// The threshold is updated after this many samples; all counts then decay by
// this factor.
constexpr unsigned UpdateInterval = 32;
constexpr double DecayPerUpdate = 0.97;

// Number of samples, after decay, that isReady() requires. The threshold has
// been computed by then, because this exceeds UpdateInterval.
constexpr double ReadySamples = 48;

} // namespace

void latency_profile::add(std::chrono::microseconds Latency) {
  Counts[bucketOf(Latency)] += 1;
  Total += 1;
  if (++SinceUpdate == UpdateInterval)
    updateThreshold();
}

bool latency_profile::isSlow(std::chrono::microseconds Latency) const {
  return bucketOf(Latency) > ThresholdBucket;
}

double latency_profile::slowRate() const { return SlowRate; }

bool latency_profile::isReady() const { return Total >= ReadySamples; }

std::size_t latency_profile::bucketOf(std::chrono::microseconds Latency) {
  const auto Micros = std::max<double>(1, static_cast<double>(Latency.count()));
  const auto Bucket =
      static_cast<std::size_t>(std::log2(Micros) * BucketsPerOctave);
  return std::min(Bucket, Buckets - 1);
}

void latency_profile::updateThreshold() {
  SinceUpdate = 0;
  double Below = 0;
  std::size_t Bucket = 0;
  while (Bucket + 1 < Buckets &&
         Below + Counts[Bucket] < Total * ThresholdQuantile)
    Below += Counts[Bucket++];
  ThresholdBucket = std::min(Bucket + MarginBuckets, Buckets - 1);
  double Slow = 0;
  for (std::size_t Index = ThresholdBucket + 1; Index < Buckets; ++Index)
    Slow += Counts[Index];
  SlowRate = Slow / Total;
  for (auto &Count : Counts)
    Count *= DecayPerUpdate;
  Total *= DecayPerUpdate;
}

} // namespace sesamepaddle
