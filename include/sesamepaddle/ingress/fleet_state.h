#ifndef SESAMEPADDLE_INGRESS_FLEET_STATE_H
#define SESAMEPADDLE_INGRESS_FLEET_STATE_H

#include "sesamepaddle/admission/attempt_budget.h"
#include "sesamepaddle/admission/overload_gate.h"
#include "sesamepaddle/admission/workspace_quota.h"
#include "sesamepaddle/ingress/ingress_options.h"
#include "sesamepaddle/ingress/stop_schedule.h"
#include "sesamepaddle/ingress/traffic_counter.h"
#include "sesamepaddle/load_balancing/endpoint_registry.h"
#include "sesamepaddle/load_balancing/placement.h"
#include "sesamepaddle/moves/fleet_rollout.h"
#include "sesamepaddle/routing/fleet_configuration.h"

#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace sesamepaddle {

/** Another VM as its latest gossip message described it. A VM that is known
    only by name and gossip address has the other fields at their defaults. */
struct known_vm {
  vm_name Name;
  incarnation Incarnation{};
  /** The process before this one; its messages may still arrive. */
  incarnation PreviousIncarnation{};
  std::uint64_t Sequence = 0; ///< of its latest message
  region_name Region;
  failure_domain_name FailureDomain;
  std::string CallerAddress;
  std::string GossipAddress;
  std::string PeerHttpAddress;
  double Cores = 0; ///< processor time; 0: unknown
  bool IsReady = false;
  bool IsBusy = false;      ///< short of processor time
  bool IsStoreLost = false; ///< its latest attempt to reach the store failed
  time_point LastHeard{};   ///< of its latest message; zero: never heard
  time_point StartedAt{};   ///< of its process, as far as it is known
  time_point LearnedAt{};   ///< by learnVm(); zero: heard without that
  time_point FirstKnown{};  ///< arrival of its first message
};

/** How the store's list of VMs named this VM when it was read. */
enum class listed_as : std::uint8_t {
  Missing, ///< not at all: others may never have heard of it
  Stopped, ///< by the row of a former process that stopped as planned
  Running, ///< by the row of a former process: all others count this VM
  Entered, ///< by the row of this process
};

/** Number of requests that a VM has in flight at one endpoint. */
struct endpoint_load {
  std::uint64_t Endpoint = 0; ///< hash of its identifier
  unsigned InFlight = 0;
};

/** One VM's view of the fleet: configuration, endpoints, rollouts, quotas and
    the other VMs. Requests read it right before each attempt. Not thread-safe:
    used by the thread that serves requests.

    Another VM is near when it is in the same region, and far otherwise. */
class fleet_state {
public:
  explicit fleet_state(ingress_options Options);

  /** Installs @p Configuration if its version is higher than the current one's.
      @returns true when it was installed */
  bool setConfiguration(configuration_pointer Configuration);

  /** Sets the failure domains that receive no requests. Endpoints of a domain
      that returns to service count as cold until their next record is due. */
  void setEvacuated(std::set<failure_domain_name> Domains, time_point Now);

  /** Starts the rollout of @p Order, which was issued @p Age ago. Does nothing
      when this order is already known.
      @returns false when it is not taken up, as there are no terms for it */
  bool setRollout(const rollout_order &Order, duration Age, time_point Now);
  void removeRollout(const service_name &Service);
  /** Stores the final outcome of a rollout; it also holds for requests after
      the order has been removed. */
  void recordRollout(const service_name &Service, const version_name &To,
                     rollout_outcome Outcome);

  /** How old the rows of the store are on which this VM acts. */
  row_freshness &rows() { return Rows; }
  /** @returns the rows that are too old for this VM to send requests by them.
   */
  std::optional<row_kind> outdatedRows(time_point Now) const {
    return Rows.outdated(Options.Bounds.Rows, Now);
  }
  /** @returns true when all rows are a few seconds old at most. */
  bool isStoreFresh(time_point Now) const;

  /** Sets whether this VM's latest attempt to reach the store failed. */
  void setStoreLost(bool IsLost) { IsStoreLost = IsLost; }
  bool isStoreLost() const { return IsStoreLost; }

  /** @returns the VM through which this one reads the store, or null when it
      reads the store itself. A few VMs read on behalf of the others. Any VM may
      do so; VMs that disagree on the readers do no harm. */
  const known_vm *storeReader(time_point Now) const;

  /** @returns true when this VM would read the store itself if its latest
      attempt had not failed. */
  bool wouldReadStore(time_point Now) const;

  /** @returns true when this VM is one of the few that probe the store often
      while no VM reaches it. The others still probe, at a lower rate, as one of
      them may be the only VM that can reach the store. */
  bool isStoreProber(time_point Now) const;

  /** @returns the time until this VM's next try after it failed to reach the
      store. */
  std::chrono::milliseconds storeRetryInterval(time_point Now) const;

  /** Replaces the in-flight requests that @p Vm reported. */
  void applyLoads(const vm_name &Vm, std::vector<endpoint_load> Loads,
                  time_point Now);

  /** Updates each endpoint's total of requests that other VMs have in flight
      there; placement uses it. Reports that are too old do not count. */
  void refreshLoads(time_point Now);

  /** Excludes a reader that did not answer from selection for a short time. */
  void avoidReader(const vm_name &Name, time_point Now);

  /** @returns true when a message with these numbers was sent before one that
      arrived already. */
  bool isSuperseded(const vm_name &Vm, incarnation Incarnation,
                    std::uint64_t Sequence) const;
  /** Stores what a message of another VM said about it. Ignored when it bears
      this VM's own name. */
  void applyVm(known_vm Vm);
  /** Adds a VM from which no message has arrived yet. A known one is kept. */
  void learnVm(known_vm Vm);
  /** Removes a VM of which the store's list says that it has stopped, unless a
      message of it has arrived. */
  void forgetUnheardVm(const vm_name &Name);
  /** Records that the VMs of the store's list have been learned. */
  void setVmsListed(listed_as Self);

  /** Replaces the bounds, after a change of settings. */
  void setBounds(const fleet_bounds &Bounds) { Options.Bounds = Bounds; }

  const ingress_options &options() const { return Options; }
  configuration_pointer configuration() const { return Configuration; }
  endpoint_registry &endpoints() { return Registry; }
  workspace_quota &quota() { return Quota; }
  /** Tells the quota which VMs there are. To be called several times a
      second. */
  void updateQuota(time_point Now);
  attempt_budget &attempts() { return Attempts; }
  overload_gate &overload() { return Overload; }
  /** Load headers of endpoints' answers. */
  load_report_counts &loadReports() { return LoadReports; }
  std::map<service_name, fleet_rollout> &rollouts() { return Rollouts; }
  const std::map<vm_name, known_vm> &vms() const { return Vms; }
  const std::set<failure_domain_name> &evacuated() const { return Evacuated; }

  /** @returns the time since this process started. */
  duration uptime(time_point Now) const { return Now - StartedAt; }

  /** @returns true when @p Vm is in the region of this VM. */
  bool isNear(const known_vm &Vm) const {
    return Vm.Region == Options.Vm.Region;
  }

  /** @returns how far this VM is from one in @p Region and @p Domain. */
  traffic_distance distanceTo(const region_name &Region,
                              const failure_domain_name &Domain) const;
  traffic_counter &traffic() { return Traffic; }

  /** @returns the interval between gossip messages to each near VM, or to each
      far one. It grows with their number, so that the total rate is bounded. */
  std::chrono::milliseconds messageInterval(bool ToNear) const;

  /** @returns true when a message of @p Vm arrived recently enough that the
      VM does not count as silent; false when none has ever arrived. */
  bool isHeard(const known_vm &Vm, time_point Now) const;

  /** Of the other VMs. */
  struct vm_counts {
    std::size_t Heard = 0;
    std::size_t MayRun = 0; ///< heard, or perhaps only cut off
  };
  vm_counts countVms(time_point Now) const;

  /** @returns true when @p Vm has said that it takes no requests and has fallen
      silent since: it has ended. */
  bool hasEnded(const known_vm &Vm, time_point Now) const;

  /** @returns true when this VM may make its part of the tokens of limits: the
      others count it, or there are none. */
  bool mayMakeTokens(time_point Now) const;

  /** @returns the number of known VMs, this one included, alive or not. */
  std::size_t vmCount() const { return Vms.size() + 1; }

  /** @returns the number of VMs by which to divide what all together may have:
      more than any fleet has until this VM has learned the others. */
  std::size_t sharingVms(time_point Now = boot_clock::now()) const;

  /** @returns the index of this VM among all known ones sorted by name. */
  std::size_t vmRank() const;

  /** @returns a random number in [0, 1). */
  double draw();

  /** @returns the quota terms of @p Workspace within the fleet's bounds. */
  quota_terms termsOf(const workspace_terms &Workspace) const;

  /** Chooses at random the version for one request of @p Service.
      @returns the version to use or to exclude; both empty: any */
  version_choice drawVersion(const service_name &Service);

  /** Tells the rollout of @p Service how a request of its trial ended.
      @see fleet_rollout::endTrial */
  void endTrial(const service_name &Service, const version_choice &Choice,
                std::optional<bool> IsBad);

  /** @returns the version for a further attempt of a request that failed at the
      new version of a rollout: the old one until the outcome is recorded. */
  version_choice versionAfterFault(const service_name &Service,
                                   const version_choice &Failed) const;

  /** Chooses an endpoint for a request of @p Service. */
  placed_endpoint place(const service_name &Service,
                        const placement_request &Request, time_point Now);

  /** @returns true when @p Request may still be sent to an endpoint that
     place() has chosen. */
  bool mayUse(const fleet_endpoint &Endpoint, const placement_request &Request,
              time_point Now) const;

  /** @returns the addresses of the VMs that a caller in @p Region and @p Domain
      should use, closest first. Leaves out some of the busy ones. */
  std::vector<std::string> callerAddresses(const region_name &Region,
                                           const failure_domain_name &Domain,
                                           time_point Now);

  /** Begins a planned stop of this VM. */
  void beginStop(time_point Now) {
    Stop.emplace(Now, Options.Bounds.GracePeriod);
  }
  bool isStopping() const { return Stop.has_value(); }
  /** @returns null unless this VM is stopping. */
  const stop_schedule *stop() const { return Stop ? &*Stop : nullptr; }

private:
  struct vm_loads {
    std::vector<endpoint_load> Loads;
    time_point At{}; ///< arrival of the report
  };
  struct recorded_rollout {
    version_name To;
    rollout_outcome Outcome;
  };

  /** Place of a VM among those that read the store for others: the VMs with the
      most processor time come first. */
  struct reader_rank {
    long CoreHundredths; ///< as precise as VMs tell each other
    std::uint64_t NameHash;
    bool operator<(const reader_rank &Other) const {
      return CoreHundredths != Other.CoreHundredths
                 ? CoreHundredths > Other.CoreHundredths
                 : NameHash < Other.NameHash;
    }
  };
  static reader_rank readerRank(const vm_name &Name, double Cores);
  struct reader_candidate {
    reader_rank Rank;
    failure_domain_name FailureDomain;
    const known_vm *Vm; ///< null: this VM
  };
  /** @returns the VMs that read the store for others; null stands for this one.
      @param CountsSelf  whether this VM may be among them */
  std::vector<reader_candidate> storeReaders(bool CountsSelf,
                                             time_point Now) const;
  /** @returns the @p Wanted best ones, of as many failure domains as possible.
   */
  static std::vector<reader_candidate>
  chooseReaders(std::vector<reader_candidate> Candidates, std::size_t Wanted);
  /** @returns the rendezvous weight of @p Reader for this VM. */
  double readerWeight(const known_vm &Reader) const;

  placement_limits placementLimits() const;

  /** @returns true when there are other VMs than this one. */
  bool hasOtherSeeds() const;

  /** @returns true when there is surely no other VM. */
  bool isAlone() const;

  /** @returns true when @p Vm may be running, although it may be cut off. */
  bool mayBeRunning(const known_vm &Vm, time_point Now) const;

  /** @returns true when @p Vm and this VM may read the store for each other:
      always in a small fleet, else only within a region. */
  bool isReaderFor(const known_vm &Vm) const;

  /** @returns the number of store readers for the VMs that share them with
      this one. */
  std::size_t readersWanted() const;

  /** @returns the time without a message after which @p Vm counts as silent:
      some message intervals, and at least @p Least. */
  std::chrono::milliseconds
  silenceTimeout(const known_vm &Vm, std::chrono::milliseconds Least) const;

  ingress_options Options;
  configuration_pointer Configuration;
  endpoint_registry Registry;
  workspace_quota Quota;
  attempt_budget Attempts;
  load_report_counts LoadReports;
  overload_gate Overload;
  std::map<service_name, fleet_rollout> Rollouts;
  std::map<service_name, recorded_rollout> Recorded; ///< final outcomes
  std::map<vm_name, known_vm> Vms;
  std::size_t NearVms = 0; ///< number of near ones in Vms
  std::set<failure_domain_name> Evacuated;
  std::map<vm_name, time_point> AvoidedReaders; ///< end of exclusion
  std::map<vm_name, vm_loads> VmLoads;
  row_freshness Rows;
  traffic_counter Traffic;
  std::optional<stop_schedule> Stop;
  bool IsStoreLost = false;
  bool AreVmsListed = false;
  bool IsFleetListed = false; ///< in a list that had a former process too
  bool IsCounted = false;     ///< by the others, since a former process
  bool HasEntered = false;    ///< the list has been read with this VM's row
  time_point StartedAt;       ///< of this process
  std::mt19937_64 Random;
};

} // namespace sesamepaddle

#endif
