/// The commands of sesamepaddle-lab: stand-ins for the systems that the product
/// depends on, a load generator and measurements. Not part of the product.
#ifndef SESAMEPADDLE_LAB_LAB_COMMAND_H
#define SESAMEPADDLE_LAB_LAB_COMMAND_H

#include <functional>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace sesamepaddle {

/** A command of sesamepaddle-lab. */
struct lab_command {
  std::string_view Name;
  std::string_view Brief; ///< one line for the overview of commands
  /** Runs the command; the first argument is its name. @returns the exit code
      of the process. */
  std::function<int(std::span<char *const>)> Run;
};

/** One option of a lab command. Every option takes a value. */
struct lab_option {
  std::string_view Name;    ///< without the leading dashes
  std::string_view Default; ///< value when the option is absent
  std::string_view Help;
};

/** Values of a lab command's options, parsed from the command line.

    text(), number() and flag() accept only names that were passed to parse().
*/
class lab_options {
public:
  /** Parses options with getopt_long.
      @returns the options, or nothing when help was printed or an option is
      invalid; the process must then exit with @p ExitCode. */
  static std::optional<lab_options> parse(std::span<char *const> Arguments,
                                          std::span<const lab_option> Known,
                                          int &ExitCode);

  const std::string &text(std::string_view Name) const;

  /** @returns the value as a number, or 0 when it is not one. */
  double number(std::string_view Name) const;

  /** @returns true when the value is "true". */
  bool flag(std::string_view Name) const { return text(Name) == "true"; }

private:
  std::map<std::string, std::string, std::less<>> Values;
};

/** @returns all commands in the order in which the overview lists them. */
std::vector<lab_command> allLabCommands();

// Each runs one command, as lab_command::Run describes.
int runPlatformCommand(std::span<char *const> Arguments);
int runUpstreamCommand(std::span<char *const> Arguments);
int runLoadCommand(std::span<char *const> Arguments);
int runPutCommand(std::span<char *const> Arguments);
int runMeasureCommand(std::span<char *const> Arguments);

/** Blocks until SIGTERM or SIGINT. */
void waitForStopSignal();

} // namespace sesamepaddle

#endif
