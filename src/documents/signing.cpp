#include "sesamepaddle/documents/signing.h"

#include "sesamepaddle/documents/failures.h"

#include <openssl/bio.h>
#include <openssl/evp.h>
#include <openssl/pem.h>
#include <openssl/sha.h>

#include <memory>

namespace sesamepaddle {

namespace {

// Sizes defined by Ed25519.
constexpr std::size_t PublicKeyBytes = 32;
constexpr std::size_t SignatureBytes = 64;

/** Deletes an OpenSSL object with the library's function @p Free. */
template <auto Free> struct openssl_deleter {
  template <typename Object> void operator()(Object *Pointer) const {
    Free(Pointer);
  }
};

using key_pointer = std::unique_ptr<EVP_PKEY, openssl_deleter<EVP_PKEY_free>>;
using digest_pointer =
    std::unique_ptr<EVP_MD_CTX, openssl_deleter<EVP_MD_CTX_free>>;
using bio_pointer = std::unique_ptr<BIO, openssl_deleter<BIO_free>>;

const unsigned char *bytesOf(std::string_view Text) {
  return reinterpret_cast<const unsigned char *>(Text.data());
}

key_pointer readPrivateKey(std::string_view Pem) {
  const bio_pointer Bio(
      BIO_new_mem_buf(Pem.data(), static_cast<int>(Pem.size())));
  key_pointer Key(
      PEM_read_bio_PrivateKey(Bio.get(), nullptr, nullptr, nullptr));
  if (Key && EVP_PKEY_id(Key.get()) != EVP_PKEY_ED25519)
    return nullptr;
  return Key;
}

std::string rawPublicKey(EVP_PKEY *Key) {
  std::string Raw(PublicKeyBytes, '\0');
  std::size_t Size = Raw.size();
  EVP_PKEY_get_raw_public_key(
      Key, reinterpret_cast<unsigned char *>(Raw.data()), &Size);
  return Raw;
}

absl::Status invalidKey() {
  return makeFailure(document_failure::InvalidKey,
                     "not an Ed25519 private key in PEM format");
}

} // namespace

signing_key_pair makeSigningKeyPair() {
  const key_pointer Key(EVP_PKEY_Q_keygen(nullptr, nullptr, "ED25519"));
  const bio_pointer Bio(BIO_new(BIO_s_mem()));
  PEM_write_bio_PrivateKey(Bio.get(), Key.get(), nullptr, nullptr, 0, nullptr,
                           nullptr);
  char *Data = nullptr;
  const long Size = BIO_get_mem_data(Bio.get(), &Data);
  return {std::string(Data, static_cast<std::size_t>(Size)),
          rawPublicKey(Key.get())};
}

absl::StatusOr<std::string> signMessage(std::string_view PrivateKeyPem,
                                        std::string_view Message) {
  const key_pointer Key = readPrivateKey(PrivateKeyPem);
  if (!Key)
    return invalidKey();
  const digest_pointer Context(EVP_MD_CTX_new());
  std::string Signature(SignatureBytes, '\0');
  std::size_t Size = Signature.size();
  const bool IsSigned =
      EVP_DigestSignInit(Context.get(), nullptr, nullptr, nullptr, Key.get()) ==
          1 &&
      EVP_DigestSign(Context.get(),
                     reinterpret_cast<unsigned char *>(Signature.data()), &Size,
                     bytesOf(Message), Message.size()) == 1;
  if (!IsSigned)
    return invalidKey();
  return Signature;
}

absl::StatusOr<std::string> publicKeyOf(std::string_view PrivateKeyPem) {
  const key_pointer Key = readPrivateKey(PrivateKeyPem);
  if (!Key)
    return invalidKey();
  return rawPublicKey(Key.get());
}

bool isValidSignature(std::string_view PublicKey, std::string_view Message,
                      std::string_view Signature) {
  const key_pointer Key(EVP_PKEY_new_raw_public_key(
      EVP_PKEY_ED25519, nullptr, bytesOf(PublicKey), PublicKey.size()));
  if (!Key)
    return false;
  const digest_pointer Context(EVP_MD_CTX_new());
  return EVP_DigestVerifyInit(Context.get(), nullptr, nullptr, nullptr,
                              Key.get()) == 1 &&
         EVP_DigestVerify(Context.get(), bytesOf(Signature), Signature.size(),
                          bytesOf(Message), Message.size()) == 1;
}

std::string sha256(std::string_view Text) {
  std::string Hash(SHA256_DIGEST_LENGTH, '\0');
  SHA256(bytesOf(Text), Text.size(),
         reinterpret_cast<unsigned char *>(Hash.data()));
  return Hash;
}

std::string toHex(std::string_view Bytes) {
  constexpr std::string_view Digits = "0123456789abcdef";
  std::string Hex;
  for (const char Character : Bytes) {
    const auto Byte = static_cast<unsigned char>(Character);
    Hex += Digits[Byte >> 4];
    Hex += Digits[Byte & 0xF];
  }
  return Hex;
}

} // namespace sesamepaddle
