#include "upstream/upstream_faults.h"

#include <nlohmann/json.hpp>

#include <map>

namespace sesamepaddle {

bool updateFaults(upstream_faults &Faults, const nlohmann::json &Json) {
  static const std::map<std::string, upstream_fault> Names = {
      {"none", upstream_fault::None},
      {"reset-before-reading", upstream_fault::ResetBeforeReading},
      {"reset-after-reading", upstream_fault::ResetAfterReading},
      {"reset-after-running", upstream_fault::ResetAfterRunning},
      {"reset-mid-answer", upstream_fault::ResetMidAnswer},
      {"cut-short", upstream_fault::CutShort},
      {"over-long", upstream_fault::OverLong},
      {"repeated", upstream_fault::Repeated},
      {"late", upstream_fault::Late}};
  if (!Json.is_object())
    return false;
  const auto Name = Names.find(Json.value("fault", std::string("none")));
  if (Name == Names.end())
    return false;
  Faults.Fault = Name->second;
  Faults.Count = Json.value("count", -1L);
  Faults.LateMilliseconds = Json.value("late_ms", 1'000L);
  Faults.CrashBody = Json.value("crash_body", std::string());
  Faults.IsShedding = Json.value("shedding", false);
  Faults.ClaimedRunning = Json.value("claimed_running", -1L);
  return true;
}

} // namespace sesamepaddle
