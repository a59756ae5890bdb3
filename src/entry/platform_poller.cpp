#include "entry/platform_poller.h"

#include "sesamepaddle/documents/document_envelope.h"

#include "absl/strings/str_cat.h"

#include <string>
#include <utility>

namespace sesamepaddle {

namespace {

using std::chrono::milliseconds;

// Pauses between polls, in multiples of the poll interval. A VM that is not a
// poller of its failure domain polls rarely, and more often while it has no
// recent news of the platform from any source.
constexpr int NonPollerFactor = 15;
constexpr int StaleNonPollerFactor = 5;
// A poller backs off after a failure, but still detects the end of an outage
// within 3 s, at the default poll interval and timeout of 1 s each.
constexpr int FailedPollerFactor = 2;
// Range of the random factor applied to each pause, so that VMs that started at
// the same time don't poll at the same time.
constexpr double MinJitter = 0.75;
constexpr double MaxJitter = 1.0;

} // namespace

platform_poller::platform_poller(platform_client Platform,
                                 platform_poller_hooks Hooks,
                                 milliseconds Interval)
    : Platform(std::move(Platform)), Hooks(std::move(Hooks)),
      Interval(Interval) {}

// Runs one poll at a time and queues nothing, so that an outage of any length
// uses no memory and its end causes no burst.
awaitable<void> platform_poller::run(const std::atomic<bool> &Stop) {
  // A pause consists of sleeps of this length, so that a VM that becomes a
  // poller soon polls at the shorter interval.
  constexpr milliseconds MaxSleep{100};
  const auto Executor = co_await asio::this_coro::executor;
  asio::steady_timer Timer(Executor);
  while (!Stop.load()) {
    const time_point Start = boot_clock::now();
    co_await poll();
    const double JitterFactor =
        std::uniform_real_distribution(MinJitter, MaxJitter)(Random);
    while (!Stop.load() &&
           boot_clock::now() - Start < nextPause() * JitterFactor) {
      Timer.expires_after(MaxSleep);
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
    return IsReachable.load() ? Interval : Interval * FailedPollerFactor;
  return Interval * (Hooks.IsFresh() ? NonPollerFactor : StaleNonPollerFactor);
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
