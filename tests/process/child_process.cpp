#include "process/child_process.h"

#include "sesamepaddle/net/asio.h"
#include "sesamepaddle/net/http_server.h"

#include <csignal>
#include <cstdlib>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <stdexcept>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

namespace sesamepaddle {

namespace {

std::string binaryPath(const std::string &Program) {
  const char *Folder = std::getenv("SESAMEPADDLE_BINARIES");
  return std::string(Folder == nullptr ? "." : Folder) + "/" + Program;
}

} // namespace

child_process::child_process(const std::string &Program,
                             std::vector<std::string> Arguments) {
  int Pipe[2];
  if (::pipe2(Pipe, O_CLOEXEC) != 0)
    throw std::runtime_error("can't create a pipe");
  const std::string Path = binaryPath(Program);
  std::vector<char *> Words = {const_cast<char *>(Path.c_str())};
  for (auto &Argument : Arguments)
    Words.push_back(Argument.data());
  Words.push_back(nullptr);
  Process = ::fork();
  if (Process == 0) {
    // Ends the program also when the test itself is killed.
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    ::dup2(Pipe[1], STDOUT_FILENO);
    ::execv(Path.c_str(), Words.data());
    ::_exit(127);
  }
  ::close(Pipe[1]);
  Output = Pipe[0];
  if (Process < 0)
    throw std::runtime_error("can't start " + Path);
}

child_process::child_process(child_process &&Other) noexcept
    : Process(std::exchange(Other.Process, -1)),
      Output(std::exchange(Other.Output, -1)) {}

child_process::~child_process() {
  if (Process > 0) {
    ::kill(Process, SIGCONT);
    ::kill(Process, SIGKILL);
    ::waitpid(Process, nullptr, 0);
  }
  if (Output >= 0)
    ::close(Output);
}

void child_process::signal(int Number) const { ::kill(Process, Number); }

int child_process::wait() {
  int Status = 0;
  ::waitpid(Process, &Status, 0);
  Process = -1;
  return WIFEXITED(Status) ? WEXITSTATUS(Status) : -1;
}

std::string child_process::readLine() {
  std::string Line;
  char Character = 0;
  while (::read(Output, &Character, 1) == 1 && Character != '\n')
    Line += Character;
  return Line;
}

std::string child_process::readAll() {
  std::string Text;
  char Buffer[4096];
  ssize_t Count = 0;
  while ((Count = ::read(Output, Buffer, sizeof Buffer)) > 0)
    Text.append(Buffer, static_cast<std::size_t>(Count));
  return Text;
}

run_result runToEnd(const std::string &Program,
                    std::vector<std::string> Arguments) {
  child_process Child(Program, std::move(Arguments));
  std::string Output = Child.readAll();
  return {Child.wait(), std::move(Output)};
}

// The port stays bound, without listening, until this process ends. The kernel
// then doesn't assign it to a program that asks for any free port, but a
// program that binds it by number with SO_REUSEADDR can listen on it, also
// after a restart.
std::string reserveAddress(const std::string &Ip) {
  static asio::io_context Context;
  static std::vector<tcp::socket> ReservedSockets;
  tcp::socket Socket(Context, tcp::v4());
  Socket.set_option(asio::socket_base::reuse_address(true));
  ::fcntl(Socket.native_handle(), F_SETFD, FD_CLOEXEC);
  Socket.bind({asio::ip::make_address(Ip), 0});
  ReservedSockets.push_back(std::move(Socket));
  return formatEndpoint(ReservedSockets.back().local_endpoint());
}

scratch_folder::scratch_folder() {
  std::string Pattern =
      (std::filesystem::temp_directory_path() / "sesamepaddle-XXXXXX").string();
  if (::mkdtemp(Pattern.data()) == nullptr)
    throw std::runtime_error("can't create a folder for the test");
  Root = Pattern;
}

scratch_folder::~scratch_folder() {
  std::error_code Ignored;
  std::filesystem::remove_all(Root, Ignored);
}

std::string scratch_folder::write(const std::string &Name,
                                  const std::string &Text) const {
  std::ofstream(path(Name)) << Text;
  return path(Name);
}

std::string scratch_folder::path(const std::string &Name) const {
  return Root + "/" + Name;
}

} // namespace sesamepaddle
