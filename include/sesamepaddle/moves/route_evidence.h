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
  Failed,         ///< an answer that says that the upstream is at fault
  ConnectionLost, ///< the endpoint went away while it ran the request
  NotReached,     ///< no connection; the request did not run
};

/** One request as evidence. */
struct version_sample {
  bool IsNew = false;
  double NewShare = 0; ///< probability with which the version was drawn
  sample_result Result = sample_result::Answered;
  std::chrono::microseconds Latency{0};
  crash_report Crash; ///< set unless the request was answered
};

/** Log likelihood ratios by fault kind. */
using ratios_by_kind = std::array<log_ratios, FaultKinds>;

/** What a VM tells its peers about one fault kind on one route. */
struct evidence_ratios {
  log_ratios Comparison{};
  cusum_summary Rise;
};

/** What a VM tells its peers about one route. */
struct evidence_batch {
  route_name Route;
  std::array<evidence_ratios, FaultKinds> Kinds;
};

/** The evidence against the new version on one route, of all VMs. */
class route_evidence {
public:
  /** @param FalseAlarmRate  over the whole move, both fault kinds together */
  route_evidence(double FalseAlarmRate, double PlannedRestarts);

  /** Takes one request of this VM that ended without a crash.
      @returns what it adds to the evidence */
  ratios_by_kind add(const version_sample &Sample);

  /** Takes a crash that counts as one fault. */
  ratios_by_kind addCrash(const counted_crash &Crash);

  /** Takes the batch of a peer in @p Domain. */
  void addBatch(const failure_domain_name &Domain, const evidence_batch &Batch,
                time_point Now);

  /** Opens the evidence for a fault that begins now. */
  void restart();

  /** As restart(), when faults seem to have become more frequent. */
  void restartSuspected();

  /** @returns the fault when the new version is worse than the old one. */
  std::optional<fault_kind> rejectedFor() const;

  /** @returns true when faults on the new version have become frequent in this
      VM's domain, or in several domains together. Domains that are silent don't
      count. */
  bool isSuspected(time_point Now) const;

  /** Forgets what made the version suspected. */
  void clearSuspicion();

  /** @returns true when peers should hear of the latest requests at once. */
  bool isBatchUrgent() const;

  /** @returns what was seen since the last call. */
  evidence_batch takeBatch();

private:
  struct domain_series {
    cusum_detector Detector;
    time_point LastHeard;
  };

  struct kind_evidence {
    version_comparison Comparison;
    cusum_detector Own;
    std::map<failure_domain_name, domain_series> OfDomains;
  };

  log_ratios addOutcome(fault_kind Kind, bool IsFault, bool IsNew,
                        double NewShare, double UsualRate);
  kind_evidence &of(fault_kind Kind);

  std::array<kind_evidence, FaultKinds> Kinds;
  latency_profile OldLatencies;
  double ErrorRate = 0; ///< of the old version
};

} // namespace sesamepaddle

#endif
