/// Module command_line: the subcommands of the sesamepaddle binary.
///
/// Depends on all other modules.
#ifndef SESAMEPADDLE_COMMAND_LINE_COMMAND_LINE_H
#define SESAMEPADDLE_COMMAND_LINE_COMMAND_LINE_H

#include <span>

namespace sesamepaddle {

/** The exit codes of the binary. */
enum class exit_code {
  Success = 0,
  Failure = 1,        ///< the command was valid but failed
  Usage = 2,          ///< unknown command or option
  InvalidInput = 3,   ///< errors in settings or a document
  Conflict = 4,       ///< a concurrent change or another open proposal; read
                      ///< the document again
  OutcomeUnknown = 5, ///< unknown whether the platform applied a write
  RequestsCut = 6,    ///< the drain limit passed while requests were running
};

/** Runs the command that @p Arguments, the program name first, specify.
    @returns the exit code of the process. */
int runCommandLine(std::span<char *const> Arguments);

} // namespace sesamepaddle

#endif
