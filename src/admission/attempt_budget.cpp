#include "sesamepaddle/admission/attempt_budget.h"

#include <algorithm>

namespace sesamepaddle {

namespace {

// Part of the fleet's bound that is used: the VMs' windows are not aligned with
// the one that is counted, and a VM may be replaced within it.
constexpr double SafePart = 0.6;
// Memory of one window is bounded; beyond it requests earn no retries.
constexpr std::size_t MaxCounted = 20'000;

void dropBefore(std::deque<time_point> &Times, time_point Start) {
  while (!Times.empty() && Times.front() < Start)
    Times.pop_front();
}

} // namespace

void attempt_budget::addRequest(const service_name &Service, time_point Now) {
  auto &Requests = Windows[Service].Requests;
  if (Requests.size() >= MaxCounted)
    Requests.pop_front();
  Requests.push_back(Now);
}

bool attempt_budget::takeRetry(const service_name &Service,
                               const attempt_limits &Limits, std::size_t Vms,
                               time_point Now) {
  auto &Window = Windows[Service];
  dropBefore(Window.Requests, Now - Limits.Window);
  dropBefore(Window.Retries, Now - Limits.Window);
  const double Most =
      SafePart *
      (Limits.Ratio * static_cast<double>(Window.Requests.size()) +
       Limits.Slack / static_cast<double>(std::max<std::size_t>(Vms, 1)));
  if (static_cast<double>(Window.Retries.size()) + 1 > Most)
    return false;
  Window.Retries.push_back(Now);
  return true;
}

} // namespace sesamepaddle
