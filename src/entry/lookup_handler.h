#ifndef SESAMEPADDLE_ENTRY_LOOKUP_HANDLER_H
#define SESAMEPADDLE_ENTRY_LOOKUP_HANDLER_H

#include "entry/vm_directory.h"
#include "sesamepaddle/core/rcu_cell.h"
#include "sesamepaddle/entry/service_directory.h"
#include "sesamepaddle/net/http_message.h"
#include "sesamepaddle/steering/lookup_table.h"

#include <chrono>
#include <functional>
#include <memory>
#include <mutex>

namespace sesamepaddle {

/** @returns the home of a workspace's rate limit, which is the VM whose token
    bucket admits the workspace's requests, or an empty name if unknown. */
using home_function =
    std::function<vm_name(const service_name &, const workspace_name &)>;

/** Answers GET /lookup?service=&workspace=&client=ADDRESS with the entry VMs
    that a caller should use, as JSON. */
class lookup_handler {
public:
  /** @param OwnDomain   the failure domain of this VM
      @param TimeToLive  how long callers may use an answer
      @param Vms         the handler sets its Changed hook */
  lookup_handler(failure_domain_name OwnDomain,
                 std::chrono::milliseconds TimeToLive,
                 const service_directory &Services, vm_directory &Vms);

  /** Answers without taking a lock.
      @returns status 400 if client is given but is not an address */
  http_reply answer(const http_request &Request) const;

  /** Replaces the map from client addresses to nearest sites, and the sites
      that its indexes refer to. */
  void setBlocks(std::shared_ptr<const block_map> NewBlocks,
                 std::vector<lookup_site> NewSites);

  /** If set, answers name the home of the workspace's rate limit first. Must be
      set before the first request. */
  home_function HomeOf;

private:
  std::shared_ptr<const lookup_table> build() const;
  void rebuild();

  failure_domain_name OwnDomain;
  std::chrono::milliseconds TimeToLive;
  const service_directory &Services;
  const vm_directory &Vms;
  // Guards Blocks and Sites and serializes rebuild(); readers take no lock.
  std::mutex RebuildMutex;
  std::shared_ptr<const block_map> Blocks;
  std::vector<lookup_site> Sites; ///< empty: one site per failure domain
  rcu_cell<lookup_table> Table;
};

} // namespace sesamepaddle

#endif
