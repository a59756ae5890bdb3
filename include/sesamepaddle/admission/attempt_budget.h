#ifndef SESAMEPADDLE_ADMISSION_ATTEMPT_BUDGET_H
#define SESAMEPADDLE_ADMISSION_ATTEMPT_BUDGET_H

#include "sesamepaddle/core/clock.h"
#include "sesamepaddle/core/identifiers.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>

namespace sesamepaddle {

/** Limits of the retries to one service in any window, over all VMs
    together. */
struct attempt_limits {
  double Ratio = 0.2; ///< retries per request
  double Slack = 56;  ///< retries beyond the ratio
  std::chrono::milliseconds Window{10'000};
};

/** Whether a retry is allowed, and the figures that decided it. */
struct retry_decision {
  bool IsAllowed = false;
  std::size_t Retries = 0; ///< of this VM in the window, before this one
  double MaxRetries = 0;   ///< of this VM in the window
  std::size_t Vms = 0;     ///< number of VMs that share the slack
};

/** Counts since the start of the process, for one service. */
struct attempt_totals {
  std::uint64_t Requests = 0;
  std::uint64_t Retries = 0;        ///< allowed
  std::uint64_t RefusedRetries = 0; ///< for lack of budget
  std::uint64_t Unconnected = 0;    ///< attempts that got no connection
  std::uint64_t Withdrawn = 0; ///< not sent on the connection that was opened
  std::uint64_t Forbidden = 0; ///< retries that a newer configuration forbade
};

/** Limits the retries of this VM to each service in a sliding window.

    The limit of the fleet is the sum of a part that is proportional to the
    requests and a fixed slack. Each VM may use the part that results from its
    own requests and an equal share of the slack. A process does not know the
    retries of those that its VM had before, so its share of the slack grows
    from nothing during its first window.
*/
class attempt_budget {
public:
  /** @param StartedAt  start of the process */
  explicit attempt_budget(time_point StartedAt) : StartedAt(StartedAt) {}

  /** Counts a request for @p Service. */
  void addRequest(const service_name &Service, time_point Now);

  /** Counts a retry if the window has room for it.
      @param Vms  number of VMs that share the slack */
  retry_decision takeRetry(const service_name &Service,
                           const attempt_limits &Limits, std::size_t Vms,
                           time_point Now);

  /** Counts an attempt of which no byte was sent. It uses none of the budget.
      @param WasConnected  false when there was no connection */
  void addUnsent(const service_name &Service, bool WasConnected);
  /** Counts a retry that a configuration newer than the last attempt forbids.
   */
  void addForbidden(const service_name &Service);

  /** Calls @p Visit(service_name, attempt_totals) for each service. */
  template <typename Visitor> void forEach(Visitor Visit) const {
    for (const auto &[Service, Window] : Windows)
      Visit(Service, Window.Totals);
  }

private:
  struct window {
    std::deque<time_point> Requests;
    std::deque<time_point> Retries;
    attempt_totals Totals;
  };
  time_point StartedAt;
  std::map<service_name, window> Windows;
};

} // namespace sesamepaddle

#endif
