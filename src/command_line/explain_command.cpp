#include "command_line/command.h"
#include "command_line/request_explanation.h"

#include <iostream>
#include <string>
#include <vector>

namespace sesamepaddle {

namespace {

constexpr std::string_view Manual =
    R"(Reads the logs of one or more VMs from standard input and explains the outcome of
one request. Prints the request's log line, the VM's earlier lines on the endpoint,
configuration and limit, and the cause in one sentence. Lines of several VMs may be
mixed if the VM's name is the last word before the time of each.

Exit codes: 0 found, 1 no line for the request, 2 wrong usage.
)";

exit_code explain(const option_values &Values) {
  const std::string &Id = Values.at("id");
  std::vector<std::string> Lines;
  for (std::string Line; std::getline(std::cin, Line);)
    Lines.push_back(std::move(Line));
  const auto Explanation = explainRequest(Id, Lines);
  if (!Explanation) {
    std::cerr << "sesamepaddle: no line for request " << Id
              << "; log lines dropped by the VMs: " << countDropped(Lines)
              << "\n";
    return exit_code::Failure;
  }
  for (const auto &Line : Explanation->Lines)
    std::cout << Line << "\n";
  std::cout << "cause: " << Explanation->Cause << "\n";
  return exit_code::Success;
}

} // namespace

command makeExplainCommand() {
  return {"explain",
          "explain the outcome of a request from logs",
          Manual,
          {{"id", "REQUEST", "the request id that the caller set"}},
          explain};
}

} // namespace sesamepaddle
