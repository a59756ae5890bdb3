/// Module peers: authenticated messages between VMs, as framed msgpack over
/// TCP. Both sides prove knowledge of a shared secret before messages are
/// exchanged.
///
/// Uses core and net.
#ifndef SESAMEPADDLE_PEERS_PEERS_H
#define SESAMEPADDLE_PEERS_PEERS_H

#include "sesamepaddle/peers/failures.h"
#include "sesamepaddle/peers/peer_network.h"

#endif
