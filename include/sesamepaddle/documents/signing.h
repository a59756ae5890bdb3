#ifndef SESAMEPADDLE_DOCUMENTS_SIGNING_H
#define SESAMEPADDLE_DOCUMENTS_SIGNING_H

#include "absl/status/statusor.h"

#include <string>
#include <string_view>

namespace sesamepaddle {

/** An owner's Ed25519 key pair. */
struct signing_key_pair {
  std::string PrivateKeyPem;
  std::string PublicKey; ///< 32 bytes
};

/** Generates a random key pair. */
signing_key_pair makeSigningKeyPair();

/** @returns the 64-byte signature of @p Message, or
    document_failure::InvalidKey. */
absl::StatusOr<std::string> signMessage(std::string_view PrivateKeyPem,
                                        std::string_view Message);

/** @returns the 32-byte public key that belongs to a private key, or
    document_failure::InvalidKey. */
absl::StatusOr<std::string> publicKeyOf(std::string_view PrivateKeyPem);

/** @returns true when @p Signature is a valid signature of @p Message by the
    holder of @p PublicKey. */
bool isValidSignature(std::string_view PublicKey, std::string_view Message,
                      std::string_view Signature);

/** @returns the 32-byte SHA-256 of @p Text. */
std::string sha256(std::string_view Text);

/** @returns @p Bytes as lower-case hexadecimal digits. */
std::string toHex(std::string_view Bytes);

} // namespace sesamepaddle

#endif
