#ifndef SESAMEPADDLE_INGRESS_FLEET_STATE_H
#define SESAMEPADDLE_INGRESS_FLEET_STATE_H

#include "sesamepaddle/admission/attempt_budget.h"
#include "sesamepaddle/admission/demand_quota.h"
#include "sesamepaddle/ingress/ingress_options.h"
#include "sesamepaddle/moves/fleet_rollout.h"
#include "sesamepaddle/placing/endpoint_registry.h"
#include "sesamepaddle/placing/placement.h"
#include "sesamepaddle/routing/fleet_configuration.h"

#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace sesamepaddle {

/** Another VM, as its last message showed it. */
struct known_vm {
  vm_name Name;
  incarnation Incarnation{};
  region_name Region;
  failure_domain_name FailureDomain;
  std::string CallerAddress;
  std::string GossipAddress;
  std::string PeerHttpAddress;
  bool IsReady = false;
  bool IsStoreLost = false; ///< it tried the store and got no answer
  time_point LastHeard{};
  time_point FirstKnown{};
};

/** Requests of a VM that are at an endpoint, which is named by its hash. */
struct endpoint_load {
  std::uint64_t Endpoint = 0;
  unsigned InFlight = 0;
};

/** What one VM knows and believes about the fleet. Everything that decides over
    a request reads it at the moment of sending. For one thread. */
class fleet_state {
public:
  explicit fleet_state(ingress_options Options);

  /** Takes a configuration in unless a newer one is in force.
      @returns true when it is in force now */
  bool setConfiguration(configuration_pointer Configuration);

  /** Says which failure domains get nothing. Endpoints of a domain that is
      taken back count as cold until they say otherwise. */
  void setEvacuated(std::set<failure_domain_name> Domains, time_point Now);

  /** Takes an order in, or again; @p Age is how long ago it was given. */
  void setRollout(const rollout_order &Order, duration Age, time_point Now);
  void removeRollout(const service_name &Service);
  void recordRollout(const service_name &Service, const version_name &To,
                     rollout_outcome Outcome);

  void recordStoreContact(time_point Now) { LastStoreContact = Now; }
  bool isStoreFresh(time_point Now) const;

  /** Says whether this VM reaches the store, as of its last try. */
  void setStoreLost(bool IsLost) { IsStoreLost = IsLost; }
  bool isStoreLost() const { return IsStoreLost; }

  /** @returns the VM that reads the store for this one, or null when it reads
      the store itself. A few VMs read for all; any may, and two at once are
      harmless. */
  const known_vm *storeReader(time_point Now) const;

  /** @returns true when this VM is one of the few that look for a store which
      nobody reaches; the others look seldom, as one may reach it alone. */
  bool isStoreProber(time_point Now) const;

  /** Takes in what another VM has under way at endpoints. */
  void applyLoads(const vm_name &Vm, std::vector<endpoint_load> Loads,
                  time_point Now);

  /** Adds up what the other VMs have under way, for placing. */
  void refreshLoads(time_point Now);

  /** Passes over a reader that did not answer, for a while. */
  void avoidReader(const vm_name &Name, time_point Now);

  /** Takes another VM's message in; its own name is ignored. */
  void applyVm(known_vm Vm);
  /** Learns of a VM that has not been heard yet. */
  void learnVm(known_vm Vm);

  /** Takes other bounds in, as when the settings were changed. */
  void setBounds(const fleet_bounds &Bounds) { Options.Bounds = Bounds; }

  const ingress_options &options() const { return Options; }
  configuration_pointer configuration() const { return Configuration; }
  endpoint_registry &endpoints() { return Registry; }
  demand_quota &quota() { return Quota; }
  attempt_budget &attempts() { return Attempts; }
  std::map<service_name, fleet_rollout> &rollouts() { return Rollouts; }
  const std::map<vm_name, known_vm> &vms() const { return Vms; }
  const std::set<failure_domain_name> &evacuated() const { return Evacuated; }

  /** @returns true when @p Vm is in this VM's region. */
  bool isNear(const known_vm &Vm) const {
    return Vm.Region == Options.Vm.Region;
  }

  /** @returns how long to wait between messages to VMs that are near, or to the
      others: fewer messages go to each the more there are. */
  std::chrono::milliseconds messageInterval(bool ToNear) const;

  /** @returns true when @p Vm was heard as lately as its messages are due. */
  bool isHeard(const known_vm &Vm, time_point Now) const;

  /** @returns how many VMs there may be, this one included. */
  std::size_t vmCount() const { return Vms.size() + 1; }

  /** @returns this VM's place among all, by name. */
  std::size_t vmRank() const;

  /** @returns a draw in [0, 1). */
  double draw();

  /** @returns the quota terms of @p Workspace under the fleet's bounds. */
  quota_terms termsOf(const workspace_terms &Workspace) const;

  /** Draws the version for one request of @p Service.
      @returns which version to use or to leave out; both empty: any */
  version_choice drawVersion(const service_name &Service);

  /** Chooses an endpoint for a request of @p Service. */
  placed_endpoint place(const service_name &Service,
                        const placement_request &Request, time_point Now);

  /** @returns the addresses to name to a caller, best first. */
  std::vector<std::string> callerAddresses(const region_name &Region,
                                           const failure_domain_name &Domain,
                                           time_point Now) const;

  bool IsDraining = false;

private:
  struct vm_loads {
    std::vector<endpoint_load> Loads;
    time_point At{};
  };
  struct recorded_rollout {
    version_name To;
    rollout_outcome Outcome;
  };

  /** @returns true when @p Vm may read the store for this one, or this one for
      it: all of a small fleet, else those of the region. */
  bool isReaderFor(const known_vm &Vm) const;

  /** @returns how many VMs are to read the store for those around this one. */
  std::size_t readersWanted() const;

  /** @returns how long what @p Vm told last counts: until some messages of its
      are missing, and not less than @p Least. */
  std::chrono::milliseconds
  silenceTimeout(const known_vm &Vm, std::chrono::milliseconds Least) const;

  ingress_options Options;
  configuration_pointer Configuration;
  endpoint_registry Registry;
  demand_quota Quota;
  attempt_budget Attempts;
  std::map<service_name, fleet_rollout> Rollouts;
  std::map<service_name, recorded_rollout> Recorded;
  std::map<vm_name, known_vm> Vms;
  std::set<failure_domain_name> Evacuated;
  std::map<vm_name, time_point> AvoidedReaders; ///< until when
  std::map<vm_name, vm_loads> VmLoads;
  time_point LastStoreContact{};
  bool IsStoreLost = false;
  std::mt19937_64 Random;
};

} // namespace sesamepaddle

#endif
