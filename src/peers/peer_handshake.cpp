#include "peers/peer_handshake.h"

#include "sesamepaddle/peers/failures.h"

#include "absl/strings/str_cat.h"

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <openssl/rand.h>

#include <array>

namespace sesamepaddle {

namespace {

constexpr std::size_t NonceBytes = 16;

// Longest frame accepted before the other side is authenticated.
constexpr std::size_t MaxHandshakeFrameBytes = 1024;

// The role is part of the proof, so that an attacker can't reflect the proof of
// one side as that of the other.
constexpr std::string_view OpenerRole = "opener";
constexpr std::string_view AccepterRole = "accepter";

std::string makeNonce() {
  std::string Nonce(NonceBytes, '\0');
  RAND_bytes(reinterpret_cast<unsigned char *>(Nonce.data()),
             static_cast<int>(Nonce.size()));
  return Nonce;
}

/** Joins texts with length prefixes, so that different lists of texts never
    give the same bytes. */
std::string joinWithLengths(std::initializer_list<std::string_view> Parts) {
  std::string Joined;
  for (const auto Part : Parts) {
    absl::StrAppend(&Joined, Part.size(), ":");
    Joined += Part;
  }
  return Joined;
}

/** @returns the HMAC-SHA256 under @p Secret of the role and of all fields of
    @p Hello but its version and proof, with the nonce of the other side. */
std::string makeProof(std::string_view Secret, std::string_view Role,
                      const peer_hello &Hello, std::string_view OtherNonce) {
  const std::string Incarnation =
      absl::StrCat(static_cast<std::uint64_t>(Hello.Identity.Incarnation));
  const std::string Message =
      joinWithLengths({Role, Hello.Identity.Name.view(), Incarnation,
                       Hello.FailureDomain.view(), Hello.Nonce, OtherNonce});
  std::array<unsigned char, EVP_MAX_MD_SIZE> Digest{};
  unsigned Size = 0;
  HMAC(EVP_sha256(), Secret.data(), static_cast<int>(Secret.size()),
       reinterpret_cast<const unsigned char *>(Message.data()), Message.size(),
       Digest.data(), &Size);
  return {reinterpret_cast<const char *>(Digest.data()), Size};
}

/** @returns a hello with a new nonce and the proof for @p Role. */
peer_hello makeHello(const peer_credentials &Credentials, std::string_view Role,
                     std::string_view OtherNonce) {
  peer_hello Hello;
  Hello.Identity = Credentials.Self;
  Hello.FailureDomain = Credentials.FailureDomain;
  Hello.Nonce = makeNonce();
  Hello.Proof = makeProof(Credentials.Secret, Role, Hello, OtherNonce);
  return Hello;
}

absl::Status checkVersion(std::uint32_t Version) {
  if (Version == PeerProtocolVersion)
    return absl::OkStatus();
  return makeFailure(
      peer_failure::VersionMismatch,
      absl::StrCat("version ", Version, " instead of ", PeerProtocolVersion));
}

/** Checks the version and the proof, whose role must be @p Role. */
absl::Status checkHello(const peer_credentials &Credentials,
                        std::string_view Role, const peer_hello &Hello,
                        std::string_view OwnNonce) {
  if (const auto Status = checkVersion(Hello.Version); !Status.ok())
    return Status;
  const std::string Expected =
      makeProof(Credentials.Secret, Role, Hello, OwnNonce);
  const bool IsProved =
      Hello.Proof.size() == Expected.size() &&
      CRYPTO_memcmp(Hello.Proof.data(), Expected.data(), Expected.size()) == 0;
  return IsProved ? absl::OkStatus()
                  : makeFailure(peer_failure::BadProof,
                                "proof does not match the secret");
}

/** Reads a hello and checks it. */
awaitable<absl::StatusOr<peer_hello>>
receiveHello(boost::beast::tcp_stream &Stream,
             const peer_credentials &Credentials, std::string_view Role,
             std::string_view OwnNonce) {
  const auto Bytes = co_await readFrame(Stream, MaxHandshakeFrameBytes);
  if (!Bytes.ok())
    co_return Bytes.status();
  const auto Hello = decodeHello(*Bytes);
  if (!Hello.ok())
    co_return Hello.status();
  const auto Status = checkHello(Credentials, Role, *Hello, OwnNonce);
  if (!Status.ok())
    co_return Status;
  co_return *Hello;
}

peer_sender senderOf(const peer_hello &Hello) {
  return {Hello.Identity, Hello.FailureDomain};
}

} // namespace

awaitable<absl::StatusOr<peer_sender>>
openHandshake(boost::beast::tcp_stream &Stream,
              const peer_credentials &Credentials) {
  const auto Bytes = co_await readFrame(Stream, MaxHandshakeFrameBytes);
  if (!Bytes.ok())
    co_return Bytes.status();
  const auto Greeting = decodeGreeting(*Bytes);
  if (!Greeting.ok())
    co_return Greeting.status();
  if (const auto Status = checkVersion(Greeting->Version); !Status.ok())
    co_return Status;
  const peer_hello Hello = makeHello(Credentials, OpenerRole, Greeting->Nonce);
  const auto Sent = co_await writeFrame(Stream, encode(Hello));
  if (!Sent.ok())
    co_return Sent;
  const auto Answer =
      co_await receiveHello(Stream, Credentials, AccepterRole, Hello.Nonce);
  if (!Answer.ok())
    co_return Answer.status();
  co_return senderOf(*Answer);
}

awaitable<absl::StatusOr<peer_sender>>
acceptHandshake(boost::beast::tcp_stream &Stream,
                const peer_credentials &Credentials) {
  peer_greeting Greeting;
  Greeting.Nonce = makeNonce();
  const auto Sent = co_await writeFrame(Stream, encode(Greeting));
  if (!Sent.ok())
    co_return Sent;
  const auto Hello =
      co_await receiveHello(Stream, Credentials, OpenerRole, Greeting.Nonce);
  if (!Hello.ok())
    co_return Hello.status();
  const auto Answered = co_await writeFrame(
      Stream, encode(makeHello(Credentials, AccepterRole, Hello->Nonce)));
  if (!Answered.ok())
    co_return Answered;
  co_return senderOf(*Hello);
}

} // namespace sesamepaddle
