/// Module moves: planned moves of traffic to another version or place.
///
/// Uses core and documents. Does no network I/O; callers pass in the time.
#ifndef SESAMEPADDLE_MOVES_MOVES_H
#define SESAMEPADDLE_MOVES_MOVES_H

#include "sesamepaddle/moves/crash_deduplicator.h"
#include "sesamepaddle/moves/cusum_detector.h"
#include "sesamepaddle/moves/move_record.h"
#include "sesamepaddle/moves/route_evidence.h"
#include "sesamepaddle/moves/traffic_ramp.h"
#include "sesamepaddle/moves/usual_latency.h"
#include "sesamepaddle/moves/version_comparison.h"
#include "sesamepaddle/moves/version_move.h"

#endif
