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

/** What a fleet has sent since its counters were reset. */
struct fleet_counts {
  std::uint64_t Messages = 0;
  std::uint64_t Bytes = 0;
  std::uint64_t Largest = 0; ///< bytes that the busiest VM sent
  duration Processing{};     ///< of all VMs together
};

/** The cores of membership and document spread of many VMs on one simulated
    clock: 1.4 ms between VMs of a region and 12 ms beyond it. */
class spread_fleet {
public:
  spread_fleet(std::size_t Domains, std::size_t Vms, std::uint64_t Seed);

  /** Lets every VM know every other through the list, then lets time pass. */
  void advance(std::chrono::milliseconds Time);

  /** The platform takes a document of @p TextBytes; pollers see it from now on
      at their next poll. */
  void commit(std::size_t TextBytes);

  /** @returns the time from the commit until the last VM had the document, or
      a negative time when some VM lacks it. */
  duration spreadTime() const;

  /** @returns the longest chain of VMs that the document came through. */
  unsigned longestChain() const;

  /** @returns how many VMs see exactly the live VMs. */
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
    document_number Number = 0;
    time_point ReceivedAt;
    unsigned Hops = 0;
    time_point NextTick;
    time_point NextPoll;
    bool IsPoller = false;
    std::uint64_t MembershipBytes = 0;
    std::uint64_t DocumentBytes = 0;
  };
  struct message {
    std::size_t From;
    std::size_t To;
    bool IsDocuments;
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
  unsigned ReceivedHops = 0;
  fleet_counts Membership;
  fleet_counts Documents;
};

} // namespace sesamepaddle

#endif
