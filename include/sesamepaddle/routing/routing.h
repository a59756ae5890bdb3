/// Module routing: which service a request belongs to, and on whose behalf.
///
/// A fleet configuration holds the routes of all hosts, the workspaces with
/// their keys, and the terms of each service. Knows no socket and no store.
/// Uses core.
#ifndef SESAMEPADDLE_ROUTING_ROUTING_H
#define SESAMEPADDLE_ROUTING_ROUTING_H

#include "sesamepaddle/routing/fleet_configuration.h"

#endif
