#ifndef SESAMEPADDLE_PEERS_PEER_HANDSHAKE_H
#define SESAMEPADDLE_PEERS_PEER_HANDSHAKE_H

#include "peers/peer_frame.h"
#include "sesamepaddle/peers/peer_network.h"

namespace sesamepaddle {

/** The identity of this VM, and the secret with which it authenticates. */
struct peer_credentials {
  vm_identity Self;
  failure_domain_name FailureDomain;
  std::string Secret;
};

/** Runs the handshake on the side that opened the connection: receives a
    greeting, sends a hello whose proof covers the greeting's nonce, and checks
    the hello that comes back, whose proof covers this side's nonce.
    @returns the identity of the other side, or a peer_failure. */
awaitable<absl::StatusOr<peer_sender>>
openHandshake(boost::beast::tcp_stream &Stream,
              const peer_credentials &Credentials);

/** Runs the handshake on the side that accepted the connection. A client that
    does not know the secret receives only the greeting, which holds the
    protocol's name, its version and a random nonce.
    @returns the identity of the other side, or a peer_failure.
    @see openHandshake */
awaitable<absl::StatusOr<peer_sender>>
acceptHandshake(boost::beast::tcp_stream &Stream,
                const peer_credentials &Credentials);

} // namespace sesamepaddle

#endif
