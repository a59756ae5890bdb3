#ifndef SESAMEPADDLE_UPSTREAMS_RETRY_BUDGET_H
#define SESAMEPADDLE_UPSTREAMS_RETRY_BUDGET_H

#include <atomic>
#include <cstdint>

namespace sesamepaddle {

/** Token bucket that limits retries to a tenth of the requests plus a burst, so
    that they can't multiply the load on failing upstreams. Thread-safe. */
class retry_budget {
public:
  /** Records a first attempt, which earns a tenth of a retry. */
  void addRequest();

  /** Spends one retry if there is credit for it.
      @returns true when the retry may be made */
  bool takeRetry();

private:
  static constexpr std::int64_t RetryCost = 10; ///< first attempts per retry
  static constexpr std::int64_t LargestCredit = 100; ///< a burst of 10 retries
  std::atomic<std::int64_t> Credit{LargestCredit};
};

} // namespace sesamepaddle

#endif
