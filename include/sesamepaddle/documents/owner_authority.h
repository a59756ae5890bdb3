#ifndef SESAMEPADDLE_DOCUMENTS_OWNER_AUTHORITY_H
#define SESAMEPADDLE_DOCUMENTS_OWNER_AUTHORITY_H

#include "absl/status/statusor.h"
#include "sesamepaddle/documents/document_envelope.h"

#include <vector>

namespace sesamepaddle {

/** The owners in force since a document; they decide on the next one. */
struct owner_authority {
  document_number Number = 0;
  std::vector<document_owner> Owners;
};

/** Follows the handovers of @p Envelope.
    @param Known  what is trusted already, or null to trust the first owners
    @returns the owners who decide on the envelope, or the document_failure of
    a handover that the owners before it did not sign. */
absl::StatusOr<owner_authority>
resolveAuthority(const document_envelope &Envelope,
                 const owner_authority *Known);

/** Checks an envelope whole: its handovers, its signatures, its text, and that
    the text names the service and the owners that were signed.
    @returns the document, or the document_failure. */
absl::StatusOr<service_document>
verifyEnvelope(const document_envelope &Envelope, const owner_authority *Known);

} // namespace sesamepaddle

#endif
