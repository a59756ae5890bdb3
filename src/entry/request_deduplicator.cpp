#include "entry/request_deduplicator.h"

#include <utility>

namespace sesamepaddle {

namespace {

/** A one-shot event: runs its action once signal() and onSignal() have both
    been called, in either order. */
class completion_event {
public:
  void signal() {
    const std::lock_guard Lock(Mutex);
    IsSignalled = true;
    if (Action)
      Action();
  }

  void onSignal(std::function<void()> NewAction) {
    const std::lock_guard Lock(Mutex);
    Action = std::move(NewAction);
    if (IsSignalled)
      Action();
  }

private:
  std::mutex Mutex;
  bool IsSignalled = false;
  std::function<void()> Action;
};

} // namespace

request_deduplicator::request_deduplicator(vm_identity Self, std::string Secret,
                                           idempotency_limits Limits)
    : Ledger(std::move(Self), std::move(Secret), Limits) {}

request_identifier request_deduplicator::issue(const request_scope &Scope) {
  const std::lock_guard Lock(Mutex);
  return Ledger.issue(Scope);
}

awaitable<begin_result>
request_deduplicator::begin(const request_identifier &Identifier,
                            const request_scope &Scope,
                            std::string_view Fingerprint, duration MaxWait) {
  const auto Completion = std::make_shared<completion_event>();
  begin_result Verdict;
  {
    const std::lock_guard Lock(Mutex);
    Verdict = Ledger.begin(Identifier, Scope, Fingerprint,
                           [Completion] { Completion->signal(); });
  }
  if (Verdict.Decision != idempotency_decision::Wait)
    co_return Verdict;
  const auto Executor = co_await asio::this_coro::executor;
  const auto Timer = std::make_shared<asio::steady_timer>(Executor, MaxWait);
  // Posted to the timer's own executor, so that the cancellation runs after the
  // wait has started.
  Completion->onSignal([Timer] {
    asio::post(Timer->get_executor(), [Timer] { Timer->cancel(); });
  });
  boost::system::error_code Ignored;
  co_await Timer->async_wait(
      asio::redirect_error(asio::use_awaitable, Ignored));
  // The waiter does nothing, since this attempt doesn't wait again.
  const std::lock_guard Lock(Mutex);
  co_return Ledger.begin(Identifier, Scope, Fingerprint, [] {});
}

void request_deduplicator::settle(const request_identifier &Identifier,
                                  execution_result Result,
                                  std::shared_ptr<const http_reply> Answer) {
  std::vector<settle_callback> Waiters;
  {
    const std::lock_guard Lock(Mutex);
    Waiters = Ledger.settle(Identifier, Result, std::move(Answer));
  }
  for (const auto &Waiter : Waiters)
    Waiter();
}

run_guard::run_guard(request_deduplicator &Deduplicator,
                     request_identifier Identifier)
    : Deduplicator(Deduplicator), Identifier(std::move(Identifier)) {}

run_guard::~run_guard() {
  if (!IsSettled)
    Deduplicator.settle(Identifier, execution_result::Unknown, nullptr);
}

void run_guard::settle(execution_result Result,
                       std::shared_ptr<const http_reply> Answer) {
  IsSettled = true;
  Deduplicator.settle(Identifier, Result, std::move(Answer));
}

} // namespace sesamepaddle
