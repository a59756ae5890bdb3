/// Module idempotency: idempotent requests. Decides which requests may run, so
/// that each runs at most once.
///
/// Uses core and the message types of net. Does no network I/O.
#ifndef SESAMEPADDLE_IDEMPOTENCY_IDEMPOTENCY_H
#define SESAMEPADDLE_IDEMPOTENCY_IDEMPOTENCY_H

#include "sesamepaddle/idempotency/idempotency_registry.h"
#include "sesamepaddle/idempotency/request_identifier.h"

#endif
