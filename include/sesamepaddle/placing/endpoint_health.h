#ifndef SESAMEPADDLE_PLACING_ENDPOINT_HEALTH_H
#define SESAMEPADDLE_PLACING_ENDPOINT_HEALTH_H

#include "sesamepaddle/core/clock.h"

#include <map>
#include <string>

namespace sesamepaddle {

/** Answers of an endpoint of late; old ones count less and less. */
struct answer_counts {
  double Good = 0;
  double Bad = 0; ///< failed, lost or far too late
};

/** What the answers of an endpoint, to this VM and to others, say of it.

    One VM of many sends an endpoint a request every few seconds, too few to
    find a slow endpoint in time; all VMs together see it within a second.
*/
class endpoint_health {
public:
  /** Counts an answer to this VM. */
  void add(bool IsBad, time_point Now);

  /** Takes what another VM has seen. */
  void applyPeer(const std::string &Vm, answer_counts Seen, time_point Now);

  /** @returns what this VM has seen. */
  answer_counts own(time_point Now) const;

  /** @returns what all VMs have seen. */
  answer_counts total(time_point Now) const;

  /** @returns the share of bad answers, to all VMs. */
  double badShare(time_point Now) const;

  /** Judges the endpoint against the usual share of bad answers of its service,
      so that one is not blamed for what befalls all. */
  void judge(double UsualBadShare, time_point Now);

  /** @returns true when requests should go elsewhere, as last judged. */
  bool isSuspect() const { return IsSuspect; }

  /** @returns true when others should be told what this VM has seen. */
  bool isWorthPublishing(time_point Now) const;

private:
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
