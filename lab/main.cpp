#include "lab_command.h"

#include <cstddef>
#include <iostream>
#include <span>
#include <string_view>

namespace {

using namespace sesamepaddle;

/** Lists all commands. @returns the exit code for wrong usage. */
int printOverview(std::ostream &Stream, std::span<const lab_command> Commands) {
  Stream << "Usage: sesamepaddle-lab COMMAND [options]\n\n"
            "Stand-ins, load and measurements for tests of sesamepaddle.\n\n";
  for (const auto &Command : Commands)
    Stream << "  " << Command.Name << "  " << Command.Brief << "\n";
  return 2;
}

} // namespace

int main(int Count, char **Arguments) {
  const std::vector<lab_command> Commands = allLabCommands();
  const std::span<char *const> Words(Arguments,
                                     static_cast<std::size_t>(Count));
  if (Words.size() < 2)
    return printOverview(std::cerr, Commands);
  if (std::string_view(Words[1]) == "--help") {
    printOverview(std::cout, Commands);
    return 0;
  }
  for (const auto &Command : Commands)
    if (Command.Name == Words[1])
      return Command.Run(Words.subspan(1));
  std::cerr << "sesamepaddle-lab: unknown command '" << Words[1] << "'\n";
  return printOverview(std::cerr, Commands);
}
