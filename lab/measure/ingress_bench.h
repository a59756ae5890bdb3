#ifndef SESAMEPADDLE_LAB_MEASURE_INGRESS_BENCH_H
#define SESAMEPADDLE_LAB_MEASURE_INGRESS_BENCH_H

#include "absl/status/status.h"
#include "sesamepaddle/ingress/ingress_node.h"
#include "sesamepaddle/net/http_server.h"
#include "sesamepaddle/net/worker_pool.h"

#include <cstddef>
#include <memory>
#include <string_view>
#include <thread>

namespace sesamepaddle {

/** Runs one ingress VM on a thread of its own and an endpoint on another, on
    loopback addresses. Its two workspaces are "open" without a limit and
    "spent", whose requests are all beyond the limit. */
class ingress_bench {
public:
  /** @param Endpoints  records of the service; one process serves them all */
  explicit ingress_bench(std::size_t Endpoints);
  ~ingress_bench();
  ingress_bench(const ingress_bench &) = delete;
  ingress_bench &operator=(const ingress_bench &) = delete;

  /** @returns why the VM or the endpoint did not start, or OK. */
  absl::Status status() const { return Status; }

  tcp::endpoint callers() const { return Node->callerEndpoint(); }

  /** @returns the address for directory lookups. */
  tcp::endpoint directory() const { return Directory; }

  /** @returns the processor time that the VM's thread has used, in ns. */
  double vmNanoseconds();

private:
  void addEndpoints(std::size_t Count);

  absl::Status Status;
  tcp::endpoint Directory;
  worker_pool EndpointPool{1};
  std::unique_ptr<http_server> Endpoint;
  asio::io_context Context{1};
  worker_pool VmPool{Context};
  std::unique_ptr<ingress_node> Node;
  std::thread Thread;
};

/** Keys of the two workspaces. */
constexpr std::string_view OpenKey = "key-of-open";
constexpr std::string_view SpentKey = "key-of-spent";

} // namespace sesamepaddle

#endif
