#ifndef SESAMEPADDLE_DOCUMENTS_OWNER_AUTHORITY_H
#define SESAMEPADDLE_DOCUMENTS_OWNER_AUTHORITY_H

#include "absl/status/statusor.h"
#include "sesamepaddle/documents/document_envelope.h"

#include <vector>

namespace sesamepaddle {

/** The owners named by a document, who approve the documents after it. */
struct owner_authority {
  document_number Number = 0; ///< of that document; 0 for the first owners
  std::vector<document_owner> Owners;
};

/** Verifies the chain of handovers in @p Envelope and follows it.
    @param Known  the owners already trusted, or null to trust the first owners
    @returns the owners who must sign the envelope, or the document_failure of
    the first handover that is not older than the envelope or that the owners
    before it did not sign. */
absl::StatusOr<owner_authority>
resolveAuthority(const document_envelope &Envelope,
                 const owner_authority *Known);

/** Verifies an envelope completely: its handovers, its signatures, its text,
    and that the text names the signed service and owners.
    @param Known  the owners already trusted, or null to trust the first owners
    @returns the parsed document, or the document_failure. */
absl::StatusOr<service_document>
verifyEnvelope(const document_envelope &Envelope, const owner_authority *Known);

} // namespace sesamepaddle

#endif
