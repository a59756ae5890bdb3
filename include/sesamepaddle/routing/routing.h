/// Module routing: finds the route, service and workspace of a request.
///
/// A fleet configuration holds the routes of all hosts, the workspaces with
/// their keys, and the limits of each service. Does no I/O. Uses core.
#ifndef SESAMEPADDLE_ROUTING_ROUTING_H
#define SESAMEPADDLE_ROUTING_ROUTING_H

#include "sesamepaddle/routing/fleet_configuration.h"

#endif
