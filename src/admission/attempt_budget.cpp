#include "sesamepaddle/admission/attempt_budget.h"

#include <algorithm>
#include <cmath>

namespace sesamepaddle {

namespace {

// Fractions of the fleet's limit that are used. The retries of all VMs in one
// window may be due to requests of two: those of the window before at one VM,
// those of the window itself at another.
constexpr double UsedRatio = 0.5;
constexpr double UsedSlack = 0.7;
// The same for the first window of a process, of which it gets a part that
// grows with its age: the processes that a VM had before may have used
// UsedSlack in the same window, and the ages of later ones add up to one window
// at most.
constexpr double UsedSlackAtStart = 0.3;
// Bound on the time from a caller's sending to the arrival here, plus that from
// the decision to retry to the arrival at the service: 250 ms to open a
// connection, and a round trip between regions.
constexpr std::chrono::milliseconds TransitTime{300};
// Bounds the memory of a window. Further requests do not allow more retries.
constexpr std::size_t MaxCountedRequests = 20'000;

/** @returns the fraction of its share of the slack that a process of @p Age may
    use. */
double usedSlack(duration Age, duration Window) {
  if (Age >= Window)
    return UsedSlack;
  using seconds = std::chrono::duration<double>;
  return UsedSlackAtStart * std::max(0.0, seconds(Age) / seconds(Window));
}

void dropBefore(std::deque<time_point> &Times, time_point Start) {
  while (!Times.empty() && Times.front() < Start)
    Times.pop_front();
}

} // namespace

void attempt_budget::addRequest(const service_name &Service, time_point Now) {
  auto &Window = Windows[Service];
  ++Window.Totals.Requests;
  auto &Requests = Window.Requests;
  if (Requests.size() >= MaxCountedRequests)
    Requests.pop_front();
  Requests.push_back(Now);
}

retry_decision attempt_budget::takeRetry(const service_name &Service,
                                         const attempt_limits &Limits,
                                         std::size_t Vms, time_point Now) {
  auto &Window = Windows[Service];
  retry_decision Decision;
  if (std::isinf(Limits.Slack)) {
    ++Window.Totals.Retries;
    Decision.MaxRetries = Limits.Slack;
    Decision.IsAllowed = true;
    return Decision;
  }
  // What reaches the service within a window was decided within a longer one,
  // and has to be due to requests that an observer counts in a shorter one.
  const auto RetryWindow = Limits.Window + TransitTime;
  dropBefore(Window.Requests, Now - (Limits.Window - TransitTime));
  dropBefore(Window.Retries, Now - RetryWindow);
  Decision.Retries = Window.Retries.size();
  Decision.Vms = std::max<std::size_t>(Vms, 1);
  Decision.MaxRetries =
      UsedRatio * Limits.Ratio * static_cast<double>(Window.Requests.size()) +
      usedSlack(Now - StartedAt, RetryWindow) * Limits.Slack /
          static_cast<double>(Decision.Vms);
  Decision.IsAllowed =
      static_cast<double>(Decision.Retries) + 1 <= Decision.MaxRetries;
  if (Decision.IsAllowed) {
    Window.Retries.push_back(Now);
    ++Window.Totals.Retries;
  } else {
    ++Window.Totals.RefusedRetries;
  }
  return Decision;
}

void attempt_budget::addUnsent(const service_name &Service, bool WasConnected) {
  auto &Totals = Windows[Service].Totals;
  ++(WasConnected ? Totals.Withdrawn : Totals.Unconnected);
}

void attempt_budget::addForbidden(const service_name &Service) {
  ++Windows[Service].Totals.Forbidden;
}

} // namespace sesamepaddle
