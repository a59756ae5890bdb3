#include "process/test_bed.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <chrono>
#include <future>
#include <string>
#include <thread>
#include <vector>

using namespace sesamepaddle;

namespace {

constexpr int Conflict = 4; // exit code

/** Proposes a document.
    @param Replace  hash of the open proposal to replace; empty: none */
run_result propose(const test_bed &Bed, const std::string &Owner,
                   const std::string &File, const std::string &Replace = {}) {
  std::vector<std::string> Arguments = {
      "document",   "propose",
      "--file",     File,
      "--owner",    Owner,
      "--key",      Bed.Folder.path(Owner + ".pem"),
      "--platform", Bed.PlatformAddress};
  if (!Replace.empty())
    Arguments.insert(Arguments.end(), {"--replace", Replace});
  return runToEnd("sesamepaddle", Arguments);
}

/** Signs the open proposal.
    @param Hash  the hash that it must have; empty: any */
run_result sign(const test_bed &Bed, const std::string &Owner,
                const std::string &Hash = {}) {
  std::vector<std::string> Arguments = {
      "document",   "sign",
      "--service",  "pedidos",
      "--owner",    Owner,
      "--key",      Bed.Folder.path(Owner + ".pem"),
      "--platform", Bed.PlatformAddress};
  if (!Hash.empty())
    Arguments.insert(Arguments.end(), {"--hash", Hash});
  return runToEnd("sesamepaddle", Arguments);
}

std::string show(const test_bed &Bed) {
  return runToEnd("sesamepaddle", {"document", "show", "--service", "pedidos",
                                   "--platform", Bed.PlatformAddress})
      .Output;
}

/** @returns the document's hash in a command's output, or nothing. */
std::string hashIn(const std::string &Output) {
  const auto Place = Output.find("hash ");
  return Place == std::string::npos ? "" : Output.substr(Place + 5, 64);
}

} // namespace

TEST_CASE("concurrent operators get a conflict instead of a lost change") {
  test_bed Bed;
  const std::string File = Bed.writeDocument("pedidos");

  SUBCASE("one of two concurrent proposals succeeds, the other conflicts") {
    auto Other = std::async(std::launch::async,
                            [&] { return propose(Bed, "luis", File); });
    const auto Own = propose(Bed, "ana", File);
    const auto Result = Other.get();
    CHECK(std::min(Own.ExitCode, Result.ExitCode) == 0);
    CHECK(std::max(Own.ExitCode, Result.ExitCode) == Conflict);

    SUBCASE("the other owner's signature puts it in force exactly once") {
      const std::string Signer = Own.ExitCode == 0 ? "luis" : "ana";
      auto Concurrent =
          std::async(std::launch::async, [&] { return sign(Bed, Signer); });
      const int FirstExitCode = sign(Bed, Signer).ExitCode;
      const int SecondExitCode = Concurrent.get().ExitCode;
      CHECK((FirstExitCode == 0) != (SecondExitCode == 0));
      CHECK(show(Bed).find("in force: document 1") != std::string::npos);
    }
  }

  SUBCASE("an open proposal is replaced only by its hash") {
    const auto Open = propose(Bed, "ana", File);
    REQUIRE(Open.ExitCode == 0);
    CHECK(propose(Bed, "ana", File).ExitCode == 0);
    const std::string Changed = Bed.writeDocument(
        "pedidos", "links:\n  - { first: lima, second: trujillo, "
                   "bytes_per_second: 1000B }\n");
    CHECK(propose(Bed, "luis", Changed).ExitCode == Conflict);
    CHECK(hashIn(show(Bed)) == hashIn(Open.Output));
    CHECK(propose(Bed, "luis", Changed, hashIn(Open.Output)).ExitCode == 0);
    CHECK(sign(Bed, "luis").ExitCode != 0);
    CHECK(sign(Bed, "ana", hashIn(Open.Output)).ExitCode != 0);
    CHECK(sign(Bed, "ana").ExitCode == 0);
  }
}

TEST_CASE("a signature succeeds although the answer to its write was lost") {
  test_bed Bed;
  const std::string File = Bed.writeDocument("pedidos");
  REQUIRE(propose(Bed, "ana", File).ExitCode == 0);
  Bed.setPlatformFaults("{\"drop_commit_answers\":true}");
  auto Signing =
      std::async(std::launch::async, [&] { return sign(Bed, "luis"); });
  std::this_thread::sleep_for(std::chrono::seconds(2));
  CHECK(show(Bed).find("in force: document 1") != std::string::npos);
  Bed.setPlatformFaults("{}");
  const auto Signed = Signing.get();
  CHECK(Signed.ExitCode == 0);
  CHECK(sign(Bed, "luis", hashIn(Signed.Output)).ExitCode == 0);
}
