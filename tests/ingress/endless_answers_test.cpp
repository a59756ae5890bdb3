#include "ingress/ingress_fixture.h"
#include "sesamepaddle/core/memory.h"
#include "support/process_memory.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <atomic>
#include <cstddef>
#include <memory>
#include <string>
#include <thread>
#include <vector>

using namespace sesamepaddle;
using std::chrono::milliseconds;

namespace {

constexpr std::size_t MemoryBytes = 30'000'000;
// Each answer without an end: a tenth of the memory, then silence.
constexpr std::size_t PieceBytes = 10'000;
constexpr std::size_t Pieces = 300;
constexpr std::size_t Callers = 100;

constexpr int SmallBuffer = 32 * 1024;
constexpr std::size_t LongAnswerBytes = 20'000'000;
// For an answer of that length, on a busy machine.
constexpr milliseconds LongAnswerTime{30'000};

/** Answers checks with a head and bytes without an end, orders properly. */
scripted_endpoint::script answerChecksWithoutEnd(const std::string &Fields,
                                                 const std::string &Piece) {
  return [Fields, Piece](const std::string &Request) {
    scripted_answer Answer;
    if (!Request.starts_with("GET /checks/")) {
      Answer.Bytes = makeAnswer(Request, "placed");
      return Answer;
    }
    Answer.Bytes = "HTTP/1.1 200 OK\r\nId: " + fieldOf(Request, "Id") +
                   "\r\nProof: p1\r\n" + Fields + "\r\n";
    Answer.EndlessBytes = Piece;
    Answer.MaxEndless = Pieces;
    return Answer;
  };
}

} // namespace

// Faulty endpoints may send bytes that are no answer until their caller closes.
// All that a VM keeps of them together must fit its memory, or it is ended with
// the requests of all its callers.
TEST_CASE("many answers without an end at once do not exhaust a VM's memory") {
  returnLargeBlocks();
  std::string Fields;
  std::string Piece(PieceBytes, 'x');
  SUBCASE("without a length") {}
  SUBCASE("in chunks") {
    Fields = "Transfer-Encoding: chunked\r\n";
    Piece = "2710\r\n" + Piece + "\r\n";
  }
  SUBCASE("with a length that is never reached") {
    Fields = "Content-Length: 60000000\r\n";
  }
  const auto Script = answerChecksWithoutEnd(Fields, Piece);
  ingress_fixture Fixture({Script, Script}, [](ingress_options &Options) {
    Options.Bounds.MemoryBytes = MemoryBytes;
  });
  REQUIRE(Fixture.post("/orders/0", "o0", "cloth").starts_with("HTTP/1.1 200"));
  const auto Before = residentBytes();
  auto Most = Before;
  std::vector<std::unique_ptr<raw_connection>> Others;
  for (std::size_t Number = 0; Number < Callers; ++Number) {
    Others.push_back(std::make_unique<raw_connection>(Fixture.callers()));
    Others.back()->send(
        "GET /checks/1 HTTP/1.1\r\nHost: shop.example\r\nId: c" +
        std::to_string(Number) + "\r\nKey: k1\r\nConnection: close\r\n\r\n");
  }
  // Requests of other callers are served meanwhile.
  std::size_t Placed = 0;
  const std::size_t Orders = 50;
  for (std::size_t Number = 1; Number <= Orders; ++Number) {
    const auto Reply =
        Fixture.post("/orders/1", "o" + std::to_string(Number), "cloth");
    Placed += Reply.starts_with("HTTP/1.1 200") ? 1 : 0;
    Most = std::max(Most, residentBytes());
  }
  CHECK(Placed == Orders);
  // Each caller gets a true failure in its time.
  std::size_t Failed = 0;
  for (const auto &Other : Others) {
    const auto Reply = Other->readToEnd(ingress_fixture::LongWait);
    Failed +=
        Reply.starts_with("HTTP/1.1 502") || Reply.starts_with("HTTP/1.1 504")
            ? 1
            : 0;
    Most = std::max(Most, residentBytes());
  }
  CHECK(Failed == Callers);
  if (IsResidentExact)
    CHECK(Most - Before < MemoryBytes);
}

TEST_CASE("an answer counts until its caller has taken it, and is not given up "
          "for others while it is being taken") {
  // More than the buffers of a connection hold, and more than half of what all
  // answers may take.
  std::string Long;
  Long.resize(LongAnswerBytes, 'l');
  ingress_fixture Fixture(
      {[&](const std::string &Request) {
        scripted_answer Answer;
        Answer.Bytes = makeAnswer(
            Request, Request.starts_with("GET /checks/long") ? Long : "short");
        return Answer;
      }},
      [](ingress_options &Options) {
        Options.Bounds.MemoryBytes = 60'000'000;
      });
  const auto Ask = [](const std::string &Id) {
    return "GET /checks/long HTTP/1.1\r\nHost: shop.example\r\nId: " + Id +
           "\r\nKey: k1\r\nConnection: close\r\n\r\n";
  };
  Fixture.onVm([](fleet_state &Fleet) {
    const auto &Before = *Fleet.configuration();
    configuration_content Content;
    Content.Version = Before.version() + 1;
    Content.Workspaces = {Before.workspaces().begin(),
                          Before.workspaces().end()};
    Content.Services = {Before.services().begin(), Before.services().end()};
    auto Route = *Before.findRoute("shop.example", "/checks/");
    Route.Timeout = LongAnswerTime;
    Content.RoutesByHost["shop.example"] = {std::move(Route)};
    return Fleet.setConfiguration(
        std::make_shared<fleet_configuration>(std::move(Content)));
  });
  raw_connection Slow(Fixture.callers(), SmallBuffer);
  Slow.send(Ask("slow"));
  // An answer is passed on when it is whole. Then there is no room for the next
  // one.
  REQUIRE(Slow.waitForBytes(LongAnswerTime));
  std::atomic<bool> IsOver{false};
  std::string Taken;
  std::thread Taking([&] {
    while (!IsOver) {
      Taken += Slow.readBytes(SmallBuffer / 4, LongAnswerTime);
      std::this_thread::sleep_for(milliseconds(100));
    }
  });
  CHECK(Fixture.exchange(Ask("next"), LongAnswerTime)
            .starts_with("HTTP/1.1 502"));
  CHECK(Fixture.get("/checks/1", "short").ends_with("short"));
  IsOver = true;
  Taking.join();
  Taken += Slow.readToEnd(LongAnswerTime);
  CHECK(Taken.ends_with(Long));
  CHECK(Fixture.exchange(Ask("last"), LongAnswerTime).ends_with(Long));
}
