#ifndef SESAMEPADDLE_DOCUMENTS_DOCUMENT_REPLICATOR_H
#define SESAMEPADDLE_DOCUMENTS_DOCUMENT_REPLICATOR_H

#include "sesamepaddle/core/clock.h"
#include "sesamepaddle/documents/replication_message.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <random>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace sesamepaddle {

/** The VMs that documents are exchanged with. */
struct replication_peers {
  /** Live VMs of the own failure domain but this one, in one order that all
      agree on. */
  std::vector<std::string> OwnDomain;
  /** Live VMs of each other failure domain. */
  std::map<failure_domain_name, std::vector<std::string>> OtherDomains;
  /** Every other failure domain that is known has been heard lately. */
  bool AreAllDomainsHeard = false;
};

/** What a VM can know of changes such as withdrawn keys. */
enum class freshness {
  Fresh,       ///< the platform answered a VM that is heard, a moment ago
  PlatformOut, ///< all domains are heard and none reaches the platform
  CutOff,      ///< a change may have come into force without this VM knowing
};

/** @returns the stable name of @p State, such as "fresh". */
std::string_view freshnessName(freshness State);

/** Intervals of the exchange. */
struct replication_options {
  std::chrono::milliseconds HeartbeatInterval{1'000};
  std::chrono::milliseconds OtherDomainHeartbeatInterval{2'000};
  /** After this without news of the platform a VM is no longer fresh. */
  std::chrono::milliseconds FreshnessTimeout{10'000};
};

/** How documents are put in force and how messages leave. */
struct replication_hooks {
  /** Checks an envelope and puts it in force, unless it is not newer. */
  std::function<absl::Status(const document_envelope &)> Apply;
  /** Sends a payload to a peer address; it may be lost. */
  std::function<void(const std::string &Address, std::string Payload)> Send;
};

/** Brings the newest documents to every VM that can be reached.

    A VM that takes a newer document offers its number to those at the distances
    1, 2, 4, ... in the order of the domain, who ask for the text if they
    lack it and then do the same. Digests that are compared every second mend
    what was lost. Numbers only rise. Not thread-safe.
*/
class document_replicator {
public:
  /** @param Self  this VM's peer address */
  document_replicator(std::string Self, replication_options Options,
                      replication_hooks Hooks, std::uint64_t Seed);

  /** Replaces the VMs to exchange with. */
  void setPeers(replication_peers Peers);

  /** @returns the revision after which the platform is asked for rows. */
  std::uint64_t listAfter() const { return ListAfter; }

  /** Takes the platform's makeReply to a read of listAfter().
      @param Rows      serialized envelopes
      @param Revision  the table's revision that the makeReply shows
      @param Sent      when the read was sent */
  void takeListing(std::span<const std::string> Rows, std::uint64_t Revision,
                   time_point Sent, time_point Now);

  /** Sends what is due. Call it every 100 ms or so. */
  void tick(time_point Now);

  /** Takes a message. @returns OK, or document_failure::MalformedMessage. */
  absl::Status receive(std::string_view Payload, time_point Now);

  /** @returns what this VM can know at @p Now. */
  freshness freshnessAt(time_point Now) const;

  /** @returns until when this VM is fresh if nothing more comes in. */
  time_point freshUntil() const;

  /** @returns the number of the newest document of @p Service, or 0. */
  document_number numberOf(const service_name &Service) const;

private:
  struct stored_document {
    document_number Number = 0;
    std::string Envelope;
  };

  bool applyIfNewer(const document_envelope &Envelope, std::string_view Row);
  void updateFreshness(const replication_message &Message, time_point Now);
  void recordPlatformAnswer(time_point Since);
  std::vector<service_document_number>
  applyNewerDocuments(std::span<const std::string> Rows);
  replication_message makeReply(const replication_message &Message) const;
  void sendHeartbeat(const std::string &Address, time_point Now) const;
  void offerToOwnDomain(const std::vector<service_document_number> &News,
                        time_point Now);
  void offerToOtherDomains(const std::vector<service_document_number> &News,
                           time_point Now);
  void sendTo(const std::string &Address, replication_message Message,
              time_point Now) const;
  std::vector<service_document_number> allNumbers() const;
  std::uint64_t digest() const;
  const std::string &pickRandom(const std::vector<std::string> &Addresses);

  const std::string Self;
  const replication_options Options;
  const replication_hooks Hooks;
  replication_peers Peers;
  std::map<service_name, stored_document> Newest;
  std::mt19937_64 Random;
  const std::uint64_t TokenBase; ///< so that no earlier process's token fits
  std::uint64_t ListAfter = 0;
  std::uint64_t SeenRevision = 0;
  bool HasPlatformAnswer = false;
  time_point
      PlatformAnswerTime; ///< when the newest read that was answered began
  time_point NextHeartbeat;
  time_point NextOtherDomainHeartbeat;
};

} // namespace sesamepaddle

#endif
