/// Uses parts of the library in a separate program, without sockets: checks a
/// service's document, finds the workspace of a key and counts one request.
#include <sesamepaddle/access/access.h>
#include <sesamepaddle/documents/documents.h>
#include <sesamepaddle/telemetry/metrics.h>

#include <chrono>
#include <fstream>
#include <iostream>
#include <sstream>

namespace {

std::string readFile(const char *Path) {
  std::ostringstream Text;
  Text << std::ifstream(Path).rdbuf();
  return Text.str();
}

} // namespace

int main(int Count, char **Arguments) {
  if (Count != 3) {
    std::cerr << "usage: consumer DOCUMENT KEY\n";
    return 2;
  }
  sesamepaddle::yaml_errors Errors;
  const auto Document = sesamepaddle::parseServiceDocument(
      readFile(Arguments[1]), Arguments[1], Errors);
  for (const auto &Error : Errors)
    std::cerr << Error.describe() << "\n";
  if (!Document)
    return 3;
  sesamepaddle::metrics Metrics;
  const auto Workspace =
      sesamepaddle::key_table(*Document).findWorkspace(Arguments[2]);
  Metrics.add(Workspace.value_or(sesamepaddle::workspace_name("unknown")),
              Workspace ? "known-key" : "unknown-key",
              std::chrono::milliseconds(1));
  std::cout << Document->Service << ": " << Document->Workspaces.size()
            << " workspaces\n"
            << Metrics.jsonSummary() << "\n";
  return 0;
}
