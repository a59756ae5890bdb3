#ifndef SESAMEPADDLE_ENTRY_VERSION_EVIDENCE_H
#define SESAMEPADDLE_ENTRY_VERSION_EVIDENCE_H

#include "absl/status/statusor.h"
#include "entry/accepted_request.h"
#include "sesamepaddle/moves/moves.h"
#include "sesamepaddle/upstreams/endpoint_set.h"

namespace sesamepaddle {

/** @returns the result of one call to an endpoint as a sample of the version
    that runs there. A shed request is no failure: it shows that the endpoint is
    full, not that the version is faulty.
    @param Elapsed  the duration of the call */
version_sample makeVersionSample(const absl::StatusOr<http_reply> &Reply,
                                 const accepted_request &Accepted,
                                 const endpoint_state &Endpoint,
                                 duration Elapsed);

} // namespace sesamepaddle

#endif
