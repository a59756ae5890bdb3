#ifndef SESAMEPADDLE_ENTRY_STATIC_LIMITER_H
#define SESAMEPADDLE_ENTRY_STATIC_LIMITER_H

#include "sesamepaddle/core/clock.h"
#include "sesamepaddle/documents/service_document.h"
#include "sesamepaddle/rate_limiting/token_bucket.h"

#include <cstddef>
#include <map>
#include <mutex>
#include <utility>

namespace sesamepaddle {

/** Enforces this VM's equal part of each workspace's rate and burst. Used
    instead of share_limiter if VMs don't share limits. Thread-safe. */
class static_limiter {
public:
  /** Sets the number of VMs that each limit is divided by; 0 counts as 1. */
  void setVmCount(std::size_t Count);

  /** Charges the workspace's limit for one request.
      @param Since  when the service's document came into force, the time from
                    which a new bucket fills
      @returns true if the request may run */
  bool admit(const service_name &Service, const document_workspace &Workspace,
             time_point Since, time_point Now);

private:
  std::mutex Mutex; ///< guards the fields below
  std::size_t VmCount = 1;
  std::map<std::pair<service_name, workspace_name>, token_bucket> Buckets;
};

} // namespace sesamepaddle

#endif
