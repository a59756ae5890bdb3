#include "load/load_plan.h"

#include "sesamepaddle/net/http_server.h"

#include <algorithm>
#include <array>
#include <csignal>

namespace sesamepaddle {

namespace {

constexpr double MaxWeight = 1e6;
constexpr std::chrono::hours MaxFaultTime{24};   // from the start of the run
constexpr std::int64_t MaxProcessId = 4'194'304; // upper limit of Linux

constexpr std::array<std::string_view, 4> SignalNames = {"TERM", "KILL", "STOP",
                                                         "CONT"};
constexpr std::array<int, 4> Signals = {SIGTERM, SIGKILL, SIGSTOP, SIGCONT};

load_workspace readWorkspace(yaml_reader &Reader) {
  load_workspace Workspace;
  Workspace.Name = Reader.requiredName("name");
  Workspace.Key = Reader.optionalText("key", "");
  Workspace.Weight = Reader.requiredNumber("weight", 0, MaxWeight);
  Reader.finish();
  return Workspace;
}

/** Reads the fault of an entry that has the key "signal". */
signal_fault readSignal(yaml_reader &Reader) {
  signal_fault Fault;
  // Process 0 would signal the tool's own process group; process 1 is init.
  const auto Process = Reader.optionalInteger("process", 0, 2, MaxProcessId);
  if (!Reader.has("process"))
    Reader.report("process", "'process' is missing", "the id of a process");
  Fault.Process = static_cast<pid_t>(Process);
  Fault.Signal = Signals[Reader.optionalChoice("signal", SignalNames, 0)];
  return Fault;
}

/** Reads the fault of an entry without the key "signal". */
request_fault readRequest(yaml_reader &Reader) {
  request_fault Fault;
  const auto Server = parseEndpoint(Reader.requiredAddress("address"));
  if (Server.ok())
    Fault.Server = *Server;
  Fault.Target = Reader.optionalText("target", "/faults");
  Fault.Body = Reader.optionalText("body", "");
  return Fault;
}

planned_fault readFault(yaml_reader &Reader) {
  planned_fault Fault;
  Fault.At =
      Reader.optionalDuration("at", std::chrono::milliseconds(0),
                              std::chrono::milliseconds(0), MaxFaultTime);
  if (Reader.has("signal"))
    Fault.Fault = readSignal(Reader);
  else
    Fault.Fault = readRequest(Reader);
  Reader.finish();
  return Fault;
}

void readPlan(yaml_reader &Reader, load_plan &Plan) {
  for (auto &Workspace : Reader.mappings("workspaces", true))
    Plan.Workspaces.push_back(readWorkspace(Workspace));
  for (auto &Fault : Reader.mappings("faults", false))
    Plan.Faults.push_back(readFault(Fault));
  std::ranges::stable_sort(Plan.Faults, {}, &planned_fault::At);
  const bool HasSender = std::ranges::any_of(
      Plan.Workspaces, [](const auto &Each) { return Each.Weight > 0; });
  if (!HasSender)
    Reader.report("workspaces", "no workspace sends requests",
                  "a weight above 0");
}

} // namespace

std::optional<load_plan> parseLoadPlan(std::string_view Text,
                                       std::string_view File,
                                       yaml_errors &Errors) {
  return readYamlFile<load_plan>(Text, File, Errors, readPlan);
}

} // namespace sesamepaddle
