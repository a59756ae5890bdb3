#include "command_line/command.h"

#include "sesamepaddle/core/failure.h"
#include "sesamepaddle/core/text.h"
#include "sesamepaddle/documents/failures.h"
#include "sesamepaddle/platform/failures.h"

#include "absl/strings/str_cat.h"

#include <getopt.h>

#include <algorithm>
#include <fstream>
#include <iostream>
#include <sstream>

namespace sesamepaddle {

std::string helpText(const command &Command) {
  std::string Text =
      absl::StrCat("Usage: sesamepaddle ", toAbsl(Command.Name),
                   " [options]\n\n", toAbsl(Command.Manual), "\nOptions:\n");
  for (const auto &Option : Command.Options) {
    std::string Left =
        absl::StrCat("  --", toAbsl(Option.Name), " ", toAbsl(Option.Value));
    constexpr std::size_t HelpColumn = 28;
    Left.resize(std::max(HelpColumn, Left.size() + 2), ' ');
    absl::StrAppend(&Text, Left, toAbsl(Option.Help),
                    Option.IsRequired ? "\n" : " (optional)\n");
  }
  return Text + "  --help                    print this text\n";
}

std::optional<option_values> parseOptions(const command &Command,
                                          std::span<char *const> Arguments,
                                          exit_code &Result) {
  std::vector<option> Long;
  for (const auto &Option : Command.Options)
    Long.push_back({Option.Name.data(),
                    Option.Value.empty() ? no_argument : required_argument,
                    nullptr, 1});
  Long.push_back({"help", no_argument, nullptr, 'h'});
  Long.push_back({nullptr, 0, nullptr, 0});

  option_values Values;
  Result = exit_code::Usage;
  optind = 0; // makes getopt_long of glibc start a new scan
  int Index = 0;
  const auto Count = static_cast<int>(Arguments.size());
  int Found = 0;
  while ((Found = getopt_long(Count, Arguments.data(), "h", Long.data(),
                              &Index)) != -1) {
    if (Found == 'h') {
      std::cout << helpText(Command);
      Result = exit_code::Success;
      return std::nullopt;
    }
    if (Found == '?')
      return std::nullopt;
    Values[Long[static_cast<std::size_t>(Index)].name] =
        optarg == nullptr ? "" : optarg;
  }
  if (optind < Count) {
    std::cerr << "sesamepaddle: unexpected argument '"
              << Arguments[static_cast<std::size_t>(optind)] << "'\n";
    return std::nullopt;
  }
  for (const auto &Option : Command.Options)
    if (Option.IsRequired && !Values.contains(Option.Name)) {
      std::cerr << "sesamepaddle: option --" << Option.Name << " is missing; "
                << "see sesamepaddle " << Command.Name << " --help\n";
      return std::nullopt;
    }
  return Values;
}

std::string optionOr(const option_values &Values, std::string_view Name,
                     std::string_view Default) {
  const auto Found = Values.find(Name);
  return Found == Values.end() ? std::string(Default) : Found->second;
}

exit_code reportFailure(const absl::Status &Status) {
  std::cerr << "sesamepaddle: " << failureName(Status) << ": "
            << Status.message() << "\n";
  if (isFailure(Status, platform_failure::Conflict) ||
      isFailure(Status, document_failure::ProposalOpen))
    return exit_code::Conflict;
  if (isFailure(Status, platform_failure::OutcomeUnknown))
    return exit_code::OutcomeUnknown;
  if (isFailure(Status, document_failure::InvalidText))
    return exit_code::InvalidInput;
  return exit_code::Failure;
}

std::optional<std::string> readFile(const std::string &Path) {
  const std::ifstream File(Path);
  if (!File) {
    std::cerr << "sesamepaddle: can't read " << Path << "\n";
    return std::nullopt;
  }
  std::ostringstream Text;
  Text << File.rdbuf();
  return Text.str();
}

} // namespace sesamepaddle
