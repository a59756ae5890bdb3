#ifndef SESAMEPADDLE_LAB_LOAD_LOAD_PLAN_H
#define SESAMEPADDLE_LAB_LOAD_LOAD_PLAN_H

#include "sesamepaddle/net/asio.h"
#include "sesamepaddle/settings/yaml_reader.h"

#include <chrono>
#include <optional>
#include <string>
#include <string_view>
#include <sys/types.h>
#include <variant>
#include <vector>

namespace sesamepaddle {

/** A workspace that sends part of the load. */
struct load_workspace {
  std::string Name;
  std::string Key;   ///< sent with each request; empty: none
  double Weight = 1; ///< share of all requests, relative to the others
};

/** A POST request that causes a fault, such as one to a stand-in's /faults. */
struct request_fault {
  tcp::endpoint Server;
  std::string Target;
  std::string Body;
};

/** A signal that the tool sends to a process. */
struct signal_fault {
  pid_t Process = 0;
  int Signal = 0;
};

/** A fault that is injected at a set time of the run. */
struct planned_fault {
  std::chrono::milliseconds At{0}; ///< from the start of the run
  std::variant<request_fault, signal_fault> Fault;
};

/** The workspaces that send requests, and the faults to inject. */
struct load_plan {
  std::vector<load_workspace> Workspaces;
  std::vector<planned_fault> Faults; ///< sorted by time
};

/** Reads a plan from YAML and adds every mistake to @p Errors.
    @param File  the name of the file in error messages
    @returns the plan, or nothing when there was a mistake. */
std::optional<load_plan> parseLoadPlan(std::string_view Text,
                                       std::string_view File,
                                       yaml_errors &Errors);

} // namespace sesamepaddle

#endif
