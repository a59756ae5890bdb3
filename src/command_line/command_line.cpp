#include "sesamepaddle/command_line/command_line.h"

#include "command_line/command.h"

#include <algorithm>
#include <iostream>

namespace sesamepaddle {

namespace {

std::vector<command> allCommands() {
  std::vector<command> Commands;
  Commands.push_back(makeServeCommand());
  Commands.push_back(makeIngressCommand());
  Commands.push_back(makeCheckCommand());
  for (auto &Command : makeDocumentCommands())
    Commands.push_back(std::move(Command));
  Commands.push_back(makeStatusCommand());
  Commands.push_back(makeDrainCommand());
  Commands.push_back(makeExplainCommand());
  return Commands;
}

void printOverview(std::ostream &Stream, std::span<const command> Commands) {
  Stream << "Usage: sesamepaddle COMMAND [options]\n\n"
            "Steers callers to entry VMs and their requests to upstreams.\n\n"
            "Commands:\n";
  constexpr std::size_t BriefColumn = 20;
  for (const auto &Command : Commands) {
    std::string Name(Command.Name);
    Name.resize(std::max(BriefColumn, Name.size() + 2), ' ');
    Stream << "  " << Name << Command.Brief << "\n";
  }
  Stream
      << "\nExit codes: 0 success, 1 failed, 2 wrong usage, 3 errors in "
         "settings or a document,\n4 conflict with another change, 5 outcome "
         "of a write unknown, 6 requests cut at the\ndrain limit.\n"
         "See sesamepaddle COMMAND --help for a command's manual.\n";
}

/** @returns how many words at the start of @p Arguments are the name of
    @p Command, or 0 when they name another command. */
std::size_t countNameWords(const command &Command,
                           std::span<char *const> Arguments) {
  const auto Space = Command.Name.find(' ');
  if (Space == std::string_view::npos)
    return Command.Name == Arguments[0] ? 1 : 0;
  const bool IsNamed = Arguments.size() > 1 &&
                       Command.Name.substr(0, Space) == Arguments[0] &&
                       Command.Name.substr(Space + 1) == Arguments[1];
  return IsNamed ? 2 : 0;
}

} // namespace

int runCommandLine(std::span<char *const> Arguments) {
  const std::vector<command> Commands = allCommands();
  const auto Words =
      Arguments.subspan(std::min<std::size_t>(1, Arguments.size()));
  if (Words.empty()) {
    printOverview(std::cerr, Commands);
    return static_cast<int>(exit_code::Usage);
  }
  if (std::string_view(Words[0]) == "--help") {
    printOverview(std::cout, Commands);
    return static_cast<int>(exit_code::Success);
  }
  for (const auto &Command : Commands) {
    const std::size_t Count = countNameWords(Command, Words);
    if (Count == 0)
      continue;
    exit_code Result = exit_code::Usage;
    // getopt_long skips the first argument, here the last word of the name.
    const auto Values = parseOptions(Command, Words.subspan(Count - 1), Result);
    return static_cast<int>(Values ? Command.Run(*Values) : Result);
  }
  std::cerr << "sesamepaddle: unknown command '" << Words[0] << "'\n";
  printOverview(std::cerr, Commands);
  return static_cast<int>(exit_code::Usage);
}

} // namespace sesamepaddle
