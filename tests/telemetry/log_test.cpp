#include "sesamepaddle/telemetry/log.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <cstdio>
#include <poll.h>
#include <string>
#include <unistd.h>

using namespace sesamepaddle;

namespace {

/** Runs @p Write.
    @returns what it wrote to standard error. */
template <typename Function> std::string captureStandardError(Function Write) {
  std::FILE *File = std::tmpfile();
  const int Kept = ::dup(STDERR_FILENO);
  ::dup2(::fileno(File), STDERR_FILENO);
  Write();
  std::fflush(stderr);
  ::dup2(Kept, STDERR_FILENO);
  ::close(Kept);
  std::string Text;
  std::fseek(File, 0, SEEK_END);
  Text.resize(static_cast<std::size_t>(std::ftell(File)));
  std::rewind(File);
  Text.resize(std::fread(Text.data(), 1, Text.size(), File));
  std::fclose(File);
  return Text;
}

bool contains(const std::string &Text, const std::string &Part) {
  return Text.find(Part) != std::string::npos;
}

} // namespace

TEST_CASE("a log line has a time, a level and the name of its component") {
  const std::string Text = captureStandardError([] {
    configureLogs(log_level::Info, log_layout::Text);
    component_log("documents").info("document 3 of pedidos in force");
    component_log("documents").debug("not shown");
  });
  CHECK(contains(Text, " INFO  documents: document 3 of pedidos in force\n"));
  CHECK_FALSE(contains(Text, "not shown"));
}

TEST_CASE("the JSON layout writes one object per line") {
  const std::string Text = captureStandardError([] {
    configureLogs(log_level::Warning, log_layout::Json);
    component_log("entry").warn("a \"quoted\" word");
    component_log("entry").info("not shown");
  });
  CHECK(Text.starts_with("{"));
  CHECK(contains(Text, "\"logger\": \"entry\""));
  CHECK(contains(Text, "\"level\": \"WARN\""));
  CHECK(contains(Text, "a \\\"quoted\\\" word"));
  CHECK_FALSE(contains(Text, "not shown"));
  CHECK(std::count(Text.begin(), Text.end(), '\n') == 1);
}

TEST_CASE("logging does not block when the reader stops reading") {
  int Pipe[2];
  REQUIRE(::pipe(Pipe) == 0);
  configureLogs(log_level::Info, log_layout::Text, Pipe[1]);
  const component_log Log("ingress");
  // Far more than a pipe can hold: a blocking write would never return.
  constexpr int Lines = 5'000;
  for (int Line = 0; Line < Lines; ++Line)
    Log.info("request id=" + std::to_string(Line) + std::string(100, '.'));

  const auto ReadAll = [&] {
    std::string Text;
    char Bytes[4096];
    pollfd Ready{Pipe[0], POLLIN, 0};
    while (::poll(&Ready, 1, 0) == 1 && (Ready.revents & POLLIN) != 0)
      Text.append(Bytes, static_cast<std::size_t>(
                             ::read(Pipe[0], Bytes, sizeof Bytes)));
    return Text;
  };
  const auto Before = ReadAll();
  const auto Kept = std::count(Before.begin(), Before.end(), '\n');
  CHECK(Kept > 0);
  CHECK(Kept < Lines);
  CHECK(Before.ends_with("\n"));

  SUBCASE("the number of dropped lines is logged once there is room") {
    Log.info("after");
    const auto After = ReadAll();
    CHECK(contains(After,
                   "lines left out=" + std::to_string(Lines - Kept) + " "));
    CHECK(contains(After, "ingress: after\n"));
  }

  SUBCASE("a closed pipe does not end the process") {
    ::close(Pipe[0]);
    Pipe[0] = -1;
    Log.info("to nobody");
    CHECK(true);
  }
  configureLogs(log_level::Info, log_layout::Text);
  if (Pipe[0] >= 0)
    ::close(Pipe[0]);
  ::close(Pipe[1]);
}
