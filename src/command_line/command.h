#ifndef SESAMEPADDLE_COMMAND_LINE_COMMAND_H
#define SESAMEPADDLE_COMMAND_LINE_COMMAND_H

#include "absl/status/status.h"
#include "sesamepaddle/command_line/command_line.h"

#include <functional>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace sesamepaddle {

/** An option of a command, as its help text describes it. */
struct option_description {
  std::string_view Name;
  /** Placeholder of the value in the help text; empty for an option without a
      value. */
  std::string_view Value;
  std::string_view Help;
  bool IsRequired = true;
};

/** The values of the given options, by name; empty for an option without a
    value. */
using option_values = std::map<std::string, std::string, std::less<>>;

/** A subcommand of the binary. */
struct command {
  std::string_view Name;   ///< one word, or two for a command of a group
  std::string_view Brief;  ///< one line for the list of commands
  std::string_view Manual; ///< the text between usage and options in --help
  std::vector<option_description> Options;
  std::function<exit_code(const option_values &)> Run;
};

/** @returns the text that --help prints for @p Command. */
std::string helpText(const command &Command);

/** Parses the options of @p Command with getopt_long.
    @param Arguments  the arguments, with the command name first
    @param Result  receives the exit code when nothing is returned
    @returns the values, or nothing when help was printed or an error was
    reported on standard error. */
std::optional<option_values> parseOptions(const command &Command,
                                          std::span<char *const> Arguments,
                                          exit_code &Result);

/** @returns the value of option @p Name, or @p Default when it is not given. */
std::string optionOr(const option_values &Values, std::string_view Name,
                     std::string_view Default);

/** Prints @p Status to standard error.
    @returns the exit code for it. */
exit_code reportFailure(const absl::Status &Status);

/** Reads a whole file; reports an error on standard error.
    @returns its text, or nothing after an error. */
std::optional<std::string> readFile(const std::string &Path);

command makeServeCommand();
command makeIngressCommand();
command makeCheckCommand();
std::vector<command> makeDocumentCommands();
command makeStatusCommand();
command makeDrainCommand();
command makeExplainCommand();

} // namespace sesamepaddle

#endif
