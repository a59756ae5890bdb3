#include "sesamepaddle/upstreams/retry_budget.h"

namespace sesamepaddle {

void retry_budget::addRequest() {
  auto Seen = Credit.load(std::memory_order_relaxed);
  while (Seen < LargestCredit &&
         !Credit.compare_exchange_weak(Seen, Seen + 1,
                                       std::memory_order_relaxed)) {
  }
}

bool retry_budget::takeRetry() {
  auto Seen = Credit.load(std::memory_order_relaxed);
  while (Seen >= RetryCost)
    if (Credit.compare_exchange_weak(Seen, Seen - RetryCost,
                                     std::memory_order_relaxed))
      return true;
  return false;
}

} // namespace sesamepaddle
