/// Module core: clocks, identifiers, typed failures, read-copy-update cells and
/// the process's allocator.
///
/// All other modules use it. It uses no other module and does no I/O.
#ifndef SESAMEPADDLE_CORE_CORE_H
#define SESAMEPADDLE_CORE_CORE_H

#include "sesamepaddle/core/clock.h"
#include "sesamepaddle/core/failure.h"
#include "sesamepaddle/core/identifiers.h"
#include "sesamepaddle/core/memory.h"
#include "sesamepaddle/core/rcu_cell.h"
#include "sesamepaddle/core/text.h"

#endif
