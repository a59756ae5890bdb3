#ifndef SESAMEPADDLE_DOCUMENTS_SIGNATURE_CHECK_H
#define SESAMEPADDLE_DOCUMENTS_SIGNATURE_CHECK_H

#include "sesamepaddle/documents/document_envelope.h"

#include <span>
#include <string>
#include <string_view>

namespace sesamepaddle {

/** @returns the bytes that an owner signs.
    @param TextHash  SHA-256 of the document's text, 32 bytes
    @param Owners    the owners that the text names */
std::string makeSignedMessage(const service_name &Service,
                              document_number Number, std::string_view TextHash,
                              std::span<const document_owner> Owners);

/** @returns OK when RequiredSignatures different owners of @p Approvers signed
    @p Message and there is no other signature, neither invalid nor by anyone
    else. Otherwise the document_failure. */
absl::Status checkSignatures(std::span<const document_signature> Signatures,
                             std::string_view Message,
                             std::span<const document_owner> Approvers);

} // namespace sesamepaddle

#endif
