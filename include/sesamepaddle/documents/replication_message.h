#ifndef SESAMEPADDLE_DOCUMENTS_REPLICATION_MESSAGE_H
#define SESAMEPADDLE_DOCUMENTS_REPLICATION_MESSAGE_H

#include "absl/status/statusor.h"
#include "sesamepaddle/documents/document_envelope.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace sesamepaddle {

/** A service and the number of the newest document that a VM holds for it. */
struct service_document_number {
  service_name Service;
  document_number Number = 0;

  friend auto operator<=>(const service_document_number &,
                          const service_document_number &) = default;
};

/** A message between VMs that replicates documents. A heartbeat carries a
    token, its reply echoes the token; offers, requests and documents may be in
    any message. Every list may be empty. */
struct replication_message {
  std::string SenderAddress; ///< the sender's peer address
  std::uint64_t Token = 0;   ///< nonzero in a heartbeat, to request a reply
  std::uint64_t Echo = 0;    ///< the token of the heartbeat replied to, or 0
  /** Time since the latest read of the platform that the sender knows to have
      been answered; the largest value when it knows of none. */
  std::uint64_t PlatformAnswerAgeMilliseconds = 0;
  std::uint64_t Digest = 0; ///< hash of all document numbers of the sender
  /** Documents that the sender holds. */
  std::vector<service_document_number> Offered;
  std::vector<service_name> Wanted;   ///< services whose documents it asks for
  std::vector<std::string> Documents; ///< serialized envelopes

  friend bool operator==(const replication_message &,
                         const replication_message &) = default;

  /** @returns the message as a msgpack array.
      @see parseReplicationMessage() */
  std::string serialize() const;
};

/** @returns the message in @p Payload, or document_failure::MalformedMessage.
 */
absl::StatusOr<replication_message>
parseReplicationMessage(std::string_view Payload);

} // namespace sesamepaddle

#endif
