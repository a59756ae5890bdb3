#ifndef SESAMEPADDLE_TESTS_ADMISSION_RETRY_FLEET_H
#define SESAMEPADDLE_TESTS_ADMISSION_RETRY_FLEET_H

#include "sesamepaddle/admission/attempt_budget.h"

#include <cstdint>
#include <deque>
#include <random>
#include <vector>

namespace sesamepaddle {

/** Simulates VMs that send the requests for one service, each with a budget of
    its own. An attempt fails some time after its request arrived, and is
    retried once if the VM's budget allows it; the retry reaches its endpoint a
    little later. VMs can be restarted, stopped and paused. Counts what the
    service gets, as an observer outside of the VMs sees it. */
class retry_fleet {
public:
  static constexpr std::chrono::milliseconds Step{10};

  retry_fleet(std::size_t Vms, const attempt_limits &Limits,
              std::uint64_t Seed);

  /** Simulates @p Time with @p Rates requests per second, by VM. */
  void run(std::chrono::milliseconds Time, const std::vector<double> &Rates);
  /** The same with requests spread evenly over all VMs.
      @param Rate  requests per second of all VMs together */
  void run(std::chrono::milliseconds Time, double Rate);

  /** Replaces the process of @p Vm, or starts it after stop(). */
  void restart(std::size_t Vm);
  void restartAll();
  /** Ends the process of @p Vm. Requests that are sent to it don't arrive. */
  void stop(std::size_t Vm);
  /** Stops the process of @p Vm from running, or lets it go on. Requests that
      came meanwhile are handled then, unless their callers have left. */
  void setPaused(std::size_t Vm, bool IsPaused) { Vms[Vm].IsPaused = IsPaused; }
  /** Adds VMs. All VMs count @p Count VMs from now on. */
  void grow(std::size_t Count);
  std::size_t size() const { return Vms.size(); }

  /** @returns the largest number of retries that reached the service in any
      window, divided by the number allowed there. */
  double worstWindow() const;

  /** @returns the fraction of retries refused since resetCounts(). */
  double refusedShare() const;
  void resetCounts() { Allowed = Refused = 0; }

  double FailingShare = 1; ///< probability that a first attempt fails
  /** Bound on the time from an arrival to the failure of the attempt. */
  std::chrono::milliseconds MaxAttemptTime{1'500};
  /** Bound on the time from the decision to retry to the arrival at the
      service. */
  std::chrono::milliseconds MaxTransitTime{250};
  /** Callers leave when their request was not read for so long. */
  std::chrono::milliseconds MaxWait{1'000};

private:
  struct vm {
    explicit vm(time_point StartedAt) : Budget(StartedAt) {}

    attempt_budget Budget;
    std::vector<time_point> Failing; ///< when attempts in progress will fail
    std::deque<time_point> Waiting;  ///< requests that were not read yet
    bool IsRunning = true;
    bool IsPaused = false;
  };

  void receiveRequest(vm &Vm);
  void retryFailed(vm &Vm);
  /** @returns the retries in the window from @p From on, divided by the number
      allowed. */
  double ratioInWindow(time_point From) const;
  std::chrono::milliseconds drawTime(std::chrono::milliseconds Bound);
  double draw();

  attempt_limits Limits;
  std::mt19937_64 Random;
  time_point Now = time_point(std::chrono::hours(1));
  std::vector<vm> Vms;
  std::vector<time_point> Requests; ///< as callers sent them
  std::vector<time_point> Retries;  ///< as they reached the service
  std::size_t Allowed = 0;
  std::size_t Refused = 0;
};

} // namespace sesamepaddle

#endif
