/// Module once: idempotent requests. Decides which requests may run, so that
/// each runs at most once.
///
/// Uses core and the message types of net. Does no network I/O.
#ifndef SESAMEPADDLE_ONCE_ONCE_H
#define SESAMEPADDLE_ONCE_ONCE_H

#include "sesamepaddle/once/idempotency_registry.h"
#include "sesamepaddle/once/request_identifier.h"

#endif
