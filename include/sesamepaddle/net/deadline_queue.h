#ifndef SESAMEPADDLE_NET_DEADLINE_QUEUE_H
#define SESAMEPADDLE_NET_DEADLINE_QUEUE_H

#include "sesamepaddle/core/clock.h"
#include "sesamepaddle/net/asio.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>

namespace sesamepaddle {

/** Calls functions at deadlines, all with one timer of the event loop.

    A deadline that is withdrawn before it passes, as nearly all are, costs
    neither a system call nor a pass of the event loop. Not thread-safe: used on
    the thread of its executor. */
class deadline_queue {
private:
  struct state;

public:
  /** A deadline in the queue; withdrawn when this object is destroyed. May
      outlive the queue. */
  class registration {
  public:
    registration() = default;
    registration(registration &&Other) noexcept;
    registration &operator=(registration &&Other) noexcept;
    registration(const registration &) = delete;
    registration &operator=(const registration &) = delete;
    ~registration();

  private:
    friend class deadline_queue;
    registration(std::weak_ptr<state> Queue, time_point At, std::uint64_t Id);
    void withdraw();

    std::weak_ptr<state> Queue;
    time_point At{};
    std::uint64_t Id = 0;
  };

  explicit deadline_queue(const asio::any_io_executor &Executor);
  ~deadline_queue();
  deadline_queue(const deadline_queue &) = delete;
  deadline_queue &operator=(const deadline_queue &) = delete;

  /** Calls @p OnPassed once when @p At has passed, never within add(). */
  [[nodiscard]] registration add(time_point At, std::function<void()> OnPassed);

  /** @returns the number of deadlines that have not passed. */
  std::size_t size() const;

private:
  std::shared_ptr<state> State;
};

} // namespace sesamepaddle

#endif
