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

/** The functions from which platform_poller gets its inputs and to which it
    delivers its results. */
struct platform_poller_hooks {
  /** @returns the table revision after which rows are read. */
  std::function<table_revision()> ListAfter;
  /** Receives the document rows, and the time when the read was sent. */
  std::function<void(const table_listing &, time_point)> OnListing;
  /** Receives the platform's list of VMs. */
  std::function<void(std::span<const listed_vm>)> OnVms;
  /** @returns true if this VM is a poller of its failure domain. */
  std::function<bool()> IsPoller;
  /** @returns true while this VM has recent news of the platform, from its own
      polls or from peers. */
  std::function<bool()> IsFresh;
};

/** Reads documents and the VM list from the platform: at the poll interval if
    this VM is a poller of its failure domain, otherwise rarely. */
class platform_poller {
public:
  platform_poller(platform_client Platform, platform_poller_hooks Hooks,
                  std::chrono::milliseconds Interval);

  /** Polls until @p Stop is set. */
  awaitable<void> run(const std::atomic<bool> &Stop);

  /** @returns true if the last read of the documents succeeded. */
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
  component_log Log{"platform"};
};

} // namespace sesamepaddle

#endif
