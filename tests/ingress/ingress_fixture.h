#ifndef SESAMEPADDLE_TESTS_INGRESS_INGRESS_FIXTURE_H
#define SESAMEPADDLE_TESTS_INGRESS_INGRESS_FIXTURE_H

#include "ingress/scripted_endpoint.h"
#include "sesamepaddle/ingress/ingress_node.h"
#include "support/raw_connection.h"

#include <functional>
#include <future>
#include <memory>
#include <string>
#include <thread>
#include <vector>

namespace sesamepaddle {

/** Options, configuration and endpoints of a VM in the tests. */
ingress_options makeFixtureOptions();
configuration_pointer makeFixtureConfiguration();
endpoint_record makeFixtureRecord(std::size_t Index, std::string Address);

/** Runs one VM with scripted endpoints on a thread of its own. */
class ingress_fixture {
public:
  /** @param Adjust  may change the VM's options before it starts */
  explicit ingress_fixture(
      std::vector<scripted_endpoint::script> Scripts,
      const std::function<void(ingress_options &)> &Adjust = {});
  ~ingress_fixture();
  ingress_fixture(const ingress_fixture &) = delete;
  ingress_fixture &operator=(const ingress_fixture &) = delete;

  /** Sends @p Bytes over a new connection.
      @returns all bytes received until it is closed or @p Limit has passed */
  std::string exchange(std::string_view Bytes,
                       std::chrono::milliseconds Limit = LongWait);

  /** Sends a GET or POST with "Connection: close". @returns the response */
  std::string get(const std::string &Path, const std::string &Id,
                  const std::string &Fields = "Key: k1\r\n");
  std::string post(const std::string &Path, const std::string &Id,
                   const std::string &Body);

  /** Runs @p Work on the VM's thread and waits for it. */
  template <typename Function> auto onVm(Function Work) {
    std::promise<decltype(Work(std::declval<fleet_state &>()))> Result;
    asio::post(Context, [&] { Result.set_value(Work(Node->fleet())); });
    return Result.get_future().get();
  }

  scripted_endpoint &endpoint(std::size_t Index) { return *Endpoints[Index]; }
  tcp::endpoint callers() const { return Node->callerEndpoint(); }
  /** Starts to drain the VM. @returns a future that is ready when it is done */
  std::future<void> drain();
  /** The same, and ends the VM as its process does: nothing runs any more. */
  std::future<void> stop();

  /** Timeout for events that a passing test always sees. */
  static constexpr std::chrono::milliseconds LongWait{5'000};

private:
  asio::io_context Context{1};
  std::vector<std::unique_ptr<scripted_endpoint>> Endpoints;
  std::unique_ptr<worker_pool> Pool;
  std::unique_ptr<ingress_node> Node;
  std::promise<void> Drained;
  std::thread Thread;
};

} // namespace sesamepaddle

#endif
