#ifndef SESAMEPADDLE_TESTS_DOCUMENTS_REPLICATION_SIMULATION_H
#define SESAMEPADDLE_TESTS_DOCUMENTS_REPLICATION_SIMULATION_H

#include "sesamepaddle/documents/documents.h"

#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace sesamepaddle {

/** Simulates VMs that replicate documents, on a virtual clock. The network can
    lose, delay and repeat messages; the platform can be out or answer with an
    older state. */
class replication_simulation {
public:
  replication_simulation(std::size_t Domains, std::size_t VmsPerDomain,
                         std::uint64_t Seed);

  /** Replaces a VM by a new process without documents. */
  void restart(std::size_t Vm);
  /** Suspends a VM's process; messages to it wait until thaw(). */
  void freeze(std::size_t Vm) { Vms[Vm].IsFrozen = true; }
  void thaw(std::size_t Vm);
  /** Drops all messages between two VMs until healAll(). */
  void cut(std::size_t First, std::size_t Second);
  /** Cuts a failure domain off from all others and from the platform. */
  void cutDomain(std::size_t Domain);
  void cutFromPlatform(std::size_t Vm) { Vms[Vm].ReachesPlatform = false; }
  /** Ends all cuts, suspensions, losses and stale reads, but not an outage of
      the platform. */
  void healAll();
  void setPlatformOutage(bool IsOut) { PlatformIsOut = IsOut; }
  /** Makes the platform answer with its state of 5 s ago. */
  void setStaleReads(bool AreStale) { ReadsAreStale = AreStale; }
  void setLoss(unsigned Percent) { LossPercent = Percent; }

  /** Stores the next signed document of a service on the platform. */
  void commit(std::size_t Service);

  /** Advances the clock in steps of 100 ms and checks every VM after each.
      @returns the first fault found, or nothing. */
  std::optional<std::string> advance(std::chrono::milliseconds Time);

  /** @returns a text that names a VM that lacks a stored document, or nothing.
   */
  std::optional<std::string> findOutdatedVm() const;

  document_number numberOn(std::size_t Vm, std::size_t Service) const;
  freshness freshnessOf(std::size_t Vm) const {
    return Vms[Vm].Replicator->freshnessAt(Now);
  }
  std::size_t size() const { return Vms.size(); }
  bool isFrozen(std::size_t Vm) const { return Vms[Vm].IsFrozen; }

private:
  struct vm {
    std::unique_ptr<document_replicator> Replicator;
    std::map<service_name, document_number> InForce; ///< as applied
    std::size_t Domain = 0;
    bool IsPoller = false; ///< reads the platform every second
    bool IsFrozen = false;
    bool ReachesPlatform = true;
    bool HadStaleRead = false; ///< exempts all VMs from the freshness check
    std::vector<std::string> Inbox; ///< messages received while frozen
  };
  /** A document stored on the platform. */
  struct row {
    std::uint64_t Revision;
    time_point Time; ///< when it was stored
    document_envelope Envelope;
  };
  struct message {
    std::size_t From;
    std::size_t To;
    std::string Payload;
  };

  absl::Status apply(std::size_t Vm, const document_envelope &Envelope);
  void send(std::size_t From, const std::string &Address, std::string Payload);
  void setPeers(std::size_t Vm);
  void poll(std::size_t Vm);
  void deliver();
  std::optional<std::string> check() const;
  bool isCut(std::size_t First, std::size_t Second) const;

  std::vector<vm> Vms;
  std::vector<row> Rows;
  std::multimap<time_point, message> InFlight;
  std::set<std::pair<std::size_t, std::size_t>> Cuts;
  std::mt19937_64 Random;
  time_point Now{std::chrono::hours(1)};
  unsigned LossPercent = 0;
  bool PlatformIsOut = false;
  bool ReadsAreStale = false;
  std::optional<std::string> Fault; ///< set by apply()
};

} // namespace sesamepaddle

#endif
