#ifndef SESAMEPADDLE_ENTRY_PLATFORM_POLLER_H
#define SESAMEPADDLE_ENTRY_PLATFORM_POLLER_H

#include "sesamepaddle/core/clock.h"
#include "sesamepaddle/platform/platform_client.h"
#include "sesamepaddle/telemetry/log.h"

#include <atomic>
#include <chrono>
#include <functional>
#include <random>
#include <span>

namespace sesamepaddle {

/** What a poller asks for and where the answers go. */
struct platform_poller_hooks {
  /** @returns the revision after which rows are asked for. */
  std::function<table_revision()> ListAfter;
  /** Takes rows, and when the read was sent. */
  std::function<void(const table_listing &, time_point)> OnListing;
  std::function<void(std::span<const listed_vm>)> OnVms;
  /** @returns true when this VM polls for its failure domain. */
  std::function<bool()> IsPoller;
  /** @returns true while news of the platform comes in by any way. */
  std::function<bool()> IsFresh;
};

/** Reads documents and the VM list from the platform: at the interval as one of
    the few pollers of its failure domain, else seldom. */
class platform_poller {
public:
  platform_poller(platform_client Platform, platform_poller_hooks Hooks,
                  std::chrono::milliseconds Interval);

  /** Polls until @p Stop is set. */
  awaitable<void> run(const std::atomic<bool> &Stop);

  /** @returns true when the latest poll of the documents succeeded. */
  bool isPlatformReached() const { return IsReachable.load(); }

private:
  awaitable<void> poll();
  std::chrono::milliseconds nextPause();
  void updateReachability(const absl::Status &Status);

  platform_client Platform;
  platform_poller_hooks Hooks;
  std::chrono::milliseconds Interval;
  std::mt19937_64 Random{std::random_device()()};
  std::atomic<bool> IsReachable{false};
  part_log Log{"platform"};
};

} // namespace sesamepaddle

#endif
