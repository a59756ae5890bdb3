#include "entry/platform_poller.h"

#include "sesamepaddle/documents/document_envelope.h"

#include "absl/strings/str_cat.h"

#include <string>
#include <utility>

namespace sesamepaddle {

namespace {

using std::chrono::milliseconds;

// In multiples of the poll interval. A VM that does not poll for its domain
// looks seldom, and more often while no news comes in.
constexpr int SeldomFactor = 15;
constexpr int NoNewsFactor = 5;
// After a failure a poller waits longer, and still finds the end of an outage
// within 3 s.
constexpr int FailureFactor = 2;
// Jitter: pauses lie between these parts of the nominal one, so that VMs that
// started together do not poll together.
constexpr double ShortestPart = 0.75;
constexpr double LongestPart = 1.0;

} // namespace

platform_poller::platform_poller(platform_client Platform,
                                 platform_poller_hooks Hooks,
                                 milliseconds Interval)
    : Platform(std::move(Platform)), Hooks(std::move(Hooks)),
      Interval(Interval) {}

// One poll at a time and nothing is queued: an outage of any length costs no
// memory, and its end brings no burst.
awaitable<void> platform_poller::run(const std::atomic<bool> &Stop) {
  constexpr milliseconds LongestSleep{100};
  const auto Executor = co_await asio::this_coro::executor;
  asio::steady_timer Timer(Executor);
  while (!Stop.load()) {
    const time_point Start = boot_clock::now();
    co_await poll();
    // In short sleeps: a VM that becomes a poller must not sleep on.
    const double Part =
        std::uniform_real_distribution(ShortestPart, LongestPart)(Random);
    while (!Stop.load() && boot_clock::now() - Start < nextPause() * Part) {
      Timer.expires_after(LongestSleep);
      co_await Timer.async_wait(asio::use_awaitable);
    }
  }
}

awaitable<void> platform_poller::poll() {
  const time_point Sent = boot_clock::now();
  const auto Listing = co_await Platform.ListRows(
      std::string(DocumentRowPrefix), Hooks.ListAfter());
  updateReachability(Listing.status());
  if (!Listing.ok())
    co_return;
  Hooks.OnListing(*Listing, Sent);
  const auto Vms = co_await Platform.ListVms();
  if (Vms.ok())
    Hooks.OnVms(*Vms);
}

milliseconds platform_poller::nextPause() {
  if (Hooks.IsPoller())
    return IsReachable.load() ? Interval : Interval * FailureFactor;
  return Interval * (Hooks.IsFresh() ? SeldomFactor : NoNewsFactor);
}

void platform_poller::updateReachability(const absl::Status &Status) {
  if (IsReachable.exchange(Status.ok()) == Status.ok())
    return;
  if (Status.ok())
    Log.info("reached");
  else
    Log.warn(absl::StrCat("not reached: ", Status.message()));
}

} // namespace sesamepaddle
