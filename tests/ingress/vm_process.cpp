#include "ingress/vm_process.h"

#include "ingress/ingress_fixture.h"
#include "sesamepaddle/core/memory.h"
#include "sesamepaddle/net/http_server.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <stdexcept>
#include <sys/prctl.h>
#include <sys/resource.h>
#include <sys/wait.h>
#include <unistd.h>

namespace sesamepaddle {

namespace {

using std::chrono::milliseconds;

constexpr const char *AddressesVariable = "SESAMEPADDLE_TEST_VM";
constexpr milliseconds StartTime{20'000};
// A VM that has taken no byte for this long takes no more.
constexpr milliseconds SendPause{1'500};
// Small, so that answers stay in the VM.
constexpr int ReceiveBytes = 16 * 1024;

/** Reserves a port that a listener of another process can bind. */
tcp::endpoint reserve(tcp::socket &Socket) {
  Socket.open(tcp::v4());
  Socket.set_option(asio::socket_base::reuse_address(true));
  Socket.bind({asio::ip::address_v4::loopback(), 0});
  return Socket.local_endpoint();
}

/** Runs the VM until the process is killed. */
void runVm(const std::string &Addresses) {
  std::istringstream Parts(Addresses);
  std::string Callers;
  std::string Readiness;
  std::string Endpoint;
  Parts >> Callers >> Readiness >> Endpoint;
  ::prctl(PR_SET_PDEATHSIG, SIGKILL);
  const rlimit Files{vm_process::Descriptors, vm_process::Descriptors};
  ::setrlimit(RLIMIT_NOFILE, &Files);
  returnLargeBlocks();
  asio::io_context Context{1};
  worker_pool Pool(Context);
  auto Options = makeFixtureOptions();
  Options.Vm.CallerAddress = Callers;
  Options.Vm.ReadinessAddress = Readiness;
  Options.Bounds.MemoryBytes = vm_process::MemoryBytes;
  Options.Bounds.Descriptors = vm_process::Descriptors;
  const auto Node = ingress_node::start(Pool, std::move(Options));
  if (!Node.ok())
    throw std::runtime_error(Node.status().ToString());
  (*Node)->fleet().setConfiguration(makeFixtureConfiguration());
  (*Node)->fleet().endpoints().apply(makeFixtureRecord(0, Endpoint),
                                     boot_clock::now());
  Context.run();
}

} // namespace

// Not a test: vm_process starts the program anew with this case only.
TEST_CASE("the VM of a crowd test" * doctest::skip()) {
  if (const char *Addresses = std::getenv(AddressesVariable))
    runVm(Addresses);
}

vm_process::vm_process(scripted_endpoint::script Script)
    : Endpoint(Context, std::move(Script)), CallerPort(Context),
      ReadinessPort(Context), Callers(reserve(CallerPort)),
      Readiness(reserve(ReadinessPort)) {
  const std::string Variable =
      std::string(AddressesVariable) + "=" + formatEndpoint(Callers) + " " +
      formatEndpoint(Readiness) + " " + Endpoint.address();
  Process = ::fork();
  if (Process == 0) {
    ::closefrom(STDERR_FILENO + 1);
    const char *Arguments[] = {"test", "-tc=the VM of a crowd test",
                               "--no-skip", nullptr};
    const char *Environment[] = {Variable.c_str(), nullptr};
    ::execve("/proc/self/exe", const_cast<char **>(Arguments),
             const_cast<char **>(Environment));
    ::_exit(1);
  }
  Thread = std::thread([this] { Context.run(); });
  const auto Until = boot_clock::now() + StartTime;
  boost::system::error_code Error;
  do {
    std::this_thread::sleep_for(milliseconds(20));
    tcp::socket Probe(Context);
    Probe.connect(Callers, Error);
  } while (Error && boot_clock::now() < Until);
  REQUIRE_FALSE(Error);
}

vm_process::~vm_process() {
  if (Process > 0) {
    ::kill(Process, SIGKILL);
    ::waitpid(Process, nullptr, 0);
  }
  Context.stop();
  Thread.join();
}

bool vm_process::isAlive() {
  if (Process > 0 && ::waitpid(Process, nullptr, WNOHANG) != 0)
    Process = -1;
  return Process > 0;
}

std::size_t vm_process::peakBytes() const {
  std::ifstream File("/proc/" + std::to_string(Process) + "/status");
  std::string Line;
  constexpr std::string_view Name = "VmHWM:";
  while (std::getline(File, Line))
    if (Line.starts_with(Name))
      return std::stoul(Line.substr(Name.size())) * 1024;
  return 0;
}

std::size_t vm_process::descriptors() const {
  std::error_code Error;
  const std::filesystem::directory_iterator Files(
      "/proc/" + std::to_string(Process) + "/fd", Error);
  return static_cast<std::size_t>(
      std::distance(begin(Files), std::filesystem::directory_iterator()));
}

client_crowd::client_crowd(const tcp::endpoint &Server, std::size_t Count) {
  for (std::size_t Number = 0; Number < Count; ++Number) {
    auto Socket = std::make_unique<tcp::socket>(Context, tcp::v4());
    boost::system::error_code Error;
    Socket->set_option(asio::socket_base::receive_buffer_size(ReceiveBytes));
    Socket->connect(Server, Error);
    Socket->non_blocking(true, Error);
    Sockets.push_back(std::move(Socket));
  }
}

void client_crowd::send(const std::string &Bytes, std::size_t PieceBytes) {
  std::vector<std::size_t> Sent(Sockets.size(), 0);
  auto Until = boot_clock::now() + SendPause;
  for (bool IsOpen = true; IsOpen && boot_clock::now() < Until;) {
    IsOpen = false;
    for (std::size_t Index = 0; Index < Sockets.size(); ++Index) {
      if (Sent[Index] == Bytes.size())
        continue;
      boost::system::error_code Error;
      const auto Count = Sockets[Index]->write_some(
          asio::buffer(Bytes.data() + Sent[Index],
                       std::min(PieceBytes, Bytes.size() - Sent[Index])),
          Error);
      const bool IsWaiting =
          Error == asio::error::would_block || Error == asio::error::try_again;
      Sent[Index] = Error && !IsWaiting ? Bytes.size() : Sent[Index] + Count;
      IsOpen = IsOpen || Sent[Index] < Bytes.size();
      if (Count > 0)
        Until = boot_clock::now() + SendPause;
    }
  }
}

} // namespace sesamepaddle
