#ifndef SESAMEPADDLE_DOCUMENTS_REPLICATION_MESSAGE_H
#define SESAMEPADDLE_DOCUMENTS_REPLICATION_MESSAGE_H

#include "absl/status/statusor.h"
#include "sesamepaddle/documents/document_envelope.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace sesamepaddle {

/** Which document of a service a VM has. */
struct service_document_number {
  service_name Service;
  document_number Number = 0;

  friend auto operator<=>(const service_document_number &,
                          const service_document_number &) = default;
};

/** A message between VMs about documents; every part may be empty. */
struct replication_message {
  std::string SenderAddress; ///< the sender's peer address
  std::uint64_t Token = 0;   ///< of a heartbeat; its answer gives it back
  std::uint64_t Echo = 0;    ///< the token that is answered, or 0
  /** Since the newest answer of the platform that the sender knows of. */
  std::uint64_t PlatformAnswerAgeMilliseconds = 0;
  std::uint64_t Digest = 0; ///< of all numbers of the sender
  std::vector<service_document_number> Offered; ///< what the sender has
  std::vector<service_name> Wanted;             ///< what the sender asks for
  std::vector<std::string> Documents;           ///< serialized envelopes

  friend bool operator==(const replication_message &,
                         const replication_message &) = default;

  /** @returns the message as msgpack. */
  std::string serialize() const;
};

/** @returns the message in @p Payload, or document_failure::MalformedMessage.
 */
absl::StatusOr<replication_message>
parseReplicationMessage(std::string_view Payload);

} // namespace sesamepaddle

#endif
