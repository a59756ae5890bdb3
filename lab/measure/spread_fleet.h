#ifndef SESAMEPADDLE_LAB_MEASURE_SPREAD_FLEET_H
#define SESAMEPADDLE_LAB_MEASURE_SPREAD_FLEET_H

#include "sesamepaddle/documents/documents.h"
#include "sesamepaddle/membership/membership.h"

#include <cstdint>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace sesamepaddle {

/** Messages sent by a fleet since its counters were reset. */
struct fleet_counts {
  std::uint64_t Messages = 0;
  std::uint64_t Bytes = 0;
  std::uint64_t Largest = 0; ///< bytes sent by the VM that sent most
  duration Processing{};     ///< elapsed time, sum over all VMs
};

/** Runs the membership and document replication protocols of many VMs on one
    simulated clock. Messages take 1.4 ms within a region and 12 ms between
    regions. All VMs know each other from the VM list at the start. */
class spread_fleet {
public:
  spread_fleet(std::size_t Domains, std::size_t Vms, std::uint64_t Seed);

  /** Advances the simulated clock, delivers messages and runs timers. */
  void advance(std::chrono::milliseconds Time);

  /** Commits a new document of @p TextBytes to the platform. Pollers find it at
      their next poll. */
  void commit(std::size_t TextBytes);

  /** @returns the time from the commit until the last VM applied the document,
      or a negative time if some VM does not have it. */
  duration spreadTime() const;

  /** @returns the largest number of VMs that the document passed through on its
      way to a VM, that VM included. */
  unsigned longestChain() const;

  /** @returns how many VMs see all VMs of the fleet as live. */
  std::size_t completeViews() const;

  void resetCounts();
  fleet_counts membershipCounts() const { return Membership; }
  fleet_counts documentCounts() const { return Documents; }
  std::size_t size() const { return Vms.size(); }

private:
  struct vm {
    member_address Address;
    std::size_t Domain = 0;
    std::unique_ptr<membership_protocol> Members;
    std::unique_ptr<document_replicator> Spread;
    document_number Number = 0; ///< of the applied document
    time_point ReceivedAt;
    unsigned Hops = 0; ///< VMs that Number passed through, this one included
    time_point NextTick;
    time_point NextPoll;
    bool IsPoller = false; ///< reads documents from the platform
    std::uint64_t MembershipBytes = 0;
    std::uint64_t DocumentBytes = 0;
  };
  struct message {
    std::size_t From;
    std::size_t To;
    bool IsDocuments; ///< document replication, otherwise membership
    std::string Payload;
  };

  void makeVm(std::size_t Index);
  void send(std::size_t From, const std::string &Address, bool IsDocuments,
            std::string Payload);
  void deliver(const message &Message);
  void tick(std::size_t Index);
  void poll(std::size_t Index);
  replication_peers peersOf(std::size_t Index) const;

  std::vector<vm> Vms;
  std::map<std::string, std::size_t> VmByAddress;
  std::multimap<time_point, message> InFlight;
  std::mt19937_64 Random;
  std::size_t DomainCount;
  time_point Now{std::chrono::hours(1)};
  document_number Committed = 0;
  std::string CommittedRow;
  time_point CommitTime;
  unsigned ReceivedHops = 0; ///< hops of the sender in the current delivery
  fleet_counts Membership;
  fleet_counts Documents;
};

} // namespace sesamepaddle

#endif
