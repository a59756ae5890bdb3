#ifndef SESAMEPADDLE_ADMISSION_ATTEMPT_BUDGET_H
#define SESAMEPADDLE_ADMISSION_ATTEMPT_BUDGET_H

#include "sesamepaddle/core/clock.h"
#include "sesamepaddle/core/identifiers.h"

#include <cstddef>
#include <deque>
#include <unordered_map>

namespace sesamepaddle {

/** Limits of the retries to one service in any window, over all VMs
    together. */
struct attempt_limits {
  double Ratio = 0.2; ///< retries per request
  double Slack = 56;  ///< retries beyond the ratio
  std::chrono::milliseconds Window{10'000};
};

/** Limits the retries of this VM to each service in a sliding window.

    The limit of the fleet is the sum of a part that is proportional to the
    requests and a fixed slack. Each VM may use the part that results from its
    own requests and an equal share of the slack.
*/
class attempt_budget {
public:
  /** Counts a request for @p Service. */
  void addRequest(const service_name &Service, time_point Now);

  /** Counts a retry if the window has room for it.
      @param Vms  number of VMs that share the slack
      @returns true when the retry is allowed */
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
