#ifndef SESAMEPADDLE_LAB_MEASURE_PATH_BENCH_H
#define SESAMEPADDLE_LAB_MEASURE_PATH_BENCH_H

#include "sesamepaddle/entry/entry_vm.h"
#include "sesamepaddle/net/http_server.h"
#include "sesamepaddle/net/worker_pool.h"

#include <memory>
#include <string>
#include <thread>

namespace sesamepaddle {

/** Runs one entry VM, an upstream and a simulated platform in this process on
    loopback addresses, with the document of one service applied. */
class path_bench {
public:
  /** @param Workers  number of the entry VM's threads that serve callers */
  explicit path_bench(std::size_t Workers);
  ~path_bench();
  path_bench(const path_bench &) = delete;
  path_bench &operator=(const path_bench &) = delete;

  /** Waits until the VM forwards a request to the upstream successfully.
      @returns OK, or the reason why it did not within 20 s for each of the
      two steps, storing the document and forwarding. */
  absl::Status waitUntilServing();

  tcp::endpoint upstream() const { return Upstream->localEndpoint(); }
  tcp::endpoint entry() const { return Entry; }

private:
  void startPlatform();
  absl::Status putDocument();
  std::string settingsText(std::size_t Workers) const;

  std::string PlatformAddress;
  tcp::endpoint Entry;
  std::string SecretFile; ///< holds the peer secret; removed by the destructor
  std::thread Platform;
  worker_pool UpstreamPool{1};
  std::unique_ptr<http_server> Upstream;
  std::unique_ptr<entry_vm> Vm;
};

/** Targets on a repeatable and on a non-repeatable route of the bench's
   service, and the key of a workspace that may call it. */
constexpr std::string_view BenchRepeatableTarget = "/services/pedidos/path0/7";
constexpr std::string_view BenchOtherTarget = "/services/pedidos/path1/7";
constexpr std::string_view BenchKey = "key-0";

} // namespace sesamepaddle

#endif
