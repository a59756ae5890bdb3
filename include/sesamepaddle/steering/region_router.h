#ifndef SESAMEPADDLE_STEERING_REGION_ROUTER_H
#define SESAMEPADDLE_STEERING_REGION_ROUTER_H

#include "sesamepaddle/core/clock.h"
#include "sesamepaddle/core/identifiers.h"
#include "sesamepaddle/rate_limiting/token_bucket.h"
#include "sesamepaddle/steering/capacity_allocator.h"

#include <map>
#include <optional>
#include <vector>

namespace sesamepaddle {

/** Chooses, on one VM, the region in which each request runs.

    It spends only this VM's parts of the limits of regions and links, so no
    limit is exceeded whatever other VMs decide at the same time. A VM that
    reaches no allocator continues with its permanent rate.
    @see capacity_allocator
*/
class region_router {
public:
  /** @param Regions  in order of preference, the VM's own first */
  region_router(std::vector<region_name> Regions, time_point Now);

  /** Sets the part of its own region's capacity that this VM has without a
      lease. */
  void setPermanentRate(double RequestsPerSecond, time_point Now);

  /** Sets the rate that is guaranteed to a workspace on this VM by agreement.
      Within it, the workspace may use the reserve of each bucket. */
  void setGuaranteedRate(const workspace_name &Workspace,
                         double RequestsPerSecond, time_point Now);

  /** Applies a leased part of a region's capacity. A grant older than the
      newest one is ignored.
      @param SentAt  when this VM sent the request */
  void applyRegionGrant(const region_name &Region, const capacity_grant &Grant,
                        time_point SentAt, time_point Now);

  /** Applies a leased part of the link to a region, in bytes per second.
      @see applyRegionGrant */
  void applyLinkGrant(const region_name &Region, const capacity_grant &Grant,
                      time_point SentAt, time_point Now);

  /** Chooses the region for one request and spends its tokens.
      @param LinkBytes  the bytes that it sends over a link, both directions
      added; the VM's own region needs no link
      @returns nothing when the capacity of each region, or of the link to it,
      is used up; no tokens are spent then */
  std::optional<region_name> route(const workspace_name &Workspace,
                                   double LinkBytes, time_point Now);

  /** @returns the number of the newest grant that was applied for a region, or
      0. */
  grant_number latestRegionGrant(const region_name &Region) const;

  /** @returns the number of the newest grant that was applied for the link to a
      region, or 0. */
  grant_number latestLinkGrant(const region_name &Region) const;

  /** Estimates the demand from the attempts since the last call.
      @returns the requests per second that this VM could use in a region beyond
      its permanent rate. */
  double wanted(const region_name &Region, time_point Now);

private:
  /** The part of a limit that this VM may use, and the bucket that enforces
      it. */
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
    double Attempts = 0; ///< requests that tried it since the last estimate
    double WantedPerSecond = 0;
    time_point LastWanted;
  };

  region_state *find(const region_name &Region);
  const region_state *find(const region_name &Region) const;
  static void setRate(limited_rate &Rate, double PerSecond, time_point Until,
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
