#ifndef SESAMEPADDLE_PEERS_PEER_FRAME_H
#define SESAMEPADDLE_PEERS_PEER_FRAME_H

#include "absl/status/statusor.h"
#include "sesamepaddle/core/identifiers.h"
#include "sesamepaddle/net/asio.h"

#include <boost/beast/core/tcp_stream.hpp>

#include <cstdint>
#include <string>
#include <string_view>

namespace sesamepaddle {

/** The version of the protocol between VMs; connections need equal versions. */
constexpr std::uint32_t PeerProtocolVersion = 1;

/** The first frame of a connection, sent by the accepting side. */
struct peer_greeting {
  std::uint32_t Version = PeerProtocolVersion;
  std::string Nonce; ///< covered by the proof of the opening side
};

/** Identifies one side and proves that it knows the secret. */
struct peer_hello {
  std::uint32_t Version = PeerProtocolVersion;
  vm_identity Identity;
  failure_domain_name FailureDomain;
  std::string Nonce; ///< covered by the proof of the other side
  std::string Proof; ///< HMAC-SHA256 under the secret, see makeProof()
};

/** A frame after the handshake: a message, or an acknowledgement if Kind is
    AcknowledgementKind. */
struct peer_frame {
  std::uint8_t Kind = 0; ///< a peer_message_kind or AcknowledgementKind
  std::string Payload;
};

/** The kind of a frame whose payload is the number of frames received on the
    connection since the handshake. */
constexpr std::uint8_t AcknowledgementKind = 0;

/** Each encoder returns msgpack, without the length prefix that writeFrame()
    adds. */
std::string encode(const peer_greeting &Greeting);
std::string encode(const peer_hello &Hello);
std::string encode(const peer_frame &Frame);
std::string encodeAcknowledgement(std::uint64_t Count);

/** Each decoder returns peer_failure::MalformedFrame for any other input. */
absl::StatusOr<peer_greeting> decodeGreeting(std::string_view Bytes);
absl::StatusOr<peer_hello> decodeHello(std::string_view Bytes);
absl::StatusOr<peer_frame> decodeFrame(std::string_view Bytes);
absl::StatusOr<std::uint64_t> decodeAcknowledgement(std::string_view Payload);

/** Writes the length of @p Bytes in 4 bytes, big-endian, and then @p Bytes.
    @returns OK, or peer_failure::Timeout or ConnectionLost. */
awaitable<absl::Status> writeFrame(boost::beast::tcp_stream &Stream,
                                   std::string_view Bytes);

/** Reads one frame and removes its length prefix.
    @returns its bytes, peer_failure::MalformedFrame when they are more than
    @p Limit, or Timeout or ConnectionLost. */
awaitable<absl::StatusOr<std::string>>
readFrame(boost::beast::tcp_stream &Stream, std::size_t Limit);

} // namespace sesamepaddle

#endif
