#ifndef SESAMEPADDLE_LOAD_BALANCING_ENDPOINT_HEALTH_H
#define SESAMEPADDLE_LOAD_BALANCING_ENDPOINT_HEALTH_H

#include "sesamepaddle/core/clock.h"

#include <map>
#include <string>

namespace sesamepaddle {

/** Answers of an endpoint, decayed exponentially by their age. */
struct answer_counts {
  double Good = 0;
  double Bad = 0; ///< failed, lost or far beyond the expected latency
};

/** Detects an outlier among the endpoints of a service from its answers to all
    VMs.

    A single VM of many sends an endpoint a request only every few seconds, too
    few to detect a slow endpoint in time. The combined counts of all VMs show
    it within a second.
*/
class endpoint_health {
public:
  /** Counts an answer that this VM received. */
  void add(bool IsBad, time_point Now);

  /** Replaces the counts of another VM by those in its latest message. */
  void applyPeer(const std::string &Vm, answer_counts Seen, time_point Now);

  /** @returns the counts of this VM. */
  answer_counts own(time_point Now) const;

  /** @returns the sum of the counts of all VMs. */
  answer_counts total(time_point Now) const;

  /** @returns the share of bad answers among those to all VMs, in [0, 1). */
  double badShare(time_point Now) const;

  /** Updates isSuspect(). An endpoint is compared with its service, so that a
      fault that affects all endpoints makes none of them suspect.
      @param UsualBadShare  median of badShare() over the service's endpoints */
  void judge(double UsualBadShare, time_point Now);

  /** @returns true when requests should go to other endpoints, as of the last
      call of judge(). */
  bool isSuspect() const { return IsSuspect; }

  /** @returns true when this VM's counts should be sent to the other VMs. */
  bool isWorthPublishing(time_point Now) const;

private:
  /** @returns true when no VM has reported bad answers. */
  bool hasOnlyGood() const;

  /** Counts as of a time, from which they decay. */
  struct series {
    answer_counts AnswerCounts;
    time_point At{};
  };

  static answer_counts decayed(const series &Series, time_point Now);

  series Own;
  std::map<std::string, series> Peers;
  bool IsSuspect = false;
};

} // namespace sesamepaddle

#endif
