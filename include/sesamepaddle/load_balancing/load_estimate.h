#ifndef SESAMEPADDLE_LOAD_BALANCING_LOAD_ESTIMATE_H
#define SESAMEPADDLE_LOAD_BALANCING_LOAD_ESTIMATE_H

#include "sesamepaddle/load_balancing/endpoint_registry.h"

namespace sesamepaddle {

/** The load that a VM expects an endpoint to have now. */
struct load_estimate {
  double Requests = 0;  ///< running and waiting
  double Deviation = 0; ///< standard deviation of Requests
  /** Weight of the endpoint's own report in Requests, in [0, 1]; it falls with
      the age of the report. The rest is what the VMs told each other. */
  double ReportWeight = 0;
};

/** Estimates the load of @p Endpoint from its last report, from what this VM
    has sent it and got back since, and from what the other VMs told. */
load_estimate estimateLoad(const fleet_endpoint &Endpoint, time_point Now);

} // namespace sesamepaddle

#endif
