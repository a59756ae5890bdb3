#ifndef SESAMEPADDLE_DOCUMENTS_DOCUMENT_ENVELOPE_H
#define SESAMEPADDLE_DOCUMENTS_DOCUMENT_ENVELOPE_H

#include "absl/status/statusor.h"
#include "sesamepaddle/core/identifiers.h"
#include "sesamepaddle/documents/service_document.h"

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace sesamepaddle {

/** Sequence number of a service's documents. The first document is 1 and each
    successor adds 1. */
using document_number = std::uint64_t;

/** One owner's Ed25519 signature of a document. */
struct document_signature {
  owner_name Owner;
  std::string Signature; ///< 64 bytes
};

/** Proof of the owners that an earlier document lists, without its text. Exists
    for the first document and for each that changed the owners. */
struct owner_handover {
  document_number Number = 0;
  std::string TextHash;                       ///< SHA-256, 32 bytes
  std::vector<document_owner> Owners;         ///< listed in that document
  std::vector<document_signature> Signatures; ///< by the owners before them, or
                                              ///< the first owners themselves
};

/** A document's text with its number and the signatures of its owners.

    A signature covers the service, the number, the hash of the text and the
    owners that the text names. It can therefore neither be reused for another
    text nor restore an older document. The handovers form a chain from the
    first owners to those who sign this document. With it, a VM that knows the
    owners of any earlier document, or none, can verify the signatures without
    the documents in between.

    A document is in force once VMs enforce its text.
*/
struct document_envelope {
  service_name Service;
  document_number Number = 0;
  std::string Text;
  std::vector<document_owner> Owners; ///< as listed in the text
  std::vector<document_signature> Signatures;
  std::vector<owner_handover> Handovers; ///< by ascending number

  /** @returns the bytes that an owner signs. */
  std::string signedMessage() const;

  /** Verifies and adds the signature of @p Owner.
      @param Approvers  the owners who may sign this document
      @returns OK, or document_failure UnknownOwner, BadSignature or
      AlreadySigned. */
  absl::Status addSignature(std::span<const document_owner> Approvers,
                            const owner_name &Owner, std::string Signature);

  /** @returns OK when RequiredSignatures different owners of @p Approvers have
      signed this content and there is no other signature, neither invalid
      nor by anyone else. Otherwise the document_failure. */
  absl::Status checkSignatures(std::span<const document_owner> Approvers) const;

  /** @returns the envelope as JSON, as it is stored in a row of the platform.
      @see parseEnvelope() */
  std::string serialize() const;
};

/** Makes the unsigned envelope that follows @p InForce.
    @param InForce  the document in force, or null for the service's first
    @param Document  the parsed @p Text */
document_envelope makeSuccessor(const document_envelope *InForce,
                                const service_document &Document,
                                std::string Text);

/** Number of different owners who must sign a document. With two, no owner can
    change a document alone. */
constexpr std::size_t RequiredSignatures = 2;

/** @returns the envelope serialized in @p Row, or
    document_failure::InvalidEnvelope. Signatures are not checked. */
absl::StatusOr<document_envelope> parseEnvelope(std::string_view Row);

/** @returns the key of the platform's row with the document in force. */
std::string documentRowKey(const service_name &Service);

/** @returns the key of the platform's row with the proposed document, which
    still collects signatures. */
std::string proposalRowKey(const service_name &Service);

/** Common prefix of the keys of all rows with documents in force. */
constexpr std::string_view DocumentRowPrefix = "document/";

} // namespace sesamepaddle

#endif
