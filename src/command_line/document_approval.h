#ifndef SESAMEPADDLE_COMMAND_LINE_DOCUMENT_APPROVAL_H
#define SESAMEPADDLE_COMMAND_LINE_DOCUMENT_APPROVAL_H

#include "sesamepaddle/documents/documents.h"
#include "sesamepaddle/platform/platform_client.h"

#include <optional>
#include <string>

namespace sesamepaddle {

/** The table rows of one service. They are read one after the other, so writes
    must be conditional on the versions of both. */
struct service_rows {
  std::optional<table_row> InForce;  ///< the signed document that VMs use
  std::optional<table_row> Proposal; ///< a document that awaits a signature
};

/** The owner who signs, and the private key to sign with. */
struct owner_credentials {
  owner_name Owner;
  std::string PrivateKeyPem;
};

/** Identifies a document that was proposed or came into force. */
struct approved_document {
  service_name Service;
  document_number Number = 0;
  std::string Hash; ///< SHA-256 of the text in hexadecimal digits
};

/** Reads both rows of @p Service from the platform. */
awaitable<absl::StatusOr<service_rows>> readRows(platform_client Platform,
                                                 service_name Service);

/** @returns the number of the document in force, or 0 if there is none yet. */
absl::StatusOr<document_number> numberInForce(const service_rows &Rows);

/** Signs a document as one owner and stores it as the proposal for another
    owner to sign. The same proposal by the same owner again succeeds
    without a change while it is open.
    @param Replaces  the hash of an open proposal to replace, or empty
    @returns the document, or a failure such as document_failure::ProposalOpen
    or platform_failure::Conflict. */
awaitable<absl::StatusOr<approved_document>>
proposeDocument(platform_client Platform, service_document Document,
                std::string Text, owner_credentials Credentials,
                std::string Replaces);

/** Adds a second owner's signature to the proposal and puts it in force.
    Succeeds without a change when the document with hash @p Hash is in force
    already and signed by this owner.
    @param Hash  the required hash of the proposal, or empty for any
    @returns the document or the failure. */
awaitable<absl::StatusOr<approved_document>>
signProposal(platform_client Platform, service_name Service,
             owner_credentials Credentials, std::string Hash);

} // namespace sesamepaddle

#endif
