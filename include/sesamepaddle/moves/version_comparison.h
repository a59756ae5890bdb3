#ifndef SESAMEPADDLE_MOVES_VERSION_COMPARISON_H
#define SESAMEPADDLE_MOVES_VERSION_COMPARISON_H

#include <array>
#include <cstddef>

namespace sesamepaddle {

/** Fault rates of a bad version, by alternative. */
constexpr std::array<double, 4> BadFaultRates = {0.1, 0.3, 0.6, 0.97};

/** Sums of log likelihood ratios, one for each alternative, in nats. */
using log_ratios = std::array<double, BadFaultRates.size()>;

/** A sequential test of whether faults favour the new version.

    When both versions are equally good, a request that fails went to the new
    version with the probability with which requests were sent there, and so did
    one that succeeds, whatever makes requests fail. The statistic is an
    e-process of these draws, so that it may be read after every request: over
    the whole move it rejects two equally good versions with at most the stated
    probability.
*/
class version_comparison {
public:
  /** @param FalseAlarmRate  per test, over the whole move
      @param PlannedRestarts  how often restart() will be called */
  version_comparison(double FalseAlarmRate, double PlannedRestarts);

  /** Takes one request of this VM.
      @param NewShare  probability with which it went to the new version
      @param UsualRate  share of requests that show the fault otherwise
      @returns what the request adds to each alternative */
  log_ratios add(bool IsFault, bool IsNew, double NewShare, double UsualRate);

  /** Takes the requests that a peer saw. */
  void addRatios(const log_ratios &Ratios);

  /** Gives weight to the hypothesis that the version turned bad just now. */
  void restart();

  /** Like restart(), with far more weight; each call leaves less for later. */
  void restartSuspected();

  /** @returns true when the versions differ; stays true. */
  bool isRejected() const { return Rejected; }

  /** @returns what this VM saw since the last call, for its peers. */
  log_ratios takePending();

  /** @returns the largest sum that takePending() would give, in nats. */
  double pendingRise() const;

private:
  void inject(double Weight);
  void update();

  double Threshold;
  double RestartWeight;
  double RestartWeightLeft;
  double SuspectedWeightLeft;
  std::array<double, BadFaultRates.size()> Evidence{};
  log_ratios Pending{};
  bool Rejected = false;
};

} // namespace sesamepaddle

#endif
