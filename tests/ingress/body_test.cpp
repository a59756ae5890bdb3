#include "ingress/ingress_fixture.h"
#include "sesamepaddle/net/body_memory.h"

#include <doctest/doctest.h>

using namespace sesamepaddle;
using std::chrono::milliseconds;

namespace {

constexpr std::size_t SmallMemory = 1'000'000; ///< of which bodies get 400 kB

scripted_answer answerWhole(const std::string &Request) {
  return {makeAnswer(Request, "whole"), "", false, false, milliseconds(0)};
}

void useSmallMemory(ingress_options &Options) {
  Options.Bounds.MemoryBytes = SmallMemory;
}

std::string makePostHead(const std::string &Id, const std::string &Framing) {
  return "POST /orders/1 HTTP/1.1\r\nHost: shop.example\r\nId: " + Id +
         "\r\nKey: k1\r\nConnection: close\r\n" + Framing + "\r\n\r\n";
}

std::string makeChunk(std::size_t Bytes) {
  std::array<char, 16> Size{};
  std::snprintf(Size.data(), Size.size(), "%zx\r\n", Bytes);
  return Size.data() + std::string(Bytes, 'b') + "\r\n";
}

bool isStatus(const std::string &Reply, int Status) {
  return Reply.starts_with("HTTP/1.1 " + std::to_string(Status) + " ");
}

} // namespace

TEST_CASE("a large body reaches its endpoint unchanged") {
  ingress_fixture Fixture({answerWhole});
  std::string Body(300'000, '\0');
  for (std::size_t Index = 0; Index < Body.size(); ++Index)
    Body[Index] = static_cast<char>('a' + Index % 23);

  SUBCASE("with a length") {
    CHECK(isStatus(Fixture.post("/orders/1", "r1", Body), 200));
    CHECK(Fixture.endpoint(0).requests()[0].ends_with("\r\n\r\n" + Body));
  }
  SUBCASE("in chunks") {
    std::string Request =
        makePostHead("r1", "Transfer-Encoding: chunked") + makeChunk(60'000);
    Request += makeChunk(90'000) + "0\r\n\r\n";
    CHECK(isStatus(Fixture.exchange(Request), 200));
    CHECK(Fixture.endpoint(0).requests()[0].ends_with(
        "\r\n\r\n" + std::string(150'000, 'b')));
  }
}

TEST_CASE("a body for which there is no memory is refused and does not run") {
  ingress_fixture Fixture({answerWhole}, useSmallMemory);

  SUBCASE("before it is sent, when its length is known") {
    raw_connection Caller(Fixture.callers());
    Caller.send(makePostHead("r1", "Content-Length: 500000"));
    CHECK(isStatus(Caller.readToEnd(ingress_fixture::LongWait), 503));
  }
  SUBCASE("as soon as it is too large, when it comes in chunks") {
    raw_connection Caller(Fixture.callers());
    Caller.send(makePostHead("r1", "Transfer-Encoding: chunked") +
                makeChunk(300'000) + makeChunk(200'000));
    CHECK(isStatus(Caller.readToEnd(ingress_fixture::LongWait), 503));
  }
  SUBCASE("when the bodies of others take it, though none is too large") {
    raw_connection Slow(Fixture.callers());
    Slow.send(makePostHead("r1", "Content-Length: 390000") +
              std::string(350'000, 'b'));
    std::this_thread::sleep_for(milliseconds(200));
    CHECK(isStatus(Fixture.post("/orders/1", "r2", std::string(100'000, 'b')),
                   503));
    CHECK(isStatus(Fixture.post("/orders/1", "r3", std::string(10'000, 'b')),
                   200));
    Slow.send(std::string(40'000, 'b'));
    CHECK(isStatus(Slow.readToEnd(ingress_fixture::LongWait), 200));
    // All memory is free again.
    CHECK(isStatus(Fixture.post("/orders/1", "r4", std::string(390'000, 'b')),
                   200));
    return;
  }
  SUBCASE("a sender of which nothing has come takes no memory") {
    raw_connection Slow(Fixture.callers());
    Slow.send(makePostHead("r1", "Content-Length: 390000"));
    std::this_thread::sleep_for(milliseconds(100));
    CHECK(isStatus(Fixture.post("/orders/1", "r2", std::string(390'000, 'b')),
                   200));
    return;
  }
  CHECK(Fixture.endpoint(0).requests().empty());
}

TEST_CASE("an upload that breaks off runs nowhere and holds nothing") {
  ingress_fixture Fixture({answerWhole}, useSmallMemory);
  {
    raw_connection Leaving(Fixture.callers());
    Leaving.send(makePostHead("r1", "Content-Length: 390000") +
                 std::string(380'000, 'b'));
    std::this_thread::sleep_for(milliseconds(100));
  }
  std::this_thread::sleep_for(milliseconds(100));
  CHECK(isStatus(Fixture.post("/orders/1", "r2", std::string(390'000, 'b')),
                 200));
  CHECK(Fixture.endpoint(0).requests().size() == 1);
}

TEST_CASE("an upload runs at most once whatever becomes of its endpoint") {
  const std::string Body(200'000, 'b');
  SUBCASE("an endpoint that breaks off: the outcome is unknown") {
    const auto Reset = [](const std::string &) {
      return scripted_answer{"", "", false, true, milliseconds(0)};
    };
    ingress_fixture Fixture({Reset, Reset});
    CHECK(isStatus(Fixture.post("/orders/1", "r1", Body), 502));
    CHECK(Fixture.endpoint(0).requests().size() +
              Fixture.endpoint(1).requests().size() ==
          1);
  }
  SUBCASE("an endpoint that says that it did not run it: another one runs it") {
    const auto RefuseUnrun = [](const std::string &Request) {
      return scripted_answer{
          makeAnswer(Request, "", "503 Service Unavailable", "Not-Run: 1\r\n"),
          "", false, false, milliseconds(0)};
    };
    ingress_fixture Fixture({RefuseUnrun, answerWhole});
    for (int Number = 0; Number < 4; ++Number)
      CHECK(isStatus(
          Fixture.post("/orders/1", "r" + std::to_string(Number), Body), 200));
    for (const auto &Request : Fixture.endpoint(1).requests())
      CHECK(Request.ends_with("\r\n\r\n" + Body));
  }
}

TEST_CASE("a draining VM finishes an upload that is under way") {
  ingress_fixture Fixture({answerWhole});
  raw_connection Caller(Fixture.callers());
  Caller.send(makePostHead("r1", "Content-Length: 200000") +
              std::string(100'000, 'b'));
  std::this_thread::sleep_for(milliseconds(50));
  auto Drained = Fixture.drain();
  std::this_thread::sleep_for(milliseconds(300));
  Caller.send(std::string(100'000, 'b'));
  CHECK(isStatus(Caller.readToEnd(ingress_fixture::LongWait), 200));
}

// An endpoint in trouble may send bytes without end until its caller closes the
// connection. Memory and time of the VM must be bounded by its own limits.
TEST_CASE("bytes without end from an endpoint end the request, not the VM") {
  const auto Endless = [](std::string Start, std::string Bytes) {
    return [Start, Bytes](const std::string &Request) {
      scripted_answer Answer;
      const auto Id = fieldOf(Request, "Id");
      Answer.Bytes =
          Start.empty()
              ? ""
              : "HTTP/1.1 200 OK\r\nProof: p\r\nId: " + Id + "\r\n" + Start;
      Answer.EndlessBytes = Bytes;
      return Answer;
    };
  };
  const std::string Noise(16'000, 'x');
  const auto CheckEnds = [](const scripted_endpoint::script &Script) {
    ingress_fixture Fixture({Script, Script});
    const auto Reply = Fixture.post("/orders/1", "r1", "cloth");
    CHECK((isStatus(Reply, 502) || isStatus(Reply, 504)));
    // The VM has closed the connection and serves other callers.
    const auto Start = boot_clock::now();
    while (Fixture.endpoint(0).abandoned() + Fixture.endpoint(1).abandoned() ==
               0 &&
           boot_clock::now() - Start < ingress_fixture::LongWait)
      std::this_thread::sleep_for(milliseconds(10));
    CHECK(Fixture.endpoint(0).abandoned() + Fixture.endpoint(1).abandoned() ==
          1);
    CHECK(isStatus(Fixture.get("/other/1", "r2"), 404));
  };

  SUBCASE("instead of a head") { CheckEnds(Endless("", Noise)); }
  SUBCASE("in a head of ever more fields") {
    CheckEnds(Endless("A: b\r\n", "Field: value\r\n"));
  }
  SUBCASE("in one line of a head") { CheckEnds(Endless("A: ", Noise)); }
  SUBCASE("in a body without a length") {
    CheckEnds(Endless("\r\n", Noise + Noise + Noise + Noise));
  }
  SUBCASE("in the chunks of a body") {
    CheckEnds(Endless("Transfer-Encoding: chunked\r\n\r\n", makeChunk(16'000)));
  }
  SUBCASE("in a chunk's extension") {
    CheckEnds(Endless("Transfer-Encoding: chunked\r\n\r\n5;e=", Noise));
  }
  SUBCASE("in interim answers") {
    CheckEnds([](const std::string &) {
      scripted_answer Answer;
      Answer.EndlessBytes = "HTTP/1.1 103 Early Hints\r\n\r\n";
      return Answer;
    });
  }
}
