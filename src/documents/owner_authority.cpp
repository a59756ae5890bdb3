#include "sesamepaddle/documents/owner_authority.h"

#include "documents/signature_check.h"
#include "sesamepaddle/documents/failures.h"

#include "absl/strings/str_cat.h"

namespace sesamepaddle {

namespace {

absl::Status checkHandover(const document_envelope &Envelope,
                           const owner_handover &Handover,
                           const owner_authority &Previous) {
  if (Handover.Number >= Envelope.Number)
    return makeFailure(document_failure::InvalidEnvelope,
                       "a handover is not older than the document");
  return checkSignatures(Handover.Signatures,
                         makeSignedMessage(Envelope.Service, Handover.Number,
                                           Handover.TextHash, Handover.Owners),
                         Previous.Owners);
}

/** @returns the owners of the service's first document, who approve it
    themselves. A VM that knows no owners yet has to trust the platform or the
    peer that sent the document. */
owner_authority firstAuthority(const document_envelope &Envelope) {
  return {0, Envelope.Handovers.empty() ? Envelope.Owners
                                        : Envelope.Handovers.front().Owners};
}

} // namespace

absl::StatusOr<owner_authority>
resolveAuthority(const document_envelope &Envelope,
                 const owner_authority *Known) {
  owner_authority Authority =
      Known == nullptr ? firstAuthority(Envelope) : *Known;
  for (const auto &Handover : Envelope.Handovers) {
    if (Handover.Number <= Authority.Number)
      continue;
    const auto Status = checkHandover(Envelope, Handover, Authority);
    if (!Status.ok())
      return Status;
    Authority = {Handover.Number, Handover.Owners};
  }
  return Authority;
}

absl::StatusOr<service_document>
verifyEnvelope(const document_envelope &Envelope,
               const owner_authority *Known) {
  const auto Authority = resolveAuthority(Envelope, Known);
  if (!Authority.ok())
    return Authority.status();
  if (auto Status = Envelope.checkSignatures(Authority->Owners); !Status.ok())
    return Status;
  yaml_errors Errors;
  auto Document =
      parseServiceDocument(Envelope.Text, Envelope.Service.view(), Errors);
  if (!Document)
    return makeFailure(document_failure::InvalidText,
                       Errors.front().describe());
  if (Document->Service != Envelope.Service ||
      Document->Owners != Envelope.Owners)
    return makeFailure(document_failure::InvalidEnvelope,
                       "the text names another service or other owners");
  return *std::move(Document);
}

} // namespace sesamepaddle
