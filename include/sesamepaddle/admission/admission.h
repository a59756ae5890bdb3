/// Module admission: how many requests and retries this VM may let through.
///
/// The rate and burst of a workspace and the retries to a service are limited
/// over all VMs together. The tokens of a workspace's limit are made by a few
/// VMs, which the others ask; everything else each VM decides locally. Does no
/// I/O and takes the time as an argument. Uses core, rate_limiting (token
/// bucket) and steering (rendezvous hashing).
#ifndef SESAMEPADDLE_ADMISSION_ADMISSION_H
#define SESAMEPADDLE_ADMISSION_ADMISSION_H

#include "sesamepaddle/admission/attempt_budget.h"
#include "sesamepaddle/admission/overload_gate.h"
#include "sesamepaddle/admission/quota_homes.h"
#include "sesamepaddle/admission/quota_terms.h"
#include "sesamepaddle/admission/workspace_quota.h"

#endif
