#include "command_line/blocking.h"
#include "command_line/command.h"
#include "command_line/status_table.h"
#include "sesamepaddle/net/http_client.h"
#include "sesamepaddle/net/http_server.h"

#include <iostream>

namespace sesamepaddle {

namespace {

const option_description ControlOption = {
    "control", "ADDRESS", "the VM's control address, an IP address and a port"};

awaitable<absl::StatusOr<http_reply>> callControl(tcp::endpoint Address,
                                                  http_request Request) {
  http_client Client;
  co_return co_await Client.call(Address, Request);
}

/** Sends a request to the address in option --control.
    @returns the reply or the failure. */
absl::StatusOr<http_reply> askVm(const option_values &Values,
                                 std::string Method, std::string Target) {
  const auto Address = parseEndpoint(Values.at("control"));
  if (!Address.ok())
    return Address.status();
  http_request Request;
  Request.Method = std::move(Method);
  Request.Target = std::move(Target);
  return runBlocking(callControl(*Address, std::move(Request)));
}

exit_code showStatus(const option_values &Values) {
  const auto Reply = askVm(Values, "GET", "/status");
  if (!Reply.ok())
    return reportFailure(Reply.status());
  if (Values.contains("json") || Reply->Status >= 300) {
    std::cout << Reply->Body;
    return Reply->Status < 300 ? exit_code::Success : exit_code::Failure;
  }
  const auto Table = formatStatusTable(Reply->Body);
  if (!Table) {
    std::cerr << "sesamepaddle: the reply is not a VM's status\n";
    return exit_code::Failure;
  }
  std::cout << *Table;
  return exit_code::Success;
}

exit_code drain(const option_values &Values) {
  const auto Reply = askVm(Values, "POST", "/drain");
  if (!Reply.ok())
    return reportFailure(Reply.status());
  std::cout << Reply->Body;
  return Reply->Status < 300 ? exit_code::Success : exit_code::Failure;
}

constexpr std::string_view StatusManual =
    R"(Prints the state of one VM: whether it reaches the platform, the other VMs, the
documents in force, and latencies by workspace and class (a route and an outcome).
Latencies are upper edges of histogram bins, which are 26% apart.

Exit codes: 0 shown, 1 the VM did not answer, 2 wrong usage.
)";

constexpr std::string_view DrainManual =
    R"(Has the effect of SIGTERM: the VM is no longer returned by look-ups, keeps serving
until the time to live of earlier look-ups has passed, finishes running requests and
exits. Returns at once; a second call has no effect.

Exit codes: 0 the VM is draining, 1 it did not answer, 2 wrong usage.
)";

} // namespace

command makeStatusCommand() {
  return {"status",
          "show the state of a VM",
          StatusManual,
          {ControlOption, {"json", "", "print JSON instead of tables", false}},
          showStatus};
}

command makeDrainCommand() {
  return {
      "drain", "drain a VM and stop it", DrainManual, {ControlOption}, drain};
}

} // namespace sesamepaddle
