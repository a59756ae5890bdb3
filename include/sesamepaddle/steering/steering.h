/// Module steering: directs callers to entry VMs and requests to regions.
///
/// Uses core, documents and rate_limiting. Does no I/O and takes the time as an
/// argument.
#ifndef SESAMEPADDLE_STEERING_STEERING_H
#define SESAMEPADDLE_STEERING_STEERING_H

#include "sesamepaddle/steering/block_map.h"
#include "sesamepaddle/steering/capacity_allocator.h"
#include "sesamepaddle/steering/lookup.h"
#include "sesamepaddle/steering/lookup_table.h"
#include "sesamepaddle/steering/region_router.h"
#include "sesamepaddle/steering/rendezvous.h"

#endif
