#include "sesamepaddle/admission/attempt_budget.h"

#include <algorithm>

namespace sesamepaddle {

namespace {

// Fraction of the fleet's limit that is used. The rest is a safety margin: the
// windows of the VMs are not aligned with the window that is checked, and a VM
// may be replaced within it.
constexpr double UsedFraction = 0.6;
// Bounds the memory of a window. Further requests do not allow more retries.
constexpr std::size_t MaxCountedRequests = 20'000;

void dropBefore(std::deque<time_point> &Times, time_point Start) {
  while (!Times.empty() && Times.front() < Start)
    Times.pop_front();
}

} // namespace

void attempt_budget::addRequest(const service_name &Service, time_point Now) {
  auto &Requests = Windows[Service].Requests;
  if (Requests.size() >= MaxCountedRequests)
    Requests.pop_front();
  Requests.push_back(Now);
}

bool attempt_budget::takeRetry(const service_name &Service,
                               const attempt_limits &Limits, std::size_t Vms,
                               time_point Now) {
  auto &Window = Windows[Service];
  dropBefore(Window.Requests, Now - Limits.Window);
  dropBefore(Window.Retries, Now - Limits.Window);
  const double MaxRetries =
      UsedFraction *
      (Limits.Ratio * static_cast<double>(Window.Requests.size()) +
       Limits.Slack / static_cast<double>(std::max<std::size_t>(Vms, 1)));
  if (static_cast<double>(Window.Retries.size()) + 1 > MaxRetries)
    return false;
  Window.Retries.push_back(Now);
  return true;
}

} // namespace sesamepaddle
