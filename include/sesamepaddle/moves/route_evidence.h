#ifndef SESAMEPADDLE_MOVES_ROUTE_EVIDENCE_H
#define SESAMEPADDLE_MOVES_ROUTE_EVIDENCE_H

#include "sesamepaddle/core/identifiers.h"
#include "sesamepaddle/moves/crash_deduplicator.h"
#include "sesamepaddle/moves/cusum_detector.h"
#include "sesamepaddle/moves/latency_profile.h"
#include "sesamepaddle/moves/move_record.h"
#include "sesamepaddle/moves/version_comparison.h"

#include <array>
#include <map>
#include <optional>

namespace sesamepaddle {

/** How one request ended at the upstream. */
enum class sample_result : std::uint8_t {
  Answered,
  Failed,         ///< the answer shows a fault of the upstream
  ConnectionLost, ///< the connection was lost while the endpoint ran it
  NotReached,     ///< no connection was made; the request did not run
};

/** One request as evidence about the versions. */
struct version_sample {
  bool IsNew = false;
  double NewShare = 0; ///< probability of the new version for this request
  sample_result Result = sample_result::Answered;
  std::chrono::microseconds Latency{0};
  crash_report Crash; ///< used for ConnectionLost and NotReached
};

/** Log likelihood ratios by fault kind. */
using ratios_by_kind = std::array<log_ratios, FaultKinds>;

/** What a VM reports to its peers about one fault kind on one route: what its
    own requests since the last batch add to the statistics. */
struct evidence_ratios {
  log_ratios Comparison{};
  cusum_summary Rise;
};

/** What a VM reports to its peers about one route. */
struct evidence_batch {
  route_name Route;
  std::array<evidence_ratios, FaultKinds> Kinds; ///< by fault kind
};

/** The evidence against the new version on one route, of all VMs. */
class route_evidence {
public:
  /** @param FalseAlarmRate  largest probability of a false alarm over the whole
                             move, both fault kinds together
      @param PlannedRestarts  expected number of calls of restart() */
  route_evidence(double FalseAlarmRate, double PlannedRestarts);

  /** Adds one request of this VM that ended without a crash.
      @returns what it adds to the evidence, in nats */
  ratios_by_kind add(const version_sample &Sample);

  /** Adds a crash that counts as one fault.
      @returns what it adds to the evidence, in nats */
  ratios_by_kind addCrash(const counted_crash &Crash);

  /** Adds the batch of a peer in @p Domain. */
  void addBatch(const failure_domain_name &Domain, const evidence_batch &Batch,
                time_point Now);

  /** Starts to test for a fault that begins at this moment.
      @see version_comparison::restart() */
  void restart();

  /** Like restart(), for use when faults seem to have become more frequent. */
  void restartSuspected();

  /** @returns the kind of fault that the new version was found to have more
      often than the old one, if any. */
  std::optional<fault_kind> rejectedFor() const;

  /** @returns true when faults on the new version have become frequent among
      this VM's own requests, or in at least two series together. This VM's
      requests are one series, and so are those of the peers in each failure
      domain. Domains that sent no batch recently are ignored. */
  bool isSuspected(time_point Now) const;

  /** Resets the statistics behind isSuspected(). */
  void clearSuspicion();

  /** @returns true when takeBatch() has enough evidence to be sent at once. */
  bool isBatchUrgent() const;

  /** @returns what this VM's requests added since the last call. The caller
      sets the route. */
  evidence_batch takeBatch();

private:
  /** The requests of all peers in one failure domain. */
  struct domain_series {
    cusum_detector Detector;
    time_point LastHeard; ///< when the latest batch arrived
  };

  struct kind_evidence {
    version_comparison Comparison;
    cusum_detector Own; ///< of this VM's requests
    std::map<failure_domain_name, domain_series> OfDomains;
  };

  log_ratios addOutcome(fault_kind Kind, bool IsFault, bool IsNew,
                        double NewShare, double UsualRate);
  kind_evidence &evidenceOf(fault_kind Kind);

  std::array<kind_evidence, FaultKinds> Kinds;
  latency_profile OldLatencies;
  double ErrorRate = 0; ///< of the old version
};

} // namespace sesamepaddle

#endif
