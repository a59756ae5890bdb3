#include "entry/static_limiter.h"

#include <algorithm>

namespace sesamepaddle {

void static_limiter::setVmCount(std::size_t Count) {
  const std::lock_guard Lock(Mutex);
  VmCount = std::max<std::size_t>(Count, 1);
}

bool static_limiter::admit(const service_name &Service,
                           const document_workspace &Workspace,
                           time_point Since, time_point Now) {
  const std::lock_guard Lock(Mutex);
  const double Part = 1.0 / static_cast<double>(VmCount);
  const double Rate = Workspace.RatePerSecond * Part;
  const double Depth = Workspace.Burst * Part;
  const auto [Entry, IsNew] = Buckets.try_emplace(
      std::make_pair(Service, Workspace.Name), Rate, Depth, Since);
  Entry->second.reshape(Rate, Depth, Now);
  return Entry->second.tryTake(1, Now);
}

} // namespace sesamepaddle
