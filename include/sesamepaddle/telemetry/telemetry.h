/// Module telemetry: logs (log4cxx) and latency histograms (Boost.Histogram).
///
/// Depends on core and settings.
#ifndef SESAMEPADDLE_TELEMETRY_TELEMETRY_H
#define SESAMEPADDLE_TELEMETRY_TELEMETRY_H

#include "sesamepaddle/telemetry/log.h"
#include "sesamepaddle/telemetry/metrics.h"

#endif
