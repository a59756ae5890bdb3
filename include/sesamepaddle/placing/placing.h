/// Module placing: which endpoint of a service runs a request.
///
/// Keeps each object at one endpoint while its load allows, near the caller,
/// and counts what a cold endpoint is sent. Knows no socket and takes the time
/// as an argument. Uses core and steering (rendezvous hashing).
#ifndef SESAMEPADDLE_PLACING_PLACING_H
#define SESAMEPADDLE_PLACING_PLACING_H

#include "sesamepaddle/placing/endpoint_registry.h"
#include "sesamepaddle/placing/placement.h"

#endif
