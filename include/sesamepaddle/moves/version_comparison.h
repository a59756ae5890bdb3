#ifndef SESAMEPADDLE_MOVES_VERSION_COMPARISON_H
#define SESAMEPADDLE_MOVES_VERSION_COMPARISON_H

#include <array>
#include <cstddef>

namespace sesamepaddle {

/** Alternative hypotheses: the fault rate that a bad version would have, as a
    share of its requests. */
constexpr std::array<double, 4> BadFaultRates = {0.1, 0.3, 0.6, 0.97};

/** Sums of log likelihood ratios in nats, one for each alternative. */
using log_ratios = std::array<double, BadFaultRates.size()>;

/** A sequential test of whether the new version has more faults than the old.

    Null hypothesis: both versions are equally good. Then failed and successful
    requests went to the new version with the same probability, the one with
    which requests were sent there, whatever makes requests fail. The statistic
    is an e-process over these draws, so it may be read after every request:
    over the whole move it rejects two equally good versions with at most the
    stated probability.
*/
class version_comparison {
public:
  /** @param FalseAlarmRate  largest probability that this test rejects two
                             equally good versions, over the whole move
      @param PlannedRestarts  expected number of calls of restart() */
  version_comparison(double FalseAlarmRate, double PlannedRestarts);

  /** Adds one request of this VM.
      @param NewShare  probability with which it went to the new version
      @param UsualRate  share of the old version's requests with the fault
      @returns what the request adds to each alternative, in nats */
  log_ratios add(bool IsFault, bool IsNew, double NewShare, double UsualRate);

  /** Adds the ratios of requests that a peer, or the comparison on a single
      route, observed. takePending() does not return them. */
  void addRatios(const log_ratios &Ratios);

  /** Adds weight to the hypothesis that the version turns bad now. */
  void restart();

  /** Like restart(), but with far more weight. Each call uses half of the
      weight that is left. */
  void restartSuspected();

  /** @returns true once the new version was found worse; stays true. */
  bool isRejected() const { return Rejected; }

  /** @returns the sums over this VM's requests since the last call, to be sent
      to its peers. */
  log_ratios takePending();

  /** @returns the largest sum that takePending() would return, in nats. */
  double pendingRise() const;

private:
  /** Adds @p Weight to Evidence, in equal parts for each alternative. */
  void inject(double Weight);
  void updateRejected();

  double Threshold;     ///< of the sum of Evidence
  double RestartWeight; ///< added by each restart()
  double RestartWeightLeft;
  double SuspectedWeightLeft;
  std::array<double, BadFaultRates.size()>
      Evidence{}; ///< weighted likelihood ratios
  log_ratios Pending{};
  bool Rejected = false;
};

} // namespace sesamepaddle

#endif
