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

/** VMs that spread documents over links that lose, delay and repeat, with a
    platform that can be out or answer old reads; the clock is the test's. */
class replication_simulation {
public:
  replication_simulation(std::size_t Domains, std::size_t VmsPerDomain,
                         std::uint64_t Seed);

  void restart(std::size_t Vm);
  void freeze(std::size_t Vm) { Vms[Vm].IsFrozen = true; }
  void thaw(std::size_t Vm);
  void cut(std::size_t First, std::size_t Second);
  void cutDomain(std::size_t Domain);
  void cutFromPlatform(std::size_t Vm) { Vms[Vm].ReachesPlatform = false; }
  void healAll();
  void setPlatformOutage(bool IsOut) { PlatformIsOut = IsOut; }
  void setStaleReads(bool AreOld) { ReadsAreOld = AreOld; }
  void setLoss(unsigned Percent) { LossPercent = Percent; }

  /** Two owners sign the next document of a service. */
  void commit(std::size_t Service);

  /** Lets time pass in steps of 100 ms and checks every VM at each.
      @returns what is wrong, or nothing. */
  std::optional<std::string> advance(std::chrono::milliseconds Time);

  /** @returns the first VM that lacks the highest signed version, if any. */
  std::optional<std::string> findOutdatedVm() const;

  document_number numberOn(std::size_t Vm, std::size_t Service) const;
  freshness freshnessOf(std::size_t Vm) const {
    return Vms[Vm].Spread->freshnessAt(Now);
  }
  std::size_t size() const { return Vms.size(); }
  bool isFrozen(std::size_t Vm) const { return Vms[Vm].IsFrozen; }

private:
  struct vm {
    std::unique_ptr<document_replicator> Spread;
    std::map<service_name, document_number> InForce;
    std::size_t Domain = 0;
    bool IsPoller = false;
    bool IsFrozen = false;
    bool ReachesPlatform = true;
    bool HadOldRead = false;
    std::vector<std::string> Inbox; ///< while frozen
  };
  struct row {
    std::uint64_t Revision;
    time_point Time;
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
  bool ReadsAreOld = false;
  std::optional<std::string> Fault;
};

} // namespace sesamepaddle

#endif
