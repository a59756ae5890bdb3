#ifndef SESAMEPADDLE_MOVES_CUSUM_DETECTOR_H
#define SESAMEPADDLE_MOVES_CUSUM_DETECTOR_H

namespace sesamepaddle {

/** Effect of a series of requests on a CUSUM statistic, in a form that can be
    sent to peers. */
struct cusum_summary {
  double SumNats = 0;      ///< sum of all steps
  double FromZeroNats = 0; ///< level after the series when it starts at 0

  /** Adds one step to the end of the series. */
  void add(double Nats);
};

/** A CUSUM statistic that rises soon after faults become more frequent than a
    known rate. It can't distinguish a fault of the version from one of the
    failure domain, so it only holds a move and never ends it. */
class cusum_detector {
public:
  /** Adds one request on the new version.
      @param UsualRate  share of the old version's requests with the fault */
  void add(bool IsFault, double UsualRate);

  /** Adds a series that a peer observed. */
  void addSeries(const cusum_summary &Series);

  void reset() { Level = 0; }

  /** @returns the level in nats; 0 while nothing is unusual. */
  double level() const { return Level; }

  /** @returns the series that add() received since the last call. */
  cusum_summary takePending();

  /** @returns what takePending() would return. */
  const cusum_summary &pending() const { return Pending; }

private:
  double Level = 0;
  cusum_summary Pending;
};

} // namespace sesamepaddle

#endif
