#ifndef SESAMEPADDLE_ENTRY_ONCE_GATE_H
#define SESAMEPADDLE_ENTRY_ONCE_GATE_H

#include "sesamepaddle/core/clock.h"
#include "sesamepaddle/net/asio.h"
#include "sesamepaddle/once/idempotency_registry.h"

#include <memory>
#include <mutex>
#include <string>
#include <string_view>

namespace sesamepaddle {

/** The idempotency_registry of this process for all its workers: repeats wait
 * here. */
class request_deduplicator {
public:
  request_deduplicator(vm_identity Self, std::string Secret,
                       idempotency_limits Limits = {});

  request_identifier issue(const request_scope &Scope);

  /** Decides on an attempt. A repeat of a request that runs waits for its
      outcome, at most for @p MaxWait.
      @returns the decision; Wait only when the patience was not enough. */
  awaitable<begin_result> begin(const request_identifier &Identifier,
                                const request_scope &Scope,
                                std::string_view Fingerprint, duration MaxWait);

  /** Records an outcome and wakes those who wait for it. */
  void settle(const request_identifier &Identifier, execution_result Result,
              std::shared_ptr<const http_reply> Answer);

private:
  std::mutex Mutex;
  idempotency_registry Ledger;
};

/** Settles a request as Unknown unless it was settled before. */
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
