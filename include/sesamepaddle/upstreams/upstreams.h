/// Module upstreams: which endpoint of an upstream runs a request, and whether
/// it may run or be retried at all.
///
/// Uses core. Does no network I/O; callers pass in the time.
#ifndef SESAMEPADDLE_UPSTREAMS_UPSTREAMS_H
#define SESAMEPADDLE_UPSTREAMS_UPSTREAMS_H

#include "sesamepaddle/upstreams/endpoint_set.h"
#include "sesamepaddle/upstreams/poison_registry.h"
#include "sesamepaddle/upstreams/retry_budget.h"

#endif
