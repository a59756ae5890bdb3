/// Module shares: enforces fleet-wide limits, of which each VM owns a part.
///
/// Uses core. Does no I/O and takes the time as an argument.
#ifndef SESAMEPADDLE_SHARES_SHARES_H
#define SESAMEPADDLE_SHARES_SHARES_H

#include "sesamepaddle/shares/domain_ledger.h"
#include "sesamepaddle/shares/owned_part.h"
#include "sesamepaddle/shares/share_holder.h"
#include "sesamepaddle/shares/share_messages.h"
#include "sesamepaddle/shares/share_pool.h"
#include "sesamepaddle/shares/share_types.h"
#include "sesamepaddle/shares/token_bucket.h"
#include "sesamepaddle/shares/token_cache.h"

#endif
