#ifndef SESAMEPADDLE_TESTS_PROCESS_CHILD_PROCESS_H
#define SESAMEPADDLE_TESTS_PROCESS_CHILD_PROCESS_H

#include <string>
#include <sys/types.h>
#include <vector>

namespace sesamepaddle {

/** A program started by a test; the destructor kills it. */
class child_process {
public:
  /** Starts @p Program from the folder in SESAMEPADDLE_BINARIES, or from the
      current folder. Its standard output is read through a pipe; it inherits
      the standard error of the test. Throws std::runtime_error when no process
      can be started. */
  child_process(const std::string &Program, std::vector<std::string> Arguments);
  ~child_process();
  child_process(child_process &&Other) noexcept;
  child_process(const child_process &) = delete;
  child_process &operator=(const child_process &) = delete;
  child_process &operator=(child_process &&) = delete;

  /** Sends a signal, such as SIGTERM. */
  void signal(int Number) const;

  /** @returns the process id. */
  pid_t id() const { return Process; }

  /** Waits until the process ends.
      @returns the exit code, or -1 when a signal ended the process. */
  int wait();

  /** Reads one line of the standard output, without the line break; empty at
      the end. */
  std::string readLine();

  /** Reads the standard output to its end. */
  std::string readAll();

private:
  pid_t Process = -1; ///< -1: none, or waited for
  int Output = -1;    ///< read end of the pipe
};

/** Result of a program that ran to its end. */
struct run_result {
  int ExitCode;
  std::string Output;
};

/** Runs a program and waits until it ends. */
run_result runToEnd(const std::string &Program,
                    std::vector<std::string> Arguments);

/** @returns "ip:port" with a port that stays reserved until this process ends.
 */
std::string reserveAddress(const std::string &Ip);

/** A temporary folder for the files of one test; the destructor removes it. */
class scratch_folder {
public:
  scratch_folder();
  ~scratch_folder();
  scratch_folder(const scratch_folder &) = delete;
  scratch_folder &operator=(const scratch_folder &) = delete;

  /** Writes a file. @returns its path. */
  std::string write(const std::string &Name, const std::string &Text) const;

  /** @returns the path of a file in the folder, which need not exist. */
  std::string path(const std::string &Name) const;

private:
  std::string Root;
};

} // namespace sesamepaddle

#endif
