#include "command_line/command.h"
#include "platform/ingress_process.h"

#include <iostream>

namespace sesamepaddle {

namespace {

constexpr std::string_view Manual =
    R"(Runs a VM on the users' platform until SIGTERM. The settings are the YAML file that
the platform creates from deploy/settings.yaml; without --settings, the path is taken
from SESAMEPADDLE_SETTINGS. SIGHUP reloads the file.

On SIGTERM the VM is no longer returned to callers, keeps serving those that may still
use it, and exits. Logs go to standard error; docs/OPERATIONS.md explains them.

Exit codes: 0 drained, 1 an address can't be bound, 3 errors in the settings.
)";

exit_code runIngressCommand(const option_values &Values) {
  const auto Path =
      optionOr(Values, "settings", adapter::settingsPathFromEnvironment());
  if (Path.empty()) {
    std::cerr << "sesamepaddle ingress: no settings: give --settings FILE or "
                 "set SESAMEPADDLE_SETTINGS\n";
    return exit_code::Usage;
  }
  const auto Status = adapter::runIngress(Path);
  return Status.ok() ? exit_code::Success : reportFailure(Status);
}

} // namespace

command makeIngressCommand() {
  return {"ingress",
          "run a VM on the users' platform",
          Manual,
          {{"settings", "FILE", "the VM's settings in YAML", false}},
          runIngressCommand};
}

} // namespace sesamepaddle
