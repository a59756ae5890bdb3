/// Module rate_limiting: enforces fleet-wide limits, of which each VM owns a
/// part.
///
/// Uses core. Does no I/O and takes the time as an argument.
#ifndef SESAMEPADDLE_RATE_LIMITING_RATE_LIMITING_H
#define SESAMEPADDLE_RATE_LIMITING_RATE_LIMITING_H

#include "sesamepaddle/rate_limiting/domain_ledger.h"
#include "sesamepaddle/rate_limiting/owned_part.h"
#include "sesamepaddle/rate_limiting/share_holder.h"
#include "sesamepaddle/rate_limiting/share_messages.h"
#include "sesamepaddle/rate_limiting/share_pool.h"
#include "sesamepaddle/rate_limiting/share_types.h"
#include "sesamepaddle/rate_limiting/token_bucket.h"
#include "sesamepaddle/rate_limiting/token_cache.h"

#endif
