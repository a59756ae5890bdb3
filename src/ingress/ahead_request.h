#ifndef SESAMEPADDLE_SRC_INGRESS_AHEAD_REQUEST_H
#define SESAMEPADDLE_SRC_INGRESS_AHEAD_REQUEST_H

#include "ingress/request_path.h"
#include "sesamepaddle/ingress/ingress_options.h"
#include "sesamepaddle/net/asio.h"

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>

namespace sesamepaddle {

/** Counts of the requests that run ahead on all connections of a VM. */
struct ahead_counts {
  std::size_t Requests = 0;        ///< that run, or whose answers wait
  std::size_t Bytes = 0;           ///< of their bodies and answers
  std::uint64_t Total = 0;         ///< requests that ran ahead since the start
  std::uint64_t Paused = 0;        ///< times that a connection came to a limit
  std::size_t MaxOnConnection = 0; ///< most requests of one at the same time

  /** @returns the counts in the Prometheus text exposition format. */
  std::string prometheusText() const;
};

/** A request that runs although earlier ones of its connection are not
    answered. It becomes the first of them in its turn. */
class ahead_request {
public:
  /** @param Counts  must outlive this
      @param BodyBytes  of the request */
  ahead_request(ahead_counts &Counts, std::size_t BodyBytes);
  ~ahead_request();
  ahead_request(const ahead_request &) = delete;
  ahead_request &operator=(const ahead_request &) = delete;

  /** Stores the answer and wakes wait(). */
  void setAnswer(ingress_answer Answer);

  /** Makes it the first one: it does not run ahead any more. */
  void becomeFirst();
  bool isFirst() const { return IsFirst; }

  bool hasAnswer() const { return Answer.has_value(); }
  /** Waits for the answer. */
  awaitable<void> wait();
  /** @returns the answer; there must be one. */
  const ingress_answer &answer() const { return *Answer; }

  /** @returns the bytes that it holds while it runs ahead. */
  std::size_t bytes() const { return Bytes; }

  ingress_request Request; ///< moved away when it starts
  /** Counts the memory of the request's body while it exists. */
  std::shared_ptr<const void> BodyMemory;
  std::string RequestId;
  std::shared_ptr<cancel_source> Cancel = std::make_shared<cancel_source>();
  bool IsHead = false;
  bool WantsKeepAlive = true;

private:
  void hold(std::size_t Wanted);

  ahead_counts &Counts;
  std::size_t Bytes = 0;
  std::optional<ingress_answer> Answer;
  asio::steady_timer *Waiter = nullptr; ///< of wait()
  bool IsFirst = false;
};

} // namespace sesamepaddle

#endif
