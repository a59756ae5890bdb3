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

/** Answers what only the adapter of a platform knows; null: nothing. */
using platform_handler =
    std::function<awaitable<std::optional<http_reply>>(const http_request &)>;

/** One VM: takes callers' requests, names VMs to callers, tells the other VMs
    what it sees. It runs on the first worker of a pool, alone. */
class ingress_node {
public:
  /** Binds all addresses and starts to serve.
      @param Extra  asked first for requests at the metrics address
      @returns the node, or net_failure::ListenFailed */
  static absl::StatusOr<std::unique_ptr<ingress_node>>
  start(worker_pool &Pool, ingress_options Options,
        platform_handler Extra = {});

  ~ingress_node();
  ingress_node(const ingress_node &) = delete;
  ingress_node &operator=(const ingress_node &) = delete;

  /** Leaves: is no longer ready, is no longer named, serves on while callers
      may still come, then calls @p Done. */
  void drain(std::function<void()> Done);

  /** @returns the address that callers connect to. */
  tcp::endpoint callerEndpoint() const;

  /** @returns what the node knows; for the pool's first worker alone. */
  fleet_state &fleet();

private:
  class implementation;
  explicit ingress_node(std::shared_ptr<implementation> Implementation);
  std::shared_ptr<implementation> Implementation;
};

} // namespace sesamepaddle

#endif
