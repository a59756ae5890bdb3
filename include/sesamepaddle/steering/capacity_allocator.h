#ifndef SESAMEPADDLE_STEERING_CAPACITY_ALLOCATOR_H
#define SESAMEPADDLE_STEERING_CAPACITY_ALLOCATOR_H

#include "sesamepaddle/core/clock.h"
#include "sesamepaddle/core/identifiers.h"

#include <cstdint>
#include <map>
#include <vector>

namespace sesamepaddle {

/** Number of a grant. An allocator numbers its grants upwards from 1; 0 means
    none. */
using grant_number = std::uint64_t;

/** A part of a limit that is leased to a VM. */
struct capacity_grant {
  double PerSecond = 0; ///< requests of a region, bytes of a link
  duration Lease{0};    ///< counts from when the VM sent its request
  grant_number Number = 0;
};

/** Leases parts of one fleet-wide limit, of a region or of a link, to VMs.

    The parts in use never add up to more than the limit, because a part grows
    only by what other VMs have released or let expire. When VMs want more than
    the limit, it is divided by max-min fairness: each VM gets what it wants up
    to a level that is the same for all.
*/
class capacity_allocator {
public:
  /** @param PerSecond  the limit, less the permanent rates of VMs
      @see region_router::setPermanentRate */
  capacity_allocator(double PerSecond, time_point Now);

  /** Grants a VM a part that replaces its earlier one.
      @param Wanted  the rate that the VM could use, per second
      @param Held  the newest grant that the VM has applied; it ignores older
      ones that arrive later */
  capacity_grant grant(const vm_name &Vm, double Wanted, grant_number Held,
                       time_point Now);

  /** @returns the sum of the parts that VMs may be using, per second. */
  double granted(time_point Now) const;

private:
  struct lease {
    double PerSecond = 0;
    time_point Until;
    grant_number Number = 0;
  };
  /** The latest request of a VM and the leases that it may be using. */
  struct part {
    double Wanted = 0;
    time_point LastRequest;
    /** Any of them may be in use, because replies can be lost. */
    std::vector<lease> Leases;

    double inUse(time_point Now) const;
  };

  double maxMinFairLevel(time_point Now) const;

  double PerSecond;
  grant_number LatestNumber = 0;
  time_point FirstGrant; ///< no capacity is granted before this time
  std::map<vm_name, part> Parts;
};

} // namespace sesamepaddle

#endif
