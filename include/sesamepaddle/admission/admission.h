/// Module admission: how many requests and retries this VM may let through.
///
/// The rate and burst of a workspace and the retries to a service are limited
/// over all VMs together. Each VM decides locally, from the messages that it
/// last received from the others. Does no I/O and takes the time as an
/// argument. Uses core and rate_limiting (token bucket).
#ifndef SESAMEPADDLE_ADMISSION_ADMISSION_H
#define SESAMEPADDLE_ADMISSION_ADMISSION_H

#include "sesamepaddle/admission/attempt_budget.h"
#include "sesamepaddle/admission/demand_quota.h"
#include "sesamepaddle/admission/overload_gate.h"

#endif
