#ifndef SESAMEPADDLE_PEERS_FAILURES_H
#define SESAMEPADDLE_PEERS_FAILURES_H

#include "sesamepaddle/core/failure.h"

namespace sesamepaddle {

/** Why a connection between VMs was closed. */
enum class peer_failure {
  ConnectionLost,  ///< the other VM closed it or can't be reached
  Timeout,         ///< the handshake did not finish in time
  MalformedFrame,  ///< not a frame of this protocol, or beyond the size limit
  VersionMismatch, ///< the other VM uses another protocol version
  BadProof,        ///< the other VM did not prove that it knows the secret
};

template <> struct failure_traits<peer_failure> {
  static constexpr std::string_view Domain = "peers";
  static std::string_view name(peer_failure Kind);
  static absl::StatusCode code(peer_failure Kind);
};

} // namespace sesamepaddle

#endif
