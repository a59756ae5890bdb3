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

/** The peer addresses of the VMs to replicate documents with. */
struct replication_peers {
  /** Live VMs of this VM's failure domain, without this VM. setPeers() sorts
      them, so that all VMs of the domain use the same order. */
  std::vector<std::string> OwnDomain;
  /** Live VMs of each other failure domain. */
  std::map<failure_domain_name, std::vector<std::string>> OtherDomains;
  /** Whether every other known failure domain has been heard from recently. */
  bool AreAllDomainsHeard = false;
};

/** Whether a VM can rely on having the newest documents, and with them changes
    such as revoked keys. */
enum class freshness {
  /** Within the freshness timeout the platform answered this VM, or a peer that
      holds the same documents. */
  Fresh,
  /** Not fresh, but all failure domains are heard from and none of them reaches
      the platform, so that no change can have been stored meanwhile. */
  PlatformOut,
  /** Neither: a change may be in force elsewhere without this VM knowing. */
  CutOff,
};

/** @returns the name of @p State as it appears outside the process, such as
    "fresh". */
std::string_view freshnessName(freshness State);

/** Intervals and timeouts of replication. */
struct replication_options {
  /** Time between heartbeats to a random VM of the same failure domain. */
  std::chrono::milliseconds HeartbeatInterval{1'000};
  /** Time between heartbeats to a random VM of a random other failure domain.
   */
  std::chrono::milliseconds OtherDomainHeartbeatInterval{2'000};
  /** A VM stops being fresh this long after the start of the latest answered
      read of the platform that it knows of. */
  std::chrono::milliseconds FreshnessTimeout{10'000};
};

/** Callbacks that apply documents and send messages. */
struct replication_hooks {
  /** Verifies an envelope and puts it in force. Fails when it is invalid or not
      newer than the document in force. */
  std::function<absl::Status(const document_envelope &)> Apply;
  /** Sends a payload to a peer address. The payload may be lost. */
  std::function<void(const std::string &Address, std::string Payload)> Send;
};

/** Replicates the newest document of each service to all reachable VMs.

    A VM that applies a newer document offers its number to the VMs at distances
    1, 2, 4, ... in the sorted order of its failure domain. A VM that lacks the
    document requests it, applies it and offers it in the same way. A document
    that comes from the platform is also offered to one VM of each other failure
    domain. Heartbeats compare digests every second and so repair lost messages.
    Document numbers never decrease. Not thread-safe.
*/
class document_replicator {
public:
  /** @param Self  this VM's peer address
      @param Seed  seeds the random choice of peers and of TokenBase */
  document_replicator(std::string Self, replication_options Options,
                      replication_hooks Hooks, std::uint64_t Seed);

  /** Replaces the VMs to replicate with. */
  void setPeers(replication_peers Peers);

  /** @returns the table revision for the next read of the platform, which
      lists the rows changed after it; 0 lists all rows. */
  std::uint64_t listAfter() const { return ListAfter; }

  /** Applies the platform's answer to a read of the rows after listAfter().
      @param Rows      serialized envelopes
      @param Revision  the table's revision at which the answer was read
      @param Sent      when the read was sent */
  void takeListing(std::span<const std::string> Rows, std::uint64_t Revision,
                   time_point Sent, time_point Now);

  /** Sends the heartbeats that are due. To be called about every 100 ms. */
  void tick(time_point Now);

  /** Processes a message and sends the reply to it, if there is one.
      @returns OK, or document_failure::MalformedMessage. */
  absl::Status receive(std::string_view Payload, time_point Now);

  /** @returns whether this VM can rely on its documents at @p Now. */
  freshness freshnessAt(time_point Now) const;

  /** @returns when this VM stops being fresh unless it learns of a later answer
      of the platform. */
  time_point freshUntil() const;

  /** @returns the number of the newest document of @p Service that this VM
      holds, or 0. */
  document_number numberOf(const service_name &Service) const;

private:
  struct stored_document {
    document_number Number = 0;
    std::string Envelope; ///< serialized
  };

  bool applyIfNewer(const document_envelope &Envelope, std::string_view Row);
  void updateFreshness(const replication_message &Message, time_point Now);
  void recordPlatformAnswer(time_point Since);
  std::vector<service_document_number>
  applyNewerDocuments(std::span<const std::string> Rows);
  replication_message makeReply(const replication_message &Message) const;
  void sendHeartbeat(const std::string &Address, time_point Now) const;
  void
  offerToOwnDomain(const std::vector<service_document_number> &NewDocuments,
                   time_point Now);
  void
  offerToOtherDomains(const std::vector<service_document_number> &NewDocuments,
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
  /** Added to the time of a heartbeat to form its token. Random for each
      process, so that replies to an earlier process are ignored. Below 2^63, so
      that the sum does not overflow. */
  const std::uint64_t TokenBase;
  std::uint64_t ListAfter = 0;
  std::uint64_t SeenRevision = 0; ///< highest revision in any answer
  bool HasPlatformAnswer = false;
  /** Start of the latest read that the platform answered, here or at a peer. */
  time_point PlatformAnswerTime;
  time_point NextHeartbeat;
  time_point NextOtherDomainHeartbeat;
};

} // namespace sesamepaddle

#endif
