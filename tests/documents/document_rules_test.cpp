#include "sesamepaddle/documents/documents.h"

#include <doctest/doctest.h>

#include "absl/strings/escaping.h"
#include "absl/strings/str_cat.h"

#include <map>

using namespace sesamepaddle;

namespace {

/** Creates and keeps the key pair of each owner. */
class owner_keyring {
public:
  /** @returns the key pair of the owner @p Name, made on first use. */
  const signing_key_pair &of(const std::string &Name) {
    auto &Pair = Pairs[Name];
    if (Pair.PublicKey.empty())
      Pair = makeSigningKeyPair();
    return Pair;
  }

  absl::Status sign(document_envelope &Envelope, const std::string &Name,
                    const std::vector<document_owner> &Approvers) {
    return Envelope.addSignature(
        Approvers, owner_name(Name),
        *signMessage(of(Name).PrivateKeyPem, Envelope.signedMessage()));
  }

private:
  std::map<std::string, signing_key_pair> Pairs;
};

/** @returns a document's text with two owners; @p Burst makes texts differ. */
std::string makeText(owner_keyring &Keyring, const std::string &First,
                     const std::string &Second, unsigned Burst) {
  return absl::StrCat(
      "service: pedidos\nowners:\n  - { name: ", First, ", public_key: '",
      absl::Base64Escape(Keyring.of(First).PublicKey),
      "' }\n  - { name: ", Second, ", public_key: '",
      absl::Base64Escape(Keyring.of(Second).PublicKey),
      "' }\nworkspaces:\n  - { name: bakery, rate: 10/s, burst: ", Burst,
      " }\nroutes:\n  - { name: all, path: / }\nversions:\n  - name: v1\n"
      "    endpoints:\n      - { address: '127.0.0.1:1', failure_domain: a }\n"
      "active_version: v1\n");
}

/** Makes the successor of @p InForce, signed by @p Signers. */
document_envelope makeNext(owner_keyring &Keyring,
                           const document_envelope *InForce,
                           const std::string &Text,
                           std::initializer_list<const char *> Signers) {
  yaml_errors Errors;
  const auto Document = parseServiceDocument(Text, "test", Errors);
  REQUIRE(Document);
  document_envelope Next = makeSuccessor(InForce, *Document, Text);
  const auto Approvers = InForce == nullptr ? Next.Owners : InForce->Owners;
  for (const char *Signer : Signers)
    REQUIRE(Keyring.sign(Next, Signer, Approvers).ok());
  return Next;
}

owner_authority authorityAfter(const document_envelope &Envelope) {
  return {Envelope.Number, Envelope.Owners};
}

} // namespace

TEST_CASE("a document needs the signatures of two owners") {
  owner_keyring Keyring;
  const std::string Text = makeText(Keyring, "ana", "luis", 5);
  document_envelope First = makeNext(Keyring, nullptr, Text, {"ana"});

  SUBCASE("one signature is not enough") {
    CHECK(isFailure(verifyEnvelope(First, nullptr).status(),
                    document_failure::TooFewSignatures));
  }

  SUBCASE("one owner can't sign twice") {
    CHECK(isFailure(Keyring.sign(First, "ana", First.Owners),
                    document_failure::AlreadySigned));
    First.Signatures.push_back(First.Signatures.front());
    CHECK(isFailure(verifyEnvelope(First, nullptr).status(),
                    document_failure::TooFewSignatures));
  }

  SUBCASE("someone who is not an owner can't sign") {
    CHECK(isFailure(Keyring.sign(First, "eva", First.Owners),
                    document_failure::UnknownOwner));
  }

  SUBCASE("a signature is not valid for another text, number or service") {
    REQUIRE(Keyring.sign(First, "luis", First.Owners).ok());
    REQUIRE(verifyEnvelope(First, nullptr).ok());
    document_envelope Other = First;
    Other.Text = makeText(Keyring, "ana", "luis", 6);
    CHECK(isFailure(verifyEnvelope(Other, nullptr).status(),
                    document_failure::BadSignature));
    Other = First;
    Other.Number = 2;
    CHECK_FALSE(verifyEnvelope(Other, nullptr).ok());
    Other = First;
    Other.Service = service_name("catalogo");
    CHECK_FALSE(verifyEnvelope(Other, nullptr).ok());
  }

  SUBCASE("a parsed row equals the serialized envelope") {
    REQUIRE(Keyring.sign(First, "luis", First.Owners).ok());
    const auto Parsed = parseEnvelope(First.serialize());
    REQUIRE(Parsed.ok());
    CHECK(verifyEnvelope(*Parsed, nullptr).ok());
    CHECK(Parsed->serialize() == First.serialize());
  }
}

TEST_CASE("new owners need the signatures of the present owners") {
  owner_keyring Keyring;
  const auto First = makeNext(
      Keyring, nullptr, makeText(Keyring, "ana", "luis", 5), {"ana", "luis"});
  const auto Second = makeNext(
      Keyring, &First, makeText(Keyring, "eva", "rosa", 5), {"luis", "ana"});
  const auto Third = makeNext(
      Keyring, &Second, makeText(Keyring, "eva", "rosa", 9), {"eva", "rosa"});
  const auto Fourth = makeNext(
      Keyring, &Third, makeText(Keyring, "eva", "ana", 9), {"eva", "rosa"});

  SUBCASE("a VM that knows the preceding owners accepts each document") {
    const auto AfterFirst = authorityAfter(First);
    CHECK(verifyEnvelope(Second, &AfterFirst).ok());
    const auto AfterSecond = authorityAfter(Second);
    CHECK(verifyEnvelope(Third, &AfterSecond).ok());
  }

  SUBCASE("a VM that missed documents, or knows none, accepts the newest") {
    const auto AfterFirst = authorityAfter(First);
    CHECK(verifyEnvelope(Third, &AfterFirst).ok());
    CHECK(verifyEnvelope(Fourth, &AfterFirst).ok());
    CHECK(verifyEnvelope(Fourth, nullptr).ok());
    CHECK(Fourth.Handovers.size() == 2);
  }

  SUBCASE("new owners can't appoint themselves") {
    const auto Document = makeText(Keyring, "eva", "rosa", 5);
    document_envelope SelfSigned = makeNext(Keyring, &First, Document, {});
    REQUIRE(Keyring.sign(SelfSigned, "eva", SelfSigned.Owners).ok());
    REQUIRE(Keyring.sign(SelfSigned, "rosa", SelfSigned.Owners).ok());
    const auto AfterFirst = authorityAfter(First);
    CHECK(isFailure(verifyEnvelope(SelfSigned, &AfterFirst).status(),
                    document_failure::UnknownOwner));
    CHECK_FALSE(verifyEnvelope(SelfSigned, nullptr).ok());
  }

  SUBCASE("a forged or missing handover is rejected") {
    document_envelope Forged = Third;
    Forged.Handovers[1].Owners[0].Name = owner_name("ana");
    const auto AfterFirst = authorityAfter(First);
    CHECK_FALSE(verifyEnvelope(Forged, &AfterFirst).ok());
    Forged = Third;
    Forged.Handovers.pop_back();
    CHECK_FALSE(verifyEnvelope(Forged, &AfterFirst).ok());
  }
}
