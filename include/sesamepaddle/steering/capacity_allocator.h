#ifndef SESAMEPADDLE_STEERING_CAPACITY_ALLOCATOR_H
#define SESAMEPADDLE_STEERING_CAPACITY_ALLOCATOR_H

#include "sesamepaddle/core/clock.h"
#include "sesamepaddle/core/identifiers.h"

#include <cstdint>
#include <map>
#include <vector>

namespace sesamepaddle {

/** Counts the grants of a home. */
using grant_number = std::uint64_t;

/** A leased part of a limit. */
struct capacity_grant {
  double PerSecond = 0;
  duration Lease{0}; ///< from the moment at which the VM sent its ask
  grant_number Number = 0;
};

/** Gives out parts of one fleet-wide limit, of a region or of a link.

    Parts that run never add up to more than the limit, whatever VMs ask for: a
    part grows only by what others have given up or let run out. When VMs want
    more than there is, each gets what it wants up to a common level.
*/
class capacity_allocator {
public:
  /** @param PerSecond  the limit, without what VMs hold for good */
  capacity_allocator(double PerSecond, time_point Now);

  /** Renews the part of a VM, which replaces the one that it had.
      @param Wanted  what the VM could use, per second
      @param Held  the newest grant that the VM has; it takes no older one */
  capacity_grant grant(const vm_name &Vm, double Wanted, grant_number Held,
                       time_point Now);

  /** @returns the sum of the parts that may be in use. */
  double granted(time_point Now) const;

private:
  struct lease {
    double PerSecond = 0;
    time_point Until;
    grant_number Number = 0;
  };
  struct part {
    double Wanted = 0;
    time_point LastRequest;
    std::vector<lease> Leases; ///< any may be in use: answers get lost

    double inUse(time_point Now) const;
  };

  double maxMinFairLevel(time_point Now) const;

  double PerSecond;
  grant_number LatestNumber = 0;
  time_point FirstGrant;
  std::map<vm_name, part> Parts;
};

} // namespace sesamepaddle

#endif
