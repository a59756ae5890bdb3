#include "command_line/document_approval.h"

#include "sesamepaddle/platform/failures.h"

#include "absl/strings/str_cat.h"

#include <algorithm>
#include <chrono>
#include <random>
#include <utility>

namespace sesamepaddle {

namespace {

/** @returns the version to require in a write condition on @p Row; AbsentRow
    without a row. */
table_revision versionOf(const std::optional<table_row> &Row) {
  return Row ? Row->Version : AbsentRow;
}

/** @returns a random id by which the platform recognizes a repeated write. */
std::string makeOperationId() {
  std::random_device Device;
  return absl::StrCat(absl::Hex(Device(), absl::kZeroPad8),
                      absl::Hex(Device(), absl::kZeroPad8));
}

/** Commits, and retries with the same operation id while the outcome is
    unknown, so that a lost reply neither fails the command nor applies a write
    twice.
    @returns the outcome, or OutcomeUnknown after the last attempt. */
awaitable<absl::Status> commitWithRetry(platform_client Platform,
                                        table_transaction Transaction) {
  constexpr int Attempts = 4;
  constexpr std::chrono::milliseconds RetryDelay{200};
  Transaction.OperationId = makeOperationId();
  absl::Status Unknown;
  for (int Attempt = 0; Attempt < Attempts; ++Attempt) {
    const auto Revision = co_await Platform.Commit(Transaction);
    const absl::Status &Status = Revision.status();
    const bool IsUnknown = isFailure(Status, platform_failure::OutcomeUnknown);
    // An unavailable platform does not tell whether an earlier attempt, whose
    // outcome is unknown, was applied.
    const bool IsFinal =
        !IsUnknown &&
        (Unknown.ok() || !isFailure(Status, platform_failure::Unavailable));
    if (IsFinal)
      co_return Status;
    if (IsUnknown)
      Unknown = Status;
    asio::steady_timer Timer(co_await asio::this_coro::executor, RetryDelay);
    co_await Timer.async_wait(asio::use_awaitable);
  }
  co_return Unknown;
}

/** @returns the envelope of the document in force, nothing before the first
    document, or a failure when the row is invalid. */
absl::StatusOr<std::optional<document_envelope>>
envelopeInForce(const service_rows &Rows) {
  if (!Rows.InForce)
    return std::optional<document_envelope>();
  auto Envelope = parseEnvelope(Rows.InForce->Value);
  if (!Envelope.ok())
    return Envelope.status();
  return std::optional(*std::move(Envelope));
}

const document_envelope *
asPointer(const std::optional<document_envelope> &Envelope) {
  return Envelope ? &*Envelope : nullptr;
}

bool isSignedBy(const document_envelope &Envelope, const owner_name &Owner) {
  return std::ranges::count(Envelope.Signatures, Owner,
                            &document_signature::Owner) > 0;
}

std::string hashOf(const document_envelope &Envelope) {
  return toHex(sha256(Envelope.Text));
}

approved_document describe(const document_envelope &Envelope) {
  return {Envelope.Service, Envelope.Number, hashOf(Envelope)};
}

/** Adds a signature to @p Envelope. The signer must be an owner according to
    the document in force or, for the first document, according to the document
    itself. */
absl::Status sign(document_envelope &Envelope, const document_envelope *InForce,
                  const owner_credentials &Credentials) {
  auto Signature =
      signMessage(Credentials.PrivateKeyPem, Envelope.signedMessage());
  if (!Signature.ok())
    return Signature.status();
  return Envelope.addSignature(InForce == nullptr ? Envelope.Owners
                                                  : InForce->Owners,
                               Credentials.Owner, *std::move(Signature));
}

/** @returns a transaction that writes the proposal if neither row has changed
    since it was read. */
table_transaction makeProposalTransaction(const document_envelope &Envelope,
                                          const service_rows &Rows) {
  const std::string InForce = documentRowKey(Envelope.Service);
  const std::string Proposal = proposalRowKey(Envelope.Service);
  table_transaction Transaction;
  Transaction.Conditions = {{InForce, versionOf(Rows.InForce)},
                            {Proposal, versionOf(Rows.Proposal)}};
  Transaction.Writes = {{Proposal, Envelope.serialize()}};
  return Transaction;
}

/** @returns a transaction that puts the proposal in force if neither row has
    changed since it was read. */
table_transaction makeInForceTransaction(const document_envelope &Envelope,
                                         const service_rows &Rows) {
  table_transaction Transaction = makeProposalTransaction(Envelope, Rows);
  Transaction.Writes = {
      {documentRowKey(Envelope.Service), Envelope.serialize()},
      {proposalRowKey(Envelope.Service), std::nullopt}};
  return Transaction;
}

/** @returns the open proposal, which must have the number @p Next; a proposal
    is obsolete once another document has come into force. */
std::optional<document_envelope> findOpenProposal(const service_rows &Rows,
                                                  document_number Next) {
  if (!Rows.Proposal)
    return std::nullopt;
  auto Envelope = parseEnvelope(Rows.Proposal->Value);
  if (!Envelope.ok() || Envelope->Number != Next)
    return std::nullopt;
  return *std::move(Envelope);
}

/** Applies the checks of the VMs before a document comes into force, so that no
    VM rejects it later. */
absl::Status checkForVms(const document_envelope &Envelope,
                         const document_envelope *InForce) {
  owner_authority Known;
  if (InForce != nullptr)
    Known = {InForce->Number, InForce->Owners};
  return verifyEnvelope(Envelope, InForce == nullptr ? nullptr : &Known)
      .status();
}

/** @returns the failure for signing without an open proposal. */
absl::Status explainNoProposal(const service_name &Service,
                               const document_envelope *InForce,
                               const owner_name &Owner) {
  if (InForce != nullptr && isSignedBy(*InForce, Owner))
    return makeFailure(document_failure::AlreadySigned,
                       absl::StrCat("document ", InForce->Number, " of ",
                                    Service.str(),
                                    " is in force and signed by ", Owner.str(),
                                    ", hash ", hashOf(*InForce)));
  return makeFailure(document_failure::NoProposal,
                     absl::StrCat("no open proposal for ", Service.str()));
}

} // namespace

awaitable<absl::StatusOr<service_rows>> readRows(platform_client Platform,
                                                 service_name Service) {
  service_rows Rows;
  auto InForce = co_await Platform.ReadRow(documentRowKey(Service));
  if (!InForce.ok())
    co_return InForce.status();
  auto Proposal = co_await Platform.ReadRow(proposalRowKey(Service));
  if (!Proposal.ok())
    co_return Proposal.status();
  Rows.InForce = std::move(*InForce);
  Rows.Proposal = std::move(*Proposal);
  co_return Rows;
}

absl::StatusOr<document_number> numberInForce(const service_rows &Rows) {
  const auto Envelope = envelopeInForce(Rows);
  if (!Envelope.ok())
    return Envelope.status();
  return *Envelope ? (*Envelope)->Number : document_number{0};
}

awaitable<absl::StatusOr<approved_document>>
proposeDocument(platform_client Platform, service_document Document,
                std::string Text, owner_credentials Credentials,
                std::string Replaces) {
  const auto Rows = co_await readRows(Platform, Document.Service);
  if (!Rows.ok())
    co_return Rows.status();
  const auto InForce = envelopeInForce(*Rows);
  if (!InForce.ok())
    co_return InForce.status();
  document_envelope Envelope =
      makeSuccessor(asPointer(*InForce), Document, std::move(Text));
  const auto Open = findOpenProposal(*Rows, Envelope.Number);
  const bool IsSame = Open && Open->Text == Envelope.Text;
  if (IsSame && isSignedBy(*Open, Credentials.Owner))
    co_return describe(*Open);
  if (Open && hashOf(*Open) != Replaces)
    co_return makeFailure(
        document_failure::ProposalOpen,
        absl::StrCat(IsSame ? "the same content" : "another document",
                     " is proposed, hash ", hashOf(*Open),
                     ": sign it, or give this hash to replace it"));
  if (auto Status = sign(Envelope, asPointer(*InForce), Credentials);
      !Status.ok())
    co_return Status;
  const auto Status = co_await commitWithRetry(
      Platform, makeProposalTransaction(Envelope, *Rows));
  if (!Status.ok())
    co_return Status;
  co_return describe(Envelope);
}

awaitable<absl::StatusOr<approved_document>>
signProposal(platform_client Platform, service_name Service,
             owner_credentials Credentials, std::string Hash) {
  const auto Rows = co_await readRows(Platform, Service);
  if (!Rows.ok())
    co_return Rows.status();
  const auto InForce = envelopeInForce(*Rows);
  if (!InForce.ok())
    co_return InForce.status();
  const document_envelope *Present = asPointer(*InForce);
  const bool IsDone = Present != nullptr && hashOf(*Present) == Hash &&
                      isSignedBy(*Present, Credentials.Owner);
  if (IsDone)
    co_return describe(*Present);
  auto Envelope =
      findOpenProposal(*Rows, Present == nullptr ? 1 : Present->Number + 1);
  if (!Envelope)
    co_return explainNoProposal(Service, Present, Credentials.Owner);
  if (!Hash.empty() && Hash != hashOf(*Envelope))
    co_return makeFailure(
        document_failure::BadSignature,
        absl::StrCat("the proposal's hash is ", hashOf(*Envelope)));
  if (auto Status = sign(*Envelope, Present, Credentials); !Status.ok())
    co_return Status;
  if (auto Status = checkForVms(*Envelope, Present); !Status.ok())
    co_return Status;
  const auto Status = co_await commitWithRetry(
      Platform, makeInForceTransaction(*Envelope, *Rows));
  if (!Status.ok())
    co_return Status;
  co_return describe(*Envelope);
}

} // namespace sesamepaddle
