#ifndef SESAMEPADDLE_ENTRY_REQUEST_DEDUPLICATOR_H
#define SESAMEPADDLE_ENTRY_REQUEST_DEDUPLICATOR_H

#include "sesamepaddle/core/clock.h"
#include "sesamepaddle/idempotency/idempotency_registry.h"
#include "sesamepaddle/net/asio.h"

#include <memory>
#include <mutex>
#include <string>
#include <string_view>

namespace sesamepaddle {

/** Ensures that an identified request runs at most once on this VM. Makes the
    process's idempotency_registry thread-safe and lets repeats of a running
   request wait for its outcome. */
class request_deduplicator {
public:
  request_deduplicator(vm_identity Self, std::string Secret,
                       idempotency_limits Limits = {});

  /** Issues an identifier. @see idempotency_registry::issue */
  request_identifier issue(const request_scope &Scope);

  /** Decides on an attempt. A repeat of a running request waits for its
      outcome, for at most @p MaxWait.
      @returns the decision; Wait only if the request was still running after
      @p MaxWait. */
  awaitable<begin_result> begin(const request_identifier &Identifier,
                                const request_scope &Scope,
                                std::string_view Fingerprint, duration MaxWait);

  /** Records the outcome of a request and wakes the repeats that wait for it.
   */
  void settle(const request_identifier &Identifier, execution_result Result,
              std::shared_ptr<const http_reply> Answer);

private:
  std::mutex Mutex;
  idempotency_registry Ledger;
};

/** Scope guard for a request that is allowed to run: the destructor settles it
    as Unknown unless settle() was called. */
class run_guard {
public:
  run_guard(request_deduplicator &Deduplicator, request_identifier Identifier);
  ~run_guard();
  run_guard(const run_guard &) = delete;
  run_guard &operator=(const run_guard &) = delete;

  void settle(execution_result Result,
              std::shared_ptr<const http_reply> Answer);

private:
  request_deduplicator &Deduplicator;
  request_identifier Identifier;
  bool IsSettled = false;
};

} // namespace sesamepaddle

#endif
