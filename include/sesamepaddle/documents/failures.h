#ifndef SESAMEPADDLE_DOCUMENTS_FAILURES_H
#define SESAMEPADDLE_DOCUMENTS_FAILURES_H

#include "sesamepaddle/core/failure.h"

namespace sesamepaddle {

/** Reasons for which a document, a signature, a proposal or a message is
    rejected. */
enum class document_failure {
  InvalidText,      ///< the YAML text has errors
  InvalidEnvelope,  ///< malformed or inconsistent envelope
  InvalidKey,       ///< not an Ed25519 key
  UnknownOwner,     ///< the signer is not an owner
  BadSignature,     ///< the signature does not match the content
  TooFewSignatures, ///< fewer than two different owners signed
  AlreadySigned,    ///< this owner has already signed
  StaleVersion,     ///< a newer document is in force
  NoProposal,       ///< there is no proposal to sign
  ProposalOpen,     ///< another open proposal would be overwritten
  MalformedMessage, ///< not a valid replication message
};

template <> struct failure_traits<document_failure> {
  static constexpr std::string_view Domain = "documents";
  static std::string_view name(document_failure Kind);
  static absl::StatusCode code(document_failure Kind);
};

} // namespace sesamepaddle

#endif
