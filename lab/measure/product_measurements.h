#ifndef SESAMEPADDLE_LAB_MEASURE_PRODUCT_MEASUREMENTS_H
#define SESAMEPADDLE_LAB_MEASURE_PRODUCT_MEASUREMENTS_H

#include "measure/measurement.h"

namespace sesamepaddle {

/** Processor time and heap use of single operations. */
measurement makeCostsMeasurement();

/** Latency of requests through a running entry VM, and lookups per core. */
measurement makePathMeasurement();

/** Processor time of an ingress VM for each kind of answer. */
measurement makeIngressMeasurement();

} // namespace sesamepaddle

#endif
