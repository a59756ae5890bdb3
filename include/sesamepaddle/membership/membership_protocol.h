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

/** Sends a payload to the VM at a peer address. Delivery is best effort. */
using membership_send =
    std::function<void(const std::string &Address, std::string Payload)>;

/** Times of the protocol. Intervals per VM or per domain are multiplied by the
    number of VMs or domains, which bounds the bytes sent per second as a
    failure domain or the fleet grows; the Min intervals are their lower
    bounds. */
struct membership_options {
  std::chrono::milliseconds MinHeartbeatInterval{300};
  std::chrono::milliseconds HeartbeatIntervalPerVm{30};
  std::chrono::milliseconds MinSummaryInterval{1'000};
  std::chrono::milliseconds SummaryIntervalPerDomain{200};
  /** How long heartbeats and summaries repeat the departure of a VM, since
      single messages can be lost. */
  std::chrono::milliseconds LeaveAnnouncementTime{30'000};
  /** A VM is removed when it has been Leaving for this long, or Suspected for
      this long without being in the platform's list. */
  std::chrono::milliseconds ForgetTime{600'000};
};

/** A VM in the platform's list, which lags behind reality. */
struct listed_member {
  member_address Address;
  bool IsLeaving = false;
};

/** How long ago a failure domain last sent a message to this VM, or to a VM
    that has reported it to this one. */
struct domain_silence {
  failure_domain_name FailureDomain;
  duration Age{};       ///< time since the clock's epoch if never heard
  bool IsHeard = false; ///< Age is below domainSilenceTime()
};

/** The gossip protocol of the module: heartbeats within a failure domain,
    summaries between domains.

    In each heartbeat round a VM sends the live entries of its own failure
    domain to one other VM of it, going through all of them in random order.
    Between domains VMs exchange digests, and send entries only where the
    digests differ; a VM therefore does not follow the heartbeats of VMs in
    other domains. Not thread-safe.
*/
class membership_protocol {
public:
  /** @p Seed sets the random order in which VMs are contacted. */
  membership_protocol(member_address Self, incarnation Incarnation,
                      membership_options Options, std::uint64_t Seed,
                      membership_send Send);

  /** Replaces the platform's list. Because it lags, it makes no VM live: a VM
      that is not known from messages is shown as Leaving if it is listed as
      such, and otherwise contacted and shown as Unheard. */
  void setList(std::vector<listed_member> Listed);

  /** Sends the messages that are due. Call it about every 100 ms. */
  void tick(time_point Now);

  /** Processes a message and sends a reply if one is needed.
      @returns OK, or membership_failure::MalformedMessage. */
  absl::Status receive(std::string_view Payload, time_point Now);

  /** Announces to other VMs that this VM leaves. Later calls do nothing. */
  void leave(time_point Now);

  /** @returns one member per VM name, this VM included. */
  std::vector<member> view(time_point Now) const;

  /** @returns a number that rises when a state in the view may have changed. It
      does not rise when a domain falls silent or is heard again, which changes
      the view as well. */
  std::uint64_t revision() const { return Table.revision() + ListRevision; }

  /** @returns how long each known failure domain but this VM's own has been
      silent. */
  std::vector<domain_silence> silences(time_point Now) const;

  /** @returns the time without a rising heartbeat after which a VM of the own
      failure domain is suspected. */
  duration suspicionTime() const;

  /** @returns the time without messages after which another failure domain is
      silent, and its VMs are suspected. */
  duration domainSilenceTime() const;

private:
  duration heartbeatInterval() const;
  duration summaryInterval() const;
  /** @returns the number of known incarnations of the own domain that have not
      left, suspected ones included. */
  std::size_t countOwnDomain() const;
  bool isOwnDomain(const member_address &Address) const;
  /** @returns true when a known VM of the own domain has this peer address. */
  bool isInOwnDomain(const std::string &Address) const;
  /** @returns true for the own domain and for those that are not silent. */
  bool isHeard(const failure_domain_name &Domain, time_point Now) const;
  /** Detects a pause of this process and excludes it from all silences. */
  void compensateForPause(time_point Now);
  /** Suspects VMs of the own domain without recent heartbeats, and removes VMs
      whose ForgetTime has passed. */
  void updateMemberStates(time_point Now);
  /** Raises the own heartbeat, unless this VM is leaving, and sends the live
      entries of the own domain to the next VM of it. */
  void sendHeartbeat(time_point Now);
  /** Sends summaries of all domains to the next VM of another domain. */
  void sendSummaries(time_point Now);
  void sendTo(const std::string &Address, membership_message Message);
  /** Adds the VMs that left within LeaveAnnouncementTime. */
  void addLeavingMembers(membership_message &Message, time_point Now) const;
  void addOwnEntry(membership_message &Message) const;
  std::vector<domain_summary> summarize(time_point Now) const;
  /** @returns the peer addresses of all known or listed VMs that have not left,
      either those of the own domain or those of all others. */
  std::vector<std::string> addressesOf(bool InOwnDomain) const;
  /** Takes the next address from @p Queue, which it refills when empty.
      @returns the address, or an empty string when there is no other VM. */
  std::string nextTarget(std::vector<std::string> &Queue, bool InOwnDomain);
  /** Sets LastHeard for the sender's domain, if it is another one. */
  void recordSender(const std::string &Address, time_point Now);
  /** Merges the entries, requests descriptions of unknown incarnations, and
      forwards departures that another domain reports. */
  void mergeEntries(const membership_message &Message,
                    membership_message &Reply, time_point Now);
  /** Updates LastHeard from the reported ages. Where digests differ, adds the
      own entries of the domain to @p Reply and requests those of the sender. */
  void compareSummaries(const membership_message &Message,
                        membership_message &Reply, time_point Now);
  void answerRequests(const membership_message &Message,
                      membership_message &Reply) const;
  void forwardDepartures(std::span<const incarnation> Left, time_point Now);
  /** @returns true when the platform lists the VM and not as leaving. */
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
  // Peer addresses still to be contacted in the current pass, see nextTarget().
  std::vector<std::string> OwnDomainQueue;
  std::vector<std::string> OtherDomainsQueue;
  std::uint64_t Heartbeat = 0;
  std::uint64_t ListRevision = 0;
  std::size_t OwnDomainSize = 1; ///< countOwnDomain() at the last heartbeat
  bool IsLeaving = false;
  time_point LastTick; ///< last call of tick() or receive()
  time_point NextHeartbeat;
  time_point NextSummaries; ///< when to send summaries to another domain
  time_point NextOwnDomainSummaries; ///< when to add summaries to a heartbeat
};

} // namespace sesamepaddle

#endif
