#ifndef SESAMEPADDLE_TESTS_INGRESS_SCRIPTED_ENDPOINT_H
#define SESAMEPADDLE_TESTS_INGRESS_SCRIPTED_ENDPOINT_H

#include "sesamepaddle/net/asio.h"

#include <atomic>
#include <functional>
#include <limits>
#include <mutex>
#include <string>
#include <vector>

namespace sesamepaddle {

/** How a scripted endpoint answers one request. */
struct scripted_answer {
  std::string Bytes;       ///< written unchanged
  std::string LateBytes{}; ///< written 30 ms after Bytes
  bool Closes = false;     ///< closes the connection after the bytes
  bool Resets = false;     ///< resets the connection instead of answering
  std::chrono::milliseconds Delay{0}; ///< before the answer
  bool ResetsAfterBytes = false;      ///< resets it after Bytes
  std::string EndlessBytes{}; ///< written after Bytes until the VM closes
  /** How often EndlessBytes are written; then it waits until the VM closes. */
  std::size_t MaxEndless = std::numeric_limits<std::size_t>::max();
  /** When set, the answer waits until it returns true. */
  std::function<bool()> IsDue{};
};

/** An endpoint that answers each request with the exact bytes that a test
    returns, so that answers can be late, truncated, duplicated or invalid. */
class scripted_endpoint {
public:
  using script = std::function<scripted_answer(const std::string &Request)>;

  scripted_endpoint(asio::io_context &Context, script Script);

  std::string address() const;

  /** Stops accepting connections when the next request arrives. */
  void crashOnNextRequest() { CrashesNext = true; }

  /** @returns the requests received so far, header and body. */
  std::vector<std::string> requests() const;

  std::size_t connections() const { return Connections.load(); }

  /** @returns the number of connections that ended while no request was being
      served. */
  std::size_t endedIdle() const { return EndedIdle.load(); }

  /** @returns the number of connections that the VM closed while a request was
      being served. */
  std::size_t abandoned() const { return Abandoned.load(); }

private:
  awaitable<void> acceptLoop();
  awaitable<void> serve(std::shared_ptr<tcp::socket> Socket);

  asio::io_context &Context;
  tcp::acceptor Acceptor;
  script Script;
  mutable std::mutex Mutex;
  std::vector<std::string> Requests;
  std::atomic<std::size_t> Connections{0};
  std::atomic<bool> CrashesNext{false};
  std::atomic<std::size_t> Abandoned{0};
  std::atomic<std::size_t> EndedIdle{0};
};

/** @returns the value of the field @p Name in @p Request, or an empty string.
 */
std::string fieldOf(const std::string &Request, const std::string &Name);

/** @returns a complete, valid answer of an endpoint to @p Request. */
std::string makeAnswer(const std::string &Request, const std::string &Body,
                       const std::string &Status = "200 OK",
                       const std::string &Fields = "");

} // namespace sesamepaddle

#endif
