#ifndef SESAMEPADDLE_INGRESS_INGRESS_NODE_H
#define SESAMEPADDLE_INGRESS_INGRESS_NODE_H

#include "absl/status/statusor.h"
#include "sesamepaddle/ingress/fleet_state.h"
#include "sesamepaddle/net/asio.h"
#include "sesamepaddle/net/http_message.h"
#include "sesamepaddle/net/worker_pool.h"

#include <functional>
#include <memory>
#include <string>

namespace sesamepaddle {

/** Answers requests for paths that only the platform's adapter serves.
    @returns nothing when it does not serve the path; may itself be null */
using platform_handler =
    std::function<awaitable<std::optional<http_reply>>(const http_request &)>;

/** One VM: proxies callers' requests, answers directory lookups with the
    addresses of VMs, and gossips with the other VMs. It runs only on the first
    worker of a pool. */
class ingress_node {
public:
  /** Binds all addresses and starts to serve.
      @param Extra  handles requests at the readiness, directory, metrics and
                    peer addresses for paths that the node does not serve
      @returns the node, or net_failure::ListenFailed */
  static absl::StatusOr<std::unique_ptr<ingress_node>>
  start(worker_pool &Pool, ingress_options Options,
        platform_handler Extra = {});

  ~ingress_node();
  ingress_node(const ingress_node &) = delete;
  ingress_node &operator=(const ingress_node &) = delete;

  /** Shuts down gracefully: reports not ready, leaves the directory, keeps
      serving while callers may still hold its address, then calls @p Done. */
  void drain(std::function<void()> Done);

  /** @returns the address that callers connect to. */
  tcp::endpoint callerEndpoint() const;

  /** @returns the node's view of the fleet; only for use on the pool's first
      worker. */
  fleet_state &fleet();

private:
  class implementation;
  explicit ingress_node(std::shared_ptr<implementation> Implementation);
  std::shared_ptr<implementation> Implementation;
};

} // namespace sesamepaddle

#endif
