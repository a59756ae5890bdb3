/// Module admission: what this VM may admit and repeat on behalf of the fleet.
///
/// A workspace's rate and burst and a service's retries are bounded over all
/// VMs together. Each VM decides alone, from what the others last told it.
/// Knows no socket and takes the time as an argument.
/// Uses core and shares (token bucket).
#ifndef SESAMEPADDLE_ADMISSION_ADMISSION_H
#define SESAMEPADDLE_ADMISSION_ADMISSION_H

#include "sesamepaddle/admission/attempt_budget.h"
#include "sesamepaddle/admission/demand_quota.h"

#endif
