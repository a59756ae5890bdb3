/// Module placing: chooses the endpoint of a service that runs a request.
///
/// Sends the requests for an object to the same endpoint, near the caller, for
/// as long as its load allows, and limits the request rate to endpoints that
/// are cold, that is, still warming up after a start. Does no I/O and takes the
/// time as an argument. Uses core, routing (home regions) and steering
/// (rendezvous hashing).
#ifndef SESAMEPADDLE_PLACING_PLACING_H
#define SESAMEPADDLE_PLACING_PLACING_H

#include "sesamepaddle/placing/endpoint_registry.h"
#include "sesamepaddle/placing/placement.h"

#endif
