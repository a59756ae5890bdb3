#ifndef SESAMEPADDLE_LAB_UPSTREAM_UPSTREAM_FAULTS_H
#define SESAMEPADDLE_LAB_UPSTREAM_UPSTREAM_FAULTS_H

#include <nlohmann/json_fwd.hpp>

#include <string>

namespace sesamepaddle {

/** Fault that is injected into one request. */
enum class upstream_fault {
  None,
  ResetBeforeReading, ///< currently the same as ResetAfterReading
  ResetAfterReading,  ///< connection reset before the request runs
  ResetAfterRunning,  ///< connection reset after it, before the answer
  ResetMidAnswer,     ///< connection reset after half of the answer
  CutShort,           ///< connection closed after half of the answer
  OverLong,           ///< extra bytes follow the answer
  Repeated,           ///< the answer is sent twice
  Late,               ///< the answer is sent after LateMilliseconds
};

/** Faults that are currently injected; set through POST /faults. */
struct upstream_faults {
  upstream_fault Fault = upstream_fault::None;
  long Count = -1; ///< number of requests with Fault; negative: all
  long LateMilliseconds = 1'000;
  std::string CrashBody;    ///< a request with this body ends the process
  bool IsShedding = false;  ///< every request is shed
  long ClaimedRunning = -1; ///< load that GET /load reports; negative: actual
};

/** Sets all faults from @p Json; those that it doesn't name get their defaults.
    @returns false, with nothing changed, when @p Json is not an object or its
    fault is unknown. */
bool updateFaults(upstream_faults &Faults, const nlohmann::json &Json);

} // namespace sesamepaddle

#endif
