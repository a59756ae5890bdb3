#include "sesamepaddle/idempotency/idempotency_registry.h"

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>

#include <algorithm>
#include <array>
#include <utility>

namespace sesamepaddle {

namespace {

// Tags are HMAC-SHA256 values truncated to this length.
constexpr std::size_t TagBytes = 16;

std::string toHexDigits(const unsigned char *Bytes, std::size_t Count) {
  constexpr std::string_view Digits = "0123456789abcdef";
  std::string Text;
  for (std::size_t Index = 0; Index < Count; ++Index) {
    Text += Digits[Bytes[Index] >> 4U];
    Text += Digits[Bytes[Index] & 15U];
  }
  return Text;
}

std::size_t bytesOf(const http_reply &Reply) {
  std::size_t Bytes = sizeof(http_reply) + Reply.Body.size();
  for (const auto &Header : Reply.Headers)
    Bytes += sizeof(http_header) + Header.Name.size() + Header.Value.size();
  return Bytes;
}

} // namespace

idempotency_registry::idempotency_registry(vm_identity Self, std::string Secret,
                                           idempotency_limits Limits)
    : Self(std::move(Self)), Secret(std::move(Secret)), Limits(Limits) {}

request_identifier idempotency_registry::issue(const request_scope &Scope) {
  const std::uint64_t Sequence = NextSequence++;
  return {Self, Sequence, tagOf(Sequence, Scope)};
}

// A new process under the same name does not know what its predecessor ran, so
// for identifiers of another incarnation the outcome is unknown.
begin_result idempotency_registry::begin(const request_identifier &Identifier,
                                         const request_scope &Scope,
                                         std::string_view Fingerprint,
                                         settle_callback OnSettled) {
  if (Identifier.Issuer.Name != Self.Name)
    return {idempotency_decision::Foreign, nullptr};
  if (Identifier.Issuer.Incarnation != Self.Incarnation)
    return {idempotency_decision::Unknown, nullptr};
  if (!isIssued(Identifier, Scope))
    return {idempotency_decision::NotIssued, nullptr};
  const auto Found = Records.find(Identifier.Sequence);
  if (Found != Records.end()) {
    if (Found->second.Fingerprint != Fingerprint)
      return {idempotency_decision::Reused, nullptr};
    return resultOf(Found->second, std::move(OnSettled));
  }
  if (Identifier.Sequence < FirstKept)
    return {idempotency_decision::Forgotten, nullptr};
  if (!makeRoomForRecord())
    return {idempotency_decision::Busy, nullptr};
  // The eviction may have made this identifier Forgotten.
  if (Identifier.Sequence < FirstKept)
    return {idempotency_decision::Forgotten, nullptr};
  Records[Identifier.Sequence].Fingerprint = std::string(Fingerprint);
  return {idempotency_decision::Run, nullptr};
}

std::vector<settle_callback>
idempotency_registry::settle(const request_identifier &Identifier,
                             execution_result Result,
                             std::shared_ptr<const http_reply> Answer) {
  const auto Found = Records.find(Identifier.Sequence);
  if (Found == Records.end() || Found->second.State != record_state::Running)
    return {};
  record &Record = Found->second;
  switch (Result) {
  case execution_result::Answered:
    Record.State = record_state::Answered;
    AnswerBytes += bytesOf(*Answer);
    Record.Answer = std::move(Answer);
    FirstWithAnswer = std::min(FirstWithAnswer, Identifier.Sequence);
    break;
  case execution_result::NotRun:
    Record.State = record_state::NotRun;
    break;
  case execution_result::Unknown:
    Record.State = record_state::Unknown;
    break;
  }
  auto Waiters = std::exchange(Record.Waiters, {});
  dropAnswersBeyondLimit();
  return Waiters;
}

std::string idempotency_registry::tagOf(std::uint64_t Sequence,
                                        const request_scope &Scope) const {
  const std::string Text = std::to_string(Sequence) + "\n" +
                           Scope.Service.str() + "\n" + Scope.Workspace.str();
  std::array<unsigned char, EVP_MAX_MD_SIZE> Digest{};
  unsigned Length = 0;
  HMAC(EVP_sha256(), Secret.data(), static_cast<int>(Secret.size()),
       reinterpret_cast<const unsigned char *>(Text.data()), Text.size(),
       Digest.data(), &Length);
  return toHexDigits(Digest.data(), TagBytes);
}

bool idempotency_registry::isIssued(const request_identifier &Identifier,
                                    const request_scope &Scope) const {
  const std::string Expected = tagOf(Identifier.Sequence, Scope);
  return Identifier.Sequence < NextSequence &&
         Identifier.Tag.size() == Expected.size() &&
         CRYPTO_memcmp(Identifier.Tag.data(), Expected.data(),
                       Expected.size()) == 0;
}

begin_result idempotency_registry::resultOf(record &Record,
                                            settle_callback OnSettled) {
  switch (Record.State) {
  case record_state::Running:
    Record.Waiters.push_back(std::move(OnSettled));
    return {idempotency_decision::Wait, nullptr};
  case record_state::Answered:
    return {Record.Answer ? idempotency_decision::Answered
                          : idempotency_decision::Ran,
            Record.Answer};
  case record_state::NotRun:
    return {idempotency_decision::NotRun, nullptr};
  case record_state::Unknown:
    break;
  }
  return {idempotency_decision::Unknown, nullptr};
}

bool idempotency_registry::makeRoomForRecord() {
  if (Records.size() < Limits.Records)
    return true;
  const auto Oldest = std::ranges::find_if(Records, [](const auto &Entry) {
    return Entry.second.State != record_state::Running;
  });
  if (Oldest == Records.end())
    return false;
  if (Oldest->second.Answer)
    AnswerBytes -= bytesOf(*Oldest->second.Answer);
  FirstKept = std::max(FirstKept, Oldest->first + 1);
  Records.erase(Oldest);
  return true;
}

void idempotency_registry::dropAnswersBeyondLimit() {
  auto Entry = Records.lower_bound(FirstWithAnswer);
  for (; AnswerBytes > Limits.AnswerBytes && Entry != Records.end(); ++Entry) {
    FirstWithAnswer = Entry->first + 1;
    if (!Entry->second.Answer)
      continue;
    AnswerBytes -= bytesOf(*Entry->second.Answer);
    Entry->second.Answer = nullptr;
  }
}

} // namespace sesamepaddle
