#include "lab_command.h"
#include "load/load_run.h"
#include "sesamepaddle/net/http_server.h"

#include <array>
#include <fstream>
#include <iostream>
#include <optional>
#include <sstream>

namespace sesamepaddle {

namespace {

constexpr std::array<lab_option, 13> Options = {
    {{"lookup", "127.0.0.1:8080", "an entry VM's address for look-ups"},
     {"service", "", "the service to call"},
     {"path", "/", "the path below the service"},
     {"method", "GET", "the method"},
     {"body", "", "the body"},
     {"key", "", "key that requests carry when no plan is given"},
     {"workspace", "", "workspace that look-ups ask for"},
     {"plan", "", "YAML file with workspaces and scheduled faults"},
     {"rate", "50", "mean requests per second of all workspaces"},
     {"seconds", "10", "time for which requests are sent, in seconds"},
     {"seed", "1", "seed of the arrival times"},
     {"accept", "200",
      "kind of answer that all requests must get for exit code 0"},
     {"csv", "false", "true: CSV instead of a table"}}};

/** Reads the plan file; without one, a single workspace sends everything.
    @returns nothing when the plan has mistakes, which it prints. */
std::optional<load_plan> readPlanOption(const lab_options &Given) {
  const std::string &Path = Given.text("plan");
  if (Path.empty())
    return load_plan{{{"all", Given.text("key"), 1}}, {}};
  const std::ifstream File(Path);
  std::ostringstream Text;
  Text << File.rdbuf();
  yaml_errors Errors;
  auto Plan = parseLoadPlan(Text.str(), Path, Errors);
  for (const auto &Error : Errors)
    std::cerr << Error.describe() << "\n";
  return Plan;
}

load_options readOptions(const lab_options &Given,
                         const tcp::endpoint &Source) {
  load_options Options;
  Options.LookupSource = Source;
  Options.Method = Given.text("method");
  Options.Target = "/services/" + Given.text("service") + Given.text("path");
  Options.Body = Given.text("body");
  Options.RatePerSecond = Given.number("rate");
  Options.Seconds = Given.number("seconds");
  Options.Seed = static_cast<std::uint64_t>(Given.number("seed"));
  if (!Given.text("workspace").empty())
    Options.LookupTarget = "/lookup?service=" + Given.text("service") +
                           "&workspace=" + Given.text("workspace");
  return Options;
}

} // namespace

int runLoadCommand(std::span<char *const> Arguments) {
  int ExitCode = 0;
  const auto Given = lab_options::parse(Arguments, Options, ExitCode);
  if (!Given)
    return ExitCode;
  const auto Source = parseEndpoint(Given->text("lookup"));
  if (!Source.ok()) {
    std::cerr << Source.status().message() << "\n";
    return 2;
  }
  const auto Plan = readPlanOption(*Given);
  if (!Plan || Given->number("rate") <= 0)
    return 2;
  const latency_report Report =
      load_run(readOptions(*Given, *Source), *Plan).run();
  if (Given->flag("csv"))
    Report.printCsv(std::cout);
  else
    Report.printTable(std::cout);
  const bool AllAccepted =
      Report.count() > 0 &&
      Report.count(Given->text("accept")) == Report.count();
  return AllAccepted ? 0 : 1;
}

} // namespace sesamepaddle
