#include "sesamepaddle/documents/document_envelope.h"

#include "documents/signature_check.h"
#include "sesamepaddle/core/text.h"
#include "sesamepaddle/documents/failures.h"
#include "sesamepaddle/documents/signing.h"

#include "absl/strings/escaping.h"
#include "absl/strings/str_cat.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <set>

namespace sesamepaddle {

namespace {

using json = nlohmann::json;

const document_owner *findOwner(std::span<const document_owner> Owners,
                                const owner_name &Name) {
  const auto Found = std::ranges::find(Owners, Name, &document_owner::Name);
  return Found == Owners.end() ? nullptr : &*Found;
}

absl::Status checkSignature(std::span<const document_owner> Owners,
                            const owner_name &Name, std::string_view Message,
                            std::string_view Signature) {
  const document_owner *Owner = findOwner(Owners, Name);
  if (Owner == nullptr)
    return makeFailure(document_failure::UnknownOwner,
                       absl::StrCat("'", Name.str(),
                                    "' is not one of the owners who may sign"));
  if (!isValidSignature(Owner->PublicKey, Message, Signature))
    return makeFailure(document_failure::BadSignature,
                       absl::StrCat("the signature of '", Name.str(),
                                    "' does not match this content"));
  return absl::OkStatus();
}

json ownersToJson(const std::vector<document_owner> &Owners) {
  json List = json::array();
  for (const auto &[Name, PublicKey] : Owners)
    List.push_back(
        {{"name", Name.str()}, {"public_key", absl::Base64Escape(PublicKey)}});
  return List;
}

json signaturesToJson(const std::vector<document_signature> &Signatures) {
  json List = json::array();
  for (const auto &[Owner, Signature] : Signatures)
    List.push_back(
        {{"owner", Owner.str()}, {"signature", absl::Base64Escape(Signature)}});
  return List;
}

// Invalid base64 becomes an empty string, which fails every signature check.
std::string decodeBase64(const std::string &Encoded) {
  std::string Bytes;
  absl::Base64Unescape(Encoded, &Bytes);
  return Bytes;
}

std::vector<document_owner> readOwners(const json &List) {
  std::vector<document_owner> Owners;
  for (const auto &Entry : List)
    Owners.push_back(
        {owner_name(Entry.at("name")), decodeBase64(Entry.at("public_key"))});
  return Owners;
}

std::vector<document_signature> readSignatures(const json &List) {
  std::vector<document_signature> Signatures;
  for (const auto &Entry : List)
    Signatures.push_back(
        {owner_name(Entry.at("owner")), decodeBase64(Entry.at("signature"))});
  return Signatures;
}

owner_handover readHandover(const json &Entry) {
  const std::string Hash = Entry.at("text_hash");
  return {Entry.at("number"), absl::HexStringToBytes(Hash),
          readOwners(Entry.at("owners")),
          readSignatures(Entry.at("signatures"))};
}

} // namespace

std::string makeSignedMessage(const service_name &Service,
                              document_number Number, std::string_view TextHash,
                              std::span<const document_owner> Owners) {
  std::string Message = absl::StrCat("sesamepaddle document 2\n", Service.str(),
                                     "\n", Number, "\n", toHex(TextHash), "\n");
  for (const auto &Owner : Owners)
    absl::StrAppend(&Message, toHex(Owner.PublicKey), " ", Owner.Name.str(),
                    "\n");
  return Message;
}

absl::Status checkSignatures(std::span<const document_signature> Signatures,
                             std::string_view Message,
                             std::span<const document_owner> Approvers) {
  std::set<std::string> Keys;
  for (const auto &[Name, Signature] : Signatures) {
    const absl::Status Status =
        checkSignature(Approvers, Name, Message, Signature);
    if (!Status.ok())
      return Status;
    // Counted by key: two names with the same key are the same person.
    Keys.insert(findOwner(Approvers, Name)->PublicKey);
  }
  if (Keys.size() < RequiredSignatures)
    return makeFailure(document_failure::TooFewSignatures,
                       absl::StrCat("signed by ", Keys.size(), " of ",
                                    RequiredSignatures, " required owners"));
  return absl::OkStatus();
}

std::string document_envelope::signedMessage() const {
  return makeSignedMessage(Service, Number, sha256(Text), Owners);
}

absl::Status
document_envelope::addSignature(std::span<const document_owner> Approvers,
                                const owner_name &Owner,
                                std::string Signature) {
  // Compared by key, as in checkSignatures(): a second name for the same key
  // adds no signature.
  const document_owner *Signer = findOwner(Approvers, Owner);
  for (const auto &Present : Signatures) {
    const document_owner *Earlier = findOwner(Approvers, Present.Owner);
    if (Present.Owner == Owner || (Signer != nullptr && Earlier != nullptr &&
                                   Signer->PublicKey == Earlier->PublicKey))
      return makeFailure(
          document_failure::AlreadySigned,
          absl::StrCat("'", Owner.str(), "' has already signed"));
  }
  const absl::Status Status =
      checkSignature(Approvers, Owner, signedMessage(), Signature);
  if (Status.ok())
    Signatures.push_back({Owner, std::move(Signature)});
  return Status;
}

absl::Status document_envelope::checkSignatures(
    std::span<const document_owner> Approvers) const {
  return sesamepaddle::checkSignatures(Signatures, signedMessage(), Approvers);
}

std::string document_envelope::serialize() const {
  json List = json::array();
  for (const auto &Handover : Handovers)
    List.push_back({{"number", Handover.Number},
                    {"text_hash", toHex(Handover.TextHash)},
                    {"owners", ownersToJson(Handover.Owners)},
                    {"signatures", signaturesToJson(Handover.Signatures)}});
  return json({{"service", Service.str()},
               {"number", Number},
               {"text", Text},
               {"owners", ownersToJson(Owners)},
               {"signatures", signaturesToJson(Signatures)},
               {"handovers", List}})
      .dump();
}

document_envelope makeSuccessor(const document_envelope *InForce,
                                const service_document &Document,
                                std::string Text) {
  document_envelope Next;
  Next.Service = Document.Service;
  Next.Number = 1;
  Next.Text = std::move(Text);
  Next.Owners = Document.Owners;
  if (InForce == nullptr)
    return Next;
  Next.Number = InForce->Number + 1;
  Next.Handovers = InForce->Handovers;
  // Only the first document and those that changed the owners need a handover.
  const bool NeedsHandover =
      Next.Handovers.empty() || Next.Handovers.back().Owners != InForce->Owners;
  if (NeedsHandover)
    Next.Handovers.push_back({InForce->Number, sha256(InForce->Text),
                              InForce->Owners, InForce->Signatures});
  return Next;
}

absl::StatusOr<document_envelope> parseEnvelope(std::string_view Row) {
  try {
    const json Parsed = json::parse(Row);
    document_envelope Envelope;
    Envelope.Service = service_name(Parsed.at("service"));
    Envelope.Number = Parsed.at("number");
    Envelope.Text = Parsed.at("text");
    Envelope.Owners = readOwners(Parsed.at("owners"));
    Envelope.Signatures = readSignatures(Parsed.at("signatures"));
    for (const auto &Entry : Parsed.at("handovers"))
      Envelope.Handovers.push_back(readHandover(Entry));
    return Envelope;
  } catch (const json::exception &Error) {
    return makeFailure(document_failure::InvalidEnvelope, Error.what());
  }
}

std::string documentRowKey(const service_name &Service) {
  return absl::StrCat(toAbsl(DocumentRowPrefix), Service.str());
}

std::string proposalRowKey(const service_name &Service) {
  return absl::StrCat("proposal/", Service.str());
}

} // namespace sesamepaddle
