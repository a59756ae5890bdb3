#ifndef SESAMEPADDLE_TESTS_INGRESS_SCRIPTED_ENDPOINT_H
#define SESAMEPADDLE_TESTS_INGRESS_SCRIPTED_ENDPOINT_H

#include "sesamepaddle/net/asio.h"

#include <atomic>
#include <functional>
#include <mutex>
#include <string>
#include <vector>

namespace sesamepaddle {

/** What a scripted endpoint does with one request. */
struct scripted_answer {
  std::string Bytes;     ///< written as they are
  std::string LateBytes; ///< written some time after them
  bool Closes = false;   ///< ends the connection after the bytes
  bool Resets = false;   ///< resets it instead
  std::chrono::milliseconds Delay{0};
};

/** An endpoint that answers each request with what a test says, byte by byte,
    so that it can be late, cut short, doubled or wrong. */
class scripted_endpoint {
public:
  using script = std::function<scripted_answer(const std::string &Request)>;

  scripted_endpoint(asio::io_context &Context, script Script);

  std::string address() const;

  /** From the next request on no connection is taken. */
  void crashOnNextRequest() { CrashesNext = true; }

  /** @returns the requests that came, whole. */
  std::vector<std::string> requests() const;

  std::size_t connections() const { return Connections.load(); }

  /** @returns how many connections their other end closed while a request was
      at work. */
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
};

/** @returns the value of the field @p Name in @p Request, or an empty string.
 */
std::string fieldOf(const std::string &Request, const std::string &Name);

/** @returns a whole answer to @p Request as an endpoint gives it. */
std::string makeAnswer(const std::string &Request, const std::string &Body,
                       const std::string &Status = "200 OK",
                       const std::string &Fields = "");

} // namespace sesamepaddle

#endif
