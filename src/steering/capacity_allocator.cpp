#include "sesamepaddle/steering/capacity_allocator.h"

#include <algorithm>

namespace sesamepaddle {

namespace {

using namespace std::chrono_literals;

// How long a VM may use a part, from when it sent its request.
constexpr duration LeaseTime = 2s;

// How much longer the allocator regards a part as in use, because clocks drift
// and a grant takes time to arrive.
constexpr duration LeaseMargin = 200ms;

} // namespace

// A new allocator waits until the leases of its predecessor have expired.
capacity_allocator::capacity_allocator(double PerSecond, time_point Now)
    : PerSecond(PerSecond), FirstGrant(Now + LeaseTime + LeaseMargin) {}

capacity_grant capacity_allocator::grant(const vm_name &Vm, double Wanted,
                                         grant_number Held, time_point Now) {
  auto &Part = Parts[Vm];
  Part.Wanted = std::max(0.0, Wanted);
  Part.LastRequest = Now;
  if (Now < FirstGrant)
    return {0, LeaseTime, 0};
  std::erase_if(Part.Leases, [&](const lease &Lease) {
    return Lease.Until <= Now || Lease.Number < Held;
  });
  const double Others = granted(Now) - Part.inUse(Now);
  const double Free = std::max(0.0, PerSecond - Others);
  const double Next = std::min({Part.Wanted, maxMinFairLevel(Now), Free});
  ++LatestNumber;
  Part.Leases.push_back({Next, Now + LeaseTime + LeaseMargin, LatestNumber});
  return {Next, LeaseTime, LatestNumber};
}

double capacity_allocator::granted(time_point Now) const {
  double Sum = 0;
  for (const auto &[Vm, Part] : Parts)
    Sum += Part.inUse(Now);
  return Sum;
}

double capacity_allocator::part::inUse(time_point Now) const {
  double Largest = 0;
  for (const auto &Lease : Leases)
    if (Now < Lease.Until)
      Largest = std::max(Largest, Lease.PerSecond);
  return Largest;
}

// At this level the sum of min(wanted, level) over all VMs with a recent
// request equals the limit. When they want less in total, the level is the
// limit itself.
double capacity_allocator::maxMinFairLevel(time_point Now) const {
  std::vector<double> Demands;
  for (const auto &[Vm, Part] : Parts)
    if (Now < Part.LastRequest + LeaseTime)
      Demands.push_back(Part.Wanted);
  std::ranges::sort(Demands);
  double Left = PerSecond;
  for (std::size_t Index = 0; Index < Demands.size(); ++Index) {
    const double Equal = Left / static_cast<double>(Demands.size() - Index);
    if (Demands[Index] >= Equal)
      return Equal;
    Left -= Demands[Index];
  }
  return PerSecond;
}

} // namespace sesamepaddle
