#ifndef SESAMEPADDLE_ADMISSION_ATTEMPT_BUDGET_H
#define SESAMEPADDLE_ADMISSION_ATTEMPT_BUDGET_H

#include "sesamepaddle/core/clock.h"
#include "sesamepaddle/core/identifiers.h"

#include <cstddef>
#include <deque>
#include <unordered_map>

namespace sesamepaddle {

/** Bounds of the retries to one service, over all VMs. */
struct attempt_limits {
  double Ratio = 0.2; ///< retries per request in a window
  double Slack = 56;  ///< retries beyond the ratio in a window
  std::chrono::milliseconds Window{10'000};
};

/** Counts the retries of this VM to each service in a sliding window.

    The fleet's bound is the sum of a part that grows with the requests, which
    each VM earns by its own, and a fixed slack, of which each VM has an even
    part.
*/
class attempt_budget {
public:
  /** Counts a request for @p Service. */
  void addRequest(const service_name &Service, time_point Now);

  /** Takes one retry if the window has room for it.
      @param Vms  how many VMs share the slack */
  bool takeRetry(const service_name &Service, const attempt_limits &Limits,
                 std::size_t Vms, time_point Now);

private:
  struct window {
    std::deque<time_point> Requests;
    std::deque<time_point> Retries;
  };
  std::unordered_map<service_name, window> Windows;
};

} // namespace sesamepaddle

#endif
