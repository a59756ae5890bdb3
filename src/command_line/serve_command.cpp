#include "command_line/command.h"
#include "sesamepaddle/entry/entry_vm.h"
#include "sesamepaddle/net/asio.h"
#include "sesamepaddle/telemetry/log.h"

#include <csignal>
#include <iostream>
#include <thread>

namespace sesamepaddle {

namespace {

constexpr std::string_view Manual =
    R"(Runs an entry VM until SIGTERM or SIGINT. The settings are validated completely
before anything starts; sesamepaddle check reports the same errors.

On a signal the VM is no longer returned by look-ups, keeps serving until the
time to live of earlier look-ups has passed, finishes running requests and exits. A
second signal has no effect. Logs go to standard error.

Exit codes: 0 stopped with all requests finished, 1 an address can't be bound, 3
errors in the settings and nothing was started, 6 requests were cut at the drain limit.
)";

exit_code serve(const option_values &Values) {
  const std::string &Path = Values.at("settings");
  const auto Text = readFile(Path);
  if (!Text)
    return exit_code::InvalidInput;
  yaml_errors Errors;
  const auto Settings = parseVmSettings(*Text, Path, Errors);
  for (const auto &Error : Errors)
    std::cerr << Error.describe() << "\n";
  if (!Settings)
    return exit_code::InvalidInput;
  configureLogs(Settings->LogLevel, Settings->LogLayout);

  asio::io_context SignalContext;
  asio::signal_set Signals(SignalContext, SIGTERM, SIGINT);
  const auto Vm = entry_vm::start(*Settings);
  if (!Vm.ok())
    return reportFailure(Vm.status());
  Signals.async_wait([&](const boost::system::error_code &Error, int) {
    if (!Error)
      (*Vm)->requestStop();
  });
  std::thread SignalThread([&] { SignalContext.run(); });
  const stop_result Result = (*Vm)->waitUntilStopped();
  SignalContext.stop();
  SignalThread.join();
  return Result == stop_result::Graceful ? exit_code::Success
                                         : exit_code::RequestsCut;
}

} // namespace

command makeServeCommand() {
  return {"serve",
          "run an entry VM",
          Manual,
          {{"settings", "FILE", "the VM's settings in YAML"}},
          serve};
}

} // namespace sesamepaddle
