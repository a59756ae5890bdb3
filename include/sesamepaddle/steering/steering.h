/// Module steering: which entry VMs a caller is told to use.
///
/// Uses core, documents and shares. Knows no socket and takes the time as an
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
