#ifndef SESAMEPADDLE_CORE_RCU_CELL_H
#define SESAMEPADDLE_CORE_RCU_CELL_H

#include <atomic>
#include <memory>
#include <utility>

namespace sesamepaddle {

namespace detail {

/** Marks a read-side critical section of the calling thread. */
class rcu_read_section {
public:
  rcu_read_section() noexcept;
  ~rcu_read_section();
  rcu_read_section(const rcu_read_section &) = delete;
  rcu_read_section &operator=(const rcu_read_section &) = delete;
};

/** Waits until all read sections that have already begun have ended. */
void waitForReaders() noexcept;

} // namespace detail

/** Holds an immutable value that many threads can read while one replaces it.

    Readers take no lock. A writer waits until no reader holds the old value, so
    publish() belongs on a control thread, never inside read().
*/
template <typename Value> class rcu_cell {
public:
  explicit rcu_cell(std::shared_ptr<const Value> Initial)
      : Current(new holder(std::move(Initial))) {}
  ~rcu_cell() { delete Current.load(std::memory_order_acquire); }
  rcu_cell(const rcu_cell &) = delete;
  rcu_cell &operator=(const rcu_cell &) = delete;

  /** Replaces the value; returns when no reader can still see the old one. */
  void publish(std::shared_ptr<const Value> Next) {
    auto *Old = Current.exchange(new holder(std::move(Next)),
                                 std::memory_order_acq_rel);
    detail::waitForReaders();
    delete Old;
  }

  /** Calls @p Reader with the value. It must neither suspend a coroutine nor
      call publish().
      @returns the result of @p Reader */
  template <typename Function> decltype(auto) read(Function &&Reader) const {
    detail::rcu_read_section Section;
    return std::forward<Function>(Reader)(
        **Current.load(std::memory_order_acquire));
  }

  /** @returns the value, kept alive for as long as the caller needs it. */
  std::shared_ptr<const Value> snapshot() const {
    detail::rcu_read_section Section;
    return *Current.load(std::memory_order_acquire);
  }

private:
  using holder = std::shared_ptr<const Value>;
  std::atomic<holder *> Current;
};

} // namespace sesamepaddle

#endif
