#ifndef SESAMEPADDLE_MOVES_CUSUM_DETECTOR_H
#define SESAMEPADDLE_MOVES_CUSUM_DETECTOR_H

namespace sesamepaddle {

/** A series of requests as a CUSUM statistic sees it. */
struct cusum_summary {
  double SumNats = 0;
  double FromZeroNats = 0; ///< the level that the series alone leads to

  /** Takes one more step. */
  void add(double Nats);
};

/** A CUSUM statistic that rises soon after faults become more frequent than a
    known rate. It can't tell the version's fault from the domain's, so it holds
    a move and never ends one. */
class cusum_detector {
public:
  /** Takes one request on the new version.
      @param UsualRate  share of requests that show the fault otherwise */
  void add(bool IsFault, double UsualRate);

  /** Takes what a peer saw. */
  void addSeries(const cusum_summary &Series);

  void reset() { Level = 0; }

  /** @returns the level in nats; 0 while nothing is unusual. */
  double level() const { return Level; }

  /** @returns what this VM saw since the last call. */
  cusum_summary takePending();
  const cusum_summary &pending() const { return Pending; }

private:
  double Level = 0;
  cusum_summary Pending;
};

} // namespace sesamepaddle

#endif
