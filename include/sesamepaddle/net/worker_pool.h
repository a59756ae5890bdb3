#ifndef SESAMEPADDLE_NET_WORKER_POOL_H
#define SESAMEPADDLE_NET_WORKER_POOL_H

#include "sesamepaddle/net/asio.h"

#include <atomic>
#include <cstddef>
#include <memory>
#include <thread>
#include <vector>

namespace sesamepaddle {

/** Threads that each run one io_context. Objects used by a single worker need
    no lock. */
class worker_pool {
public:
  /** Starts @p Workers threads, at least one. */
  explicit worker_pool(std::size_t Workers);

  /** Wraps @p Context as a pool of one worker without starting a thread; the
      caller runs the context. For processes that have a fraction of a core. */
  explicit worker_pool(asio::io_context &Context);
  ~worker_pool();
  worker_pool(const worker_pool &) = delete;
  worker_pool &operator=(const worker_pool &) = delete;

  /** Stops all workers and waits for their threads. */
  void stop();

  /** @returns the context of worker @p Index, below size(). */
  asio::io_context &context(std::size_t Index);

  /** @returns the context of the next worker, round-robin. */
  asio::io_context &nextContext();

  /** @returns the index of the worker whose thread calls, or 0 on any other
      thread. */
  static std::size_t currentWorker();

  std::size_t size() const { return Workers.size(); }

private:
  struct worker;
  std::vector<std::unique_ptr<worker>> Workers;
  std::atomic<std::size_t> Next{0};
};

} // namespace sesamepaddle

#endif
