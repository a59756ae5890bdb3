#include "process/child_process.h"
#include "sesamepaddle/net/http_server.h"

#include <doctest/doctest.h>

#include <map>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

using namespace sesamepaddle;
using std::chrono::milliseconds;

namespace {

constexpr milliseconds StallTime{600};

/** An entry VM that names itself in look-ups and answers all requests at once,
    except for one at which its only worker stalls for StallTime. */
class fake_entry_vm {
public:
  /** @param StallAt  number of the request to stall at; -1: none */
  explicit fake_entry_vm(int StallAt = -1) : StallAt(StallAt) {
    Server = std::move(*http_server::start(
        Pool, "127.0.0.1:0",
        [this](const http_exchange &Exchange) -> awaitable<http_reply> {
          co_return answer(Exchange.Request);
        }));
  }

  std::string address() const {
    return formatEndpoint(Server->localEndpoint());
  }

  std::map<std::string, int> CountByKey;
  std::string FaultBody; ///< body of the last request to /faults
  int Requests = 0;

private:
  http_reply answer(const http_request &Request) {
    if (Request.Target == "/lookup")
      return makeJsonReply(200, "{\"entries\":[{\"address\":\"" + address() +
                                    "\",\"weight\":1}],\"fallbacks\":[],"
                                    "\"ttl_ms\":1000}");
    if (Request.Target == "/faults") {
      FaultBody = Request.Body;
      return {};
    }
    ++CountByKey[std::string(findHeader(Request.Headers, "Sesamepaddle-Key"))];
    if (++Requests == StallAt)
      std::this_thread::sleep_for(StallTime);
    return {};
  }

  int StallAt;
  worker_pool Pool{1};
  std::unique_ptr<http_server> Server;
};

/** Runs the load tool against @p Entry. @returns its output as CSV. */
run_result load(const fake_entry_vm &Entry, std::vector<std::string> More) {
  std::vector<std::string> Arguments = {
      "load",    "--lookup", Entry.address(), "--service",
      "pedidos", "--csv",    "true"};
  Arguments.insert(Arguments.end(), More.begin(), More.end());
  return runToEnd("sesamepaddle-lab", std::move(Arguments));
}

/** @returns the cells of the line that begins with @p Start. */
std::vector<std::string> cellsOf(const std::string &Csv,
                                 const std::string &Start) {
  std::istringstream Lines(Csv);
  std::vector<std::string> Cells;
  for (std::string Line; std::getline(Lines, Line);) {
    if (!Line.starts_with(Start))
      continue;
    std::istringstream Row(Line);
    for (std::string Cell; std::getline(Row, Cell, ',');)
      Cells.push_back(Cell);
  }
  return Cells;
}

const std::string TwoWorkspaces = "workspaces:\n"
                                  "  - { name: bakery, key: k1, weight: 3 }\n"
                                  "  - { name: school, key: k2, weight: 1 }\n";

} // namespace

TEST_CASE("the load tool sends requests as drawn from its seed") {
  const scratch_folder Folder;
  const std::string Plan = Folder.write("plan.yaml", TwoWorkspaces);
  const std::vector<std::string> Options = {"--plan",    Plan,  "--rate", "200",
                                            "--seconds", "1.5", "--seed", "7"};
  fake_entry_vm First;
  const auto Run = load(First, Options);
  CHECK(Run.ExitCode == 0);

  SUBCASE("each workspace sends by its weight, with its key") {
    const double Ratio = static_cast<double>(First.CountByKey["k1"]) /
                         static_cast<double>(First.CountByKey["k2"]);
    CHECK(Ratio > 2);
    CHECK(Ratio < 4.5);
  }
  SUBCASE("each workspace is counted in a separate row") {
    const auto Cells = cellsOf(Run.Output, "bakery,200,");
    REQUIRE(Cells.size() == 7);
    CHECK(Cells[2] == std::to_string(First.CountByKey["k1"]));
  }
  SUBCASE("a second run, against another server, sends the same requests") {
    fake_entry_vm Second;
    CHECK(load(Second, Options).ExitCode == 0);
    CHECK(Second.CountByKey == First.CountByKey);
  }
}

TEST_CASE("a stall shows in the latency of every request that it delayed") {
  fake_entry_vm Entry(20);
  const auto Run =
      load(Entry, {"--rate", "100", "--seconds", "2", "--seed", "1"});
  const auto Cells = cellsOf(Run.Output, "all,200,");
  REQUIRE(Cells.size() == 7);
  // The stall delays about 60 of 200 requests, by 300 ms on average. A tool
  // that waits for each answer before it sends the next request would see only
  // one delayed request.
  CHECK(std::stod(Cells[4]) > 400);
  CHECK(std::stoi(Cells[2]) > 150);
}

TEST_CASE("faults are injected at their planned times") {
  const scratch_folder Folder;
  fake_entry_vm Entry;

  SUBCASE("by a request") {
    const std::string Plan = Folder.write(
        "plan.yaml", TwoWorkspaces + "faults:\n  - { at: 200ms, address: '" +
                         Entry.address() + "', body: '{\"out\":true}' }\n");
    CHECK(load(Entry, {"--plan", Plan, "--seconds", "0.5"}).ExitCode == 0);
    CHECK(Entry.FaultBody == "{\"out\":true}");
  }
  SUBCASE("by a signal to a process") {
    child_process Target("sesamepaddle-lab", {"upstream"});
    REQUIRE(Target.readLine().starts_with("ready "));
    const std::string Plan = Folder.write(
        "plan.yaml", TwoWorkspaces + "faults:\n  - { at: 100ms, process: " +
                         std::to_string(Target.id()) + ", signal: TERM }\n");
    CHECK(load(Entry, {"--plan", Plan, "--seconds", "0.5"}).ExitCode == 0);
    CHECK(Target.wait() == 0);
  }
  SUBCASE("a plan with mistakes sends no request") {
    const std::string Plan = Folder.write(
        "plan.yaml", TwoWorkspaces + "faults:\n  - { at: 3, process: 1, "
                                     "signal: HUP }\n");
    CHECK(load(Entry, {"--plan", Plan}).ExitCode == 2);
    CHECK(Entry.Requests == 0);
  }
}
