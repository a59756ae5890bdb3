#include "command_line/status_table.h"
#include "process/child_process.h"

#include <doctest/doctest.h>

#include <string>
#include <vector>

using namespace sesamepaddle;

namespace {

using words = std::vector<std::string>;

bool contains(const std::string &Text, const std::string &Part) {
  return Text.find(Part) != std::string::npos;
}

run_result run(words Arguments) {
  return runToEnd("sesamepaddle", std::move(Arguments));
}

const std::string Examples = SESAMEPADDLE_EXAMPLES;

} // namespace

TEST_CASE("the help texts describe the commands") {
  SUBCASE("as an overview") {
    const auto Help = run({"--help"});
    CHECK(Help.ExitCode == 0);
    for (const char *Command : {"serve", "check", "document propose",
                                "document sign", "status", "drain"})
      CHECK_MESSAGE(contains(Help.Output, Command), Command);
    CHECK(contains(Help.Output, "Exit codes"));
  }
  SUBCASE("each command by itself") {
    for (const words &Command :
         {words{"serve"}, words{"check"}, words{"document", "propose"},
          words{"document", "sign"}, words{"document", "show"},
          words{"document", "status"}, words{"status"}, words{"drain"}}) {
      words Arguments = Command;
      Arguments.push_back("--help");
      const auto Help = run(Arguments);
      CHECK(Help.ExitCode == 0);
      CHECK(Help.Output.starts_with("Usage: sesamepaddle " + Command.front()));
      CHECK(contains(Help.Output, "Options:"));
    }
  }
}

TEST_CASE("wrong usage ends with exit code 2") {
  CHECK(run({}).ExitCode == 2);
  CHECK(run({"paddle"}).ExitCode == 2);
  CHECK(run({"document"}).ExitCode == 2);
  CHECK(run({"serve"}).ExitCode == 2);
  CHECK(run({"serve", "--settings"}).ExitCode == 2);
  CHECK(run({"check"}).ExitCode == 2);
  CHECK(run({"check", "--colour", "red"}).ExitCode == 2);
  CHECK(run({"check", "stray"}).ExitCode == 2);
}

TEST_CASE("check accepts the examples") {
  for (const char *File : {"quispe-vm.yaml", "strihova-vm.yaml"})
    CHECK_MESSAGE(
        run({"check", "--settings", Examples + "/settings/" + File}).ExitCode ==
            0,
        File);
  for (const char *File : {"pedidos.yaml", "tabulka.yaml"})
    CHECK_MESSAGE(run({"check", "--document", Examples + "/documents/" + File})
                          .ExitCode == 0,
                  File);
}

TEST_CASE("commands for a VM that does not answer fail") {
  const std::string Nobody = reserveAddress("127.0.0.1");
  CHECK(run({"status", "--control", Nobody}).ExitCode == 1);
  CHECK(run({"drain", "--control", Nobody}).ExitCode == 1);
  CHECK(run({"status", "--control", "localhost:1"}).ExitCode == 1);
}

TEST_CASE("a status is formatted as tables") {
  const auto Text = formatStatusTable(
      R"({"name":"vm-a1","leaving":false,"vms":[{"name":"vm-a2","leaving":true},)"
      R"({"name":"vm-b1"}],"documents":[],"platform":{"reached":true,"lag":12.58925}})");
  REQUIRE(Text);
  CHECK(*Text == "name                vm-a1\n"
                 "leaving             no\n"
                 "documents           none\n"
                 "\nvms\n"
                 "  name   leaving\n"
                 "  vm-a2  yes\n"
                 "  vm-b1  -\n"
                 "\nplatform\n"
                 "  reached  lag\n"
                 "  yes      12.59\n");
  CHECK_FALSE(formatStatusTable("no JSON"));
  CHECK_FALSE(formatStatusTable("[]"));
}
