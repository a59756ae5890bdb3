#include "sesamepaddle/documents/failures.h"

namespace sesamepaddle {

std::string_view failure_traits<document_failure>::name(document_failure Kind) {
  switch (Kind) {
  case document_failure::InvalidText:
    return "invalid-text";
  case document_failure::InvalidEnvelope:
    return "invalid-envelope";
  case document_failure::InvalidKey:
    return "invalid-key";
  case document_failure::UnknownOwner:
    return "unknown-owner";
  case document_failure::BadSignature:
    return "bad-signature";
  case document_failure::TooFewSignatures:
    return "too-few-signatures";
  case document_failure::AlreadySigned:
    return "already-signed";
  case document_failure::StaleVersion:
    return "stale-version";
  case document_failure::NoProposal:
    return "no-proposal";
  case document_failure::ProposalOpen:
    return "proposal-open";
  case document_failure::MalformedMessage:
    return "malformed-message";
  }
  return "unknown";
}

absl::StatusCode failure_traits<document_failure>::code(document_failure Kind) {
  switch (Kind) {
  case document_failure::InvalidText:
  case document_failure::InvalidEnvelope:
  case document_failure::InvalidKey:
  case document_failure::MalformedMessage:
    return absl::StatusCode::kInvalidArgument;
  case document_failure::UnknownOwner:
  case document_failure::BadSignature:
  case document_failure::TooFewSignatures:
    return absl::StatusCode::kPermissionDenied;
  case document_failure::AlreadySigned:
    return absl::StatusCode::kAlreadyExists;
  case document_failure::StaleVersion:
  case document_failure::ProposalOpen:
    return absl::StatusCode::kAborted;
  case document_failure::NoProposal:
    return absl::StatusCode::kNotFound;
  }
  return absl::StatusCode::kUnknown;
}

} // namespace sesamepaddle
