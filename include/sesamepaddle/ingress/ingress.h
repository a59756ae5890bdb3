/// Module ingress: proxies a request from its caller through a VM to an
/// endpoint and back, and exchanges state between VMs by gossip.
///
/// A single thread runs everything, as the VMs have a fraction of a core: see
/// docs/design/ingress.md. Uses core, net, telemetry, routing, load_balancing,
/// admission, moves, upstreams and steering.
#ifndef SESAMEPADDLE_INGRESS_INGRESS_H
#define SESAMEPADDLE_INGRESS_INGRESS_H

#include "sesamepaddle/ingress/fleet_state.h"
#include "sesamepaddle/ingress/ingress_node.h"
#include "sesamepaddle/ingress/ingress_options.h"
#include "sesamepaddle/ingress/refresh_schedule.h"
#include "sesamepaddle/ingress/removal_grace.h"
#include "sesamepaddle/ingress/row_freshness.h"
#include "sesamepaddle/ingress/stop_schedule.h"
#include "sesamepaddle/ingress/traffic_counter.h"

#endif
