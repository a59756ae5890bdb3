#include "lab_command.h"

#include "sesamepaddle/net/asio.h"

#include <getopt.h>

#include <csignal>
#include <cstdlib>
#include <iostream>

namespace sesamepaddle {

std::vector<lab_command> allLabCommands() {
  return {
      {"platform", "stand-in for table service, object store and VM list",
       runPlatformCommand},
      {"upstream", "stand-in for one endpoint of an upstream",
       runUpstreamCommand},
      {"put", "sends one HTTP request, such as faults for a stand-in",
       runPutCommand},
      {"load", "open-loop load with scheduled faults", runLoadCommand},
      {"measure", "measurements of the decision logic", runMeasureCommand},
  };
}

std::optional<lab_options> lab_options::parse(std::span<char *const> Arguments,
                                              std::span<const lab_option> Known,
                                              int &ExitCode) {
  std::vector<option> Long;
  lab_options Options;
  for (const auto &Option : Known) {
    Long.push_back({Option.Name.data(), required_argument, nullptr, 1});
    Options.Values[std::string(Option.Name)] = Option.Default;
  }
  Long.push_back({"help", no_argument, nullptr, 'h'});
  Long.push_back({nullptr, 0, nullptr, 0});
  optind = 0; // makes glibc reset the state of an earlier parse
  int Index = 0;
  int Found = 0;
  while ((Found = getopt_long(static_cast<int>(Arguments.size()),
                              Arguments.data(), "h", Long.data(), &Index)) !=
         -1) {
    if (Found == 'h') {
      for (const auto &Option : Known)
        std::cout << "  --" << Option.Name << "  " << Option.Help
                  << " (default '" << Option.Default << "')\n";
      ExitCode = 0;
      return std::nullopt;
    }
    if (Found == '?') {
      ExitCode = 2;
      return std::nullopt;
    }
    Options.Values[Long[static_cast<std::size_t>(Index)].name] = optarg;
  }
  return Options;
}

const std::string &lab_options::text(std::string_view Name) const {
  return Values.find(Name)->second;
}

double lab_options::number(std::string_view Name) const {
  return std::strtod(text(Name).c_str(), nullptr);
}

void waitForStopSignal() {
  asio::io_context Context;
  asio::signal_set Signals(Context, SIGTERM, SIGINT);
  Signals.async_wait([](const boost::system::error_code &, int) {});
  Context.run();
}

} // namespace sesamepaddle
