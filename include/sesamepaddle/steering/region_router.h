#ifndef SESAMEPADDLE_STEERING_REGION_ROUTER_H
#define SESAMEPADDLE_STEERING_REGION_ROUTER_H

#include "sesamepaddle/core/clock.h"
#include "sesamepaddle/core/identifiers.h"
#include "sesamepaddle/shares/token_bucket.h"
#include "sesamepaddle/steering/capacity_allocator.h"

#include <map>
#include <optional>
#include <vector>

namespace sesamepaddle {

/** One VM's decision in which region a request runs.

    It spends this VM's parts of the limits of regions and links and nothing
    else, so that no limit is passed whatever other VMs decide at the same time.
    A VM that reaches no home goes on with the part that it holds for good.
*/
class region_router {
public:
  /** @param Regions  in the order of use, the VM's own first */
  region_router(std::vector<region_name> Regions, time_point Now);

  /** Sets what this VM holds for good of its own region's capacity. */
  void setPermanentRate(double RequestsPerSecond, time_point Now);

  /** Sets what the agreed rates give a workspace on this VM. */
  void setGuaranteedRate(const workspace_name &Workspace,
                         double RequestsPerSecond, time_point Now);

  /** Takes a part of a region's capacity.
      @param SentAt  when this VM asked for it */
  void applyRegionGrant(const region_name &Region, const capacity_grant &Grant,
                        time_point SentAt, time_point Now);

  /** Takes a part of the link to a region, in bytes per second. */
  void applyLinkGrant(const region_name &Region, const capacity_grant &Grant,
                      time_point SentAt, time_point Now);

  /** Decides one request.
      @param LinkBytes  what it costs on a link, both ways added
      @returns the region, or nothing when every limit within reach is used up;
      nothing was spent then */
  std::optional<region_name> route(const workspace_name &Workspace,
                                   double LinkBytes, time_point Now);

  /** @returns the newest grant that this VM has of a region. */
  grant_number latestRegionGrant(const region_name &Region) const;

  /** @returns the newest grant that this VM has of the link to a region. */
  grant_number latestLinkGrant(const region_name &Region) const;

  /** @returns what this VM could use of a region, per second, beside what it
      holds for good. */
  double wanted(const region_name &Region, time_point Now);

private:
  struct limited_rate {
    token_bucket Bucket;
    double PerSecond = 0;
    time_point Until;
    grant_number Number = 0;
  };
  struct region_state {
    region_name Name;
    limited_rate Capacity;
    limited_rate Link;
    double Attempts = 0; ///< requests since the last call of wanted()
    double WantedPerSecond = 0;
    time_point LastWanted;
  };

  region_state *find(const region_name &Region);
  const region_state *find(const region_name &Region) const;
  static void take(limited_rate &Rate, double PerSecond, time_point Until,
                   time_point Now);
  void expire(region_state &Region, time_point Now);
  bool spend(region_state &Region, bool IsOwn, bool IsGuaranteed,
             double LinkBytes, time_point Now);

  std::vector<region_state> Regions;
  double PermanentRate = 0;
  std::map<workspace_name, token_bucket> Guaranteed;
};

} // namespace sesamepaddle

#endif
