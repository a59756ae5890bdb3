#include "process/test_bed.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <fcntl.h>
#include <fstream>
#include <sstream>
#include <unistd.h>

using namespace sesamepaddle;

namespace {

/** Redirects the standard error of this process and of its children to a file,
    until it is destroyed. */
class captured_errors {
public:
  explicit captured_errors(std::string Path)
      : Path(std::move(Path)), SavedStderr(::dup(STDERR_FILENO)) {
    const int File = ::open(this->Path.c_str(), O_CREAT | O_WRONLY, 0600);
    ::dup2(File, STDERR_FILENO);
    ::close(File);
  }
  ~captured_errors() {
    ::dup2(SavedStderr, STDERR_FILENO);
    ::close(SavedStderr);
  }
  captured_errors(const captured_errors &) = delete;
  captured_errors &operator=(const captured_errors &) = delete;

  std::string text() const {
    std::ostringstream Text;
    Text << std::ifstream(Path).rdbuf();
    return Text.str();
  }

private:
  std::string Path;
  int SavedStderr;
};

std::size_t countLines(const std::string &Text) {
  return static_cast<std::size_t>(std::ranges::count(Text, '\n'));
}

bool contains(const std::string &Text, const std::string &Part) {
  return Text.find(Part) != std::string::npos;
}

constexpr int InvalidInput = 3; // exit code

} // namespace

TEST_CASE("all mistakes in the settings are reported and nothing starts") {
  const scratch_folder Folder;
  const std::string Control = reserveAddress("127.0.0.1");
  const std::string File = Folder.write(
      "vm.yaml",
      "vm: { name: a, region: lima, failure_domain: lima-a }\n"
      "addresses: { callers: '127.0.0.1:0', peers: here, control: '" +
          Control +
          "' }\nplatform: { address: '127.0.0.1:9', "
          "timeout: 5 }\ncolour: red\npeer_secret_file: none\n");

  SUBCASE("by check") {
    const captured_errors Errors(Folder.path("errors"));
    CHECK(runToEnd("sesamepaddle", {"check", "--settings", File}).ExitCode ==
          InvalidInput);
    const std::string Text = Errors.text();
    CHECK(countLines(Text) == 4);
    CHECK(contains(Text, File + ":2: 'addresses.callers'"));
    CHECK(contains(Text, File + ":2: 'addresses.peers'"));
    CHECK(contains(Text, File + ":3: 'platform.timeout'"));
    CHECK(contains(Text, File + ":4: unknown key 'colour'; accepted: "));
  }
  SUBCASE("by serve, which then binds no address") {
    const captured_errors Errors(Folder.path("errors"));
    CHECK(runToEnd("sesamepaddle", {"serve", "--settings", File}).ExitCode ==
          InvalidInput);
    CHECK(countLines(Errors.text()) == 4);
    CHECK_FALSE(sendRequest(Control, {}, 200).ok());
  }
  SUBCASE("a missing settings file is reported") {
    const captured_errors Errors(Folder.path("errors"));
    CHECK(runToEnd("sesamepaddle",
                   {"serve", "--settings", Folder.path("nothing.yaml")})
              .ExitCode == InvalidInput);
    CHECK(contains(Errors.text(), "nothing.yaml"));
  }
}

TEST_CASE("starting on an address that is in use fails") {
  const scratch_folder Folder;
  const std::string Taken = reserveAddress("127.0.0.1");
  child_process Holder("sesamepaddle-lab", {"upstream", "--listen", Taken});
  REQUIRE(Holder.readLine() == "ready " + Taken);
  const std::string File = Folder.write(
      "vm.yaml",
      "vm: { name: a, region: lima, failure_domain: lima-a }\n"
      "addresses: { callers: '" +
          Taken + "', peers: '" + reserveAddress("127.0.0.1") +
          "', control: '" + reserveAddress("127.0.0.1") +
          "' }\nplatform: { address: '127.0.0.1:9' }\npeer_secret_file: " +
          Folder.write("peer-secret", "secret of the test") + "\n");
  const captured_errors Errors(Folder.path("errors"));
  CHECK(runToEnd("sesamepaddle", {"serve", "--settings", File}).ExitCode == 1);
  CHECK(contains(Errors.text(), "net/listen-failed"));
}
