#include "entry/once_gate.h"

#include <utility>

namespace sesamepaddle {

namespace {

/** Passes the end of a wait on, whether it comes before or after the wait. */
class wake_up {
public:
  void signal() {
    const std::lock_guard Lock(Mutex);
    IsSignalled = true;
    if (Action)
      Action();
  }

  void onSignal(std::function<void()> Wanted) {
    const std::lock_guard Lock(Mutex);
    Action = std::move(Wanted);
    if (IsSignalled)
      Action();
  }

private:
  std::mutex Mutex;
  bool IsSignalled = false;
  std::function<void()> Action;
};

} // namespace

once_gate::once_gate(vm_identity Self, std::string Secret,
                     idempotency_limits Limits)
    : Ledger(std::move(Self), std::move(Secret), Limits) {}

request_identifier once_gate::issue(const request_scope &Scope) {
  const std::lock_guard Lock(Mutex);
  return Ledger.issue(Scope);
}

awaitable<begin_result> once_gate::begin(const request_identifier &Identifier,
                                         const request_scope &Scope,
                                         std::string_view Fingerprint,
                                         duration Patience) {
  const auto WakeUp = std::make_shared<wake_up>();
  begin_result Verdict;
  {
    const std::lock_guard Lock(Mutex);
    Verdict = Ledger.begin(Identifier, Scope, Fingerprint,
                           [WakeUp] { WakeUp->signal(); });
  }
  if (Verdict.Decision != idempotency_decision::Wait)
    co_return Verdict;
  const auto Executor = co_await asio::this_coro::executor;
  const auto Timer = std::make_shared<asio::steady_timer>(Executor, Patience);
  // Cancelled on its own executor, behind the start of the wait.
  WakeUp->onSignal([Timer] {
    asio::post(Timer->get_executor(), [Timer] { Timer->cancel(); });
  });
  boost::system::error_code Ignored;
  co_await Timer->async_wait(
      asio::redirect_error(asio::use_awaitable, Ignored));
  const std::lock_guard Lock(Mutex);
  co_return Ledger.begin(Identifier, Scope, Fingerprint, [] {});
}

void once_gate::settle(const request_identifier &Identifier,
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

once_run::once_run(once_gate &Gate, request_identifier Identifier)
    : Gate(Gate), Identifier(std::move(Identifier)) {}

once_run::~once_run() {
  if (!IsSettled)
    Gate.settle(Identifier, execution_result::Unknown, nullptr);
}

void once_run::settle(execution_result Result,
                      std::shared_ptr<const http_reply> Answer) {
  IsSettled = true;
  Gate.settle(Identifier, Result, std::move(Answer));
}

} // namespace sesamepaddle
