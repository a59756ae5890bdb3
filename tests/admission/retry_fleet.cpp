#include "admission/retry_fleet.h"

#include <algorithm>

namespace sesamepaddle {

using std::chrono::milliseconds;

retry_fleet::retry_fleet(std::size_t Count, const attempt_limits &Limits,
                         std::uint64_t Seed)
    : Limits(Limits), Random(Seed) {
  grow(Count);
}

void retry_fleet::grow(std::size_t Count) {
  while (Vms.size() < Count)
    Vms.emplace_back(Now);
}

double retry_fleet::draw() {
  return std::uniform_real_distribution<double>(0, 1)(Random);
}

milliseconds retry_fleet::drawTime(milliseconds Bound) {
  return milliseconds(static_cast<std::int64_t>(
      draw() * static_cast<double>(Bound.count() + 1)));
}

void retry_fleet::run(milliseconds Time, double Rate) {
  run(Time,
      std::vector<double>(Vms.size(), Rate / static_cast<double>(Vms.size())));
}

void retry_fleet::run(milliseconds Time, const std::vector<double> &Rates) {
  const double StepSeconds = std::chrono::duration<double>(Step).count();
  for (const auto End = Now + Time; Now < End; Now += Step)
    for (std::size_t Index = 0; Index < Vms.size(); ++Index) {
      auto &Vm = Vms[Index];
      const auto Count = std::poisson_distribution<std::size_t>(
          Rates[Index] * StepSeconds)(Random);
      Requests.insert(Requests.end(), Count, Now);
      if (!Vm.IsRunning)
        continue;
      Vm.Waiting.insert(Vm.Waiting.end(), Count, Now);
      if (Vm.IsPaused)
        continue;
      for (; !Vm.Waiting.empty(); Vm.Waiting.pop_front())
        if (Now - Vm.Waiting.front() <= MaxWait)
          receiveRequest(Vm);
      retryFailed(Vm);
    }
}

void retry_fleet::receiveRequest(vm &Vm) {
  Vm.Budget.addRequest(service_name("orders"), Now);
  if (draw() < FailingShare)
    Vm.Failing.push_back(Now + drawTime(MaxAttemptTime));
}

void retry_fleet::retryFailed(vm &Vm) {
  std::erase_if(Vm.Failing, [&](time_point FailsAt) {
    if (FailsAt > Now)
      return false;
    const bool IsAllowed =
        Vm.Budget.takeRetry(service_name("orders"), Limits, Vms.size(), Now)
            .IsAllowed;
    ++(IsAllowed ? Allowed : Refused);
    if (IsAllowed)
      Retries.push_back(Now + drawTime(MaxTransitTime));
    return true;
  });
}

void retry_fleet::restart(std::size_t Vm) { Vms[Vm] = vm(Now); }

void retry_fleet::restartAll() {
  for (std::size_t Vm = 0; Vm < Vms.size(); ++Vm)
    restart(Vm);
}

void retry_fleet::stop(std::size_t Vm) {
  restart(Vm);
  Vms[Vm].IsRunning = false;
}

double retry_fleet::refusedShare() const {
  const auto Asked = Allowed + Refused;
  return Asked == 0 ? 0
                    : static_cast<double>(Refused) / static_cast<double>(Asked);
}

double retry_fleet::ratioInWindow(time_point From) const {
  const auto CountIn = [&](const std::vector<time_point> &Times,
                           time_point Start) {
    const auto First = std::lower_bound(Times.begin(), Times.end(), Start);
    return static_cast<double>(
        std::lower_bound(First, Times.end(), Start + Limits.Window) - First);
  };
  const double MostRequests = std::max(
      {CountIn(Requests, From), CountIn(Requests, From - Limits.Window),
       CountIn(Requests, From - Limits.Window / 2)});
  return CountIn(Retries, From) / (Limits.Ratio * MostRequests + Limits.Slack);
}

double retry_fleet::worstWindow() const {
  auto Sorted = *this;
  std::sort(Sorted.Retries.begin(), Sorted.Retries.end());
  double Worst = 0;
  for (const auto Retry : Sorted.Retries)
    Worst = std::max(Worst, Sorted.ratioInWindow(Retry));
  // A window may also begin between two retries, where it has fewer requests.
  for (auto From = time_point(std::chrono::hours(1)); From < Now; From += Step)
    Worst = std::max(Worst, Sorted.ratioInWindow(From));
  return Worst;
}

} // namespace sesamepaddle
