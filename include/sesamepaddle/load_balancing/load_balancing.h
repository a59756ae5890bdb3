/// Module load_balancing: chooses the endpoint of a service that runs a
/// request.
///
/// Sends the requests for an object to the same endpoint, near the caller, for
/// as long as its load allows, and limits the request rate to endpoints that
/// are cold, that is, still warming up after a start. Does no I/O and takes the
/// time as an argument. Uses core, routing (home regions) and steering
/// (rendezvous hashing).
#ifndef SESAMEPADDLE_LOAD_BALANCING_LOAD_BALANCING_H
#define SESAMEPADDLE_LOAD_BALANCING_LOAD_BALANCING_H

#include "sesamepaddle/load_balancing/endpoint_registry.h"
#include "sesamepaddle/load_balancing/placement.h"

#endif
