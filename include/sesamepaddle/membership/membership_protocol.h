#ifndef SESAMEPADDLE_MEMBERSHIP_MEMBERSHIP_PROTOCOL_H
#define SESAMEPADDLE_MEMBERSHIP_MEMBERSHIP_PROTOCOL_H

#include "sesamepaddle/core/clock.h"
#include "sesamepaddle/membership/member_table.h"

#include <chrono>
#include <functional>
#include <random>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace sesamepaddle {

/** Sends a payload to the VM at a peer address; it may be lost. */
using membership_send =
    std::function<void(const std::string &Address, std::string Payload)>;

/** Intervals of the protocol. Those with a part for each VM or domain keep the
    bytes a second bounded as a failure domain or the fleet grows. */
struct membership_options {
  std::chrono::milliseconds MinHeartbeatInterval{300};
  std::chrono::milliseconds HeartbeatIntervalPerVm{30};
  std::chrono::milliseconds MinSummaryInterval{1'000};
  std::chrono::milliseconds SummaryIntervalPerDomain{200};
  /** How long a leaving VM rides in every message, against loss. */
  std::chrono::milliseconds LeaveAnnouncementTime{30'000};
  /** After this a silent VM that the list does not name is forgotten. */
  std::chrono::milliseconds ForgetTime{600'000};
};

/** What the platform's lagging list says of a VM. */
struct listed_member {
  member_address Address;
  bool IsLeaving = false;
};

/** How long ago a failure domain was last heard, by this VM or by one that it
    hears. */
struct domain_silence {
  failure_domain_name FailureDomain;
  duration Age{};
  bool IsHeard = false; ///< Age is below the bound for a domain
};

/** Heartbeats inside the failure domain, summaries between domains.

    A VM sends its view of its own failure domain to one VM of it at a time, in
    turn. Of other domains it knows the VMs but not their heartbeats: domains
    compare digests and send entries only where these differ. Not thread-safe.
*/
class membership_protocol {
public:
  membership_protocol(member_address Self, incarnation Incarnation,
                      membership_options Options, std::uint64_t Seed,
                      membership_send Send);

  /** Takes the platform's list; it lags, so it only says whom to ask. */
  void setList(std::vector<listed_member> Listed);

  /** Sends what is due. Call it every 100 ms or so. */
  void tick(time_point Now);

  /** Takes a message. @returns OK, or membership_failure. */
  absl::Status receive(std::string_view Payload, time_point Now);

  /** Tells the others that this VM leaves. */
  void leave(time_point Now);

  /** @returns the VMs, one for each name, this one included. */
  std::vector<member> view(time_point Now) const;

  /** @returns a number that rises whenever a state in the view changes, but
      for domains that fall silent. */
  std::uint64_t revision() const { return Table.revision() + ListRevision; }

  /** @returns the failure domains other than this VM's own. */
  std::vector<domain_silence> silences(time_point Now) const;

  /** @returns after how long without a rising heartbeat a VM of the own domain
      is suspected. */
  duration suspicionTime() const;

  /** @returns after how long a domain counts as unheard. */
  duration domainSilenceTime() const;

private:
  duration heartbeatInterval() const;
  duration summaryInterval() const;
  std::size_t countOwnDomain() const;
  bool isOwnDomain(const member_address &Address) const;
  bool isInOwnDomain(const std::string &Address) const;
  bool isHeard(const failure_domain_name &Domain, time_point Now) const;
  void compensateForPause(time_point Now);
  void updateMemberStates(time_point Now);
  void sendHeartbeat(time_point Now);
  void sendSummaries(time_point Now);
  void sendTo(const std::string &Address, membership_message Message);
  void addLeavingMembers(membership_message &Message, time_point Now) const;
  void addOwnEntry(membership_message &Message) const;
  std::vector<domain_summary> summarize(time_point Now) const;
  std::vector<std::string> addressesOf(bool InOwnDomain) const;
  std::string nextTarget(std::vector<std::string> &Queue, bool InOwnDomain);
  void recordSender(const std::string &Address, time_point Now);
  void mergeEntries(const membership_message &Message,
                    membership_message &Reply, time_point Now);
  void compareSummaries(const membership_message &Message,
                        membership_message &Reply, time_point Now);
  void answerRequests(const membership_message &Message,
                      membership_message &Reply) const;
  void forwardDepartures(std::span<const incarnation> Left, time_point Now);
  bool isListed(const vm_name &Name) const;

  const member_address Self;
  const incarnation Incarnation;
  const membership_options Options;
  const membership_send Send;
  member_table Table;
  std::map<vm_name, listed_member> List;
  std::map<failure_domain_name, time_point> LastHeard;
  std::map<failure_domain_name, time_point> LastDomainEntryRequest;
  std::mt19937_64 Random;
  std::vector<std::string> OwnDomainQueue;
  std::vector<std::string> OtherDomainsQueue;
  std::uint64_t Heartbeat = 0;
  std::uint64_t ListRevision = 0;
  std::size_t OwnDomainSize = 1; ///< as of the latest heartbeat
  bool IsLeaving = false;
  time_point LastTick;
  time_point NextHeartbeat;
  time_point NextSummaries;
  time_point NextOwnDomainSummaries;
};

} // namespace sesamepaddle

#endif
