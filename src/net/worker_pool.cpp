#include "sesamepaddle/net/worker_pool.h"

#include <algorithm>

namespace sesamepaddle {

namespace {

// Index of the worker that runs on this thread; 0 on other threads.
thread_local std::size_t CurrentWorker = 0;

} // namespace

/** An io_context, either owned and run by a thread or given and run by its
    owner. */
struct worker_pool::worker {
  explicit worker(asio::io_context *Given = nullptr)
      : Owned(Given == nullptr ? std::make_unique<asio::io_context>(1)
                               : nullptr),
        Context(Given == nullptr ? *Owned : *Given),
        Guard(Context.get_executor()) {}

  std::unique_ptr<asio::io_context> Owned;
  asio::io_context &Context;
  asio::executor_work_guard<asio::io_context::executor_type> Guard;
  std::thread Thread;
};

worker_pool::worker_pool(std::size_t Count) {
  for (std::size_t Index = 0; Index < std::max<std::size_t>(Count, 1); ++Index)
    Workers.push_back(std::make_unique<worker>());
  for (std::size_t Index = 0; Index < Workers.size(); ++Index) {
    auto &Worker = *Workers[Index];
    Worker.Thread = std::thread([&Worker, Index] {
      CurrentWorker = Index;
      Worker.Context.run();
    });
  }
}

worker_pool::worker_pool(asio::io_context &Context) {
  Workers.push_back(std::make_unique<worker>(&Context));
}

worker_pool::~worker_pool() { stop(); }

void worker_pool::stop() {
  for (auto &Worker : Workers)
    Worker->Context.stop();
  for (auto &Worker : Workers)
    if (Worker->Thread.joinable())
      Worker->Thread.join();
}

asio::io_context &worker_pool::context(std::size_t Index) {
  return Workers[Index]->Context;
}

asio::io_context &worker_pool::nextContext() {
  return context(Next.fetch_add(1, std::memory_order_relaxed) % Workers.size());
}

std::size_t worker_pool::currentWorker() { return CurrentWorker; }

} // namespace sesamepaddle
