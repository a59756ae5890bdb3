#include "ingress/ingress_fixture.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <future>
#include <thread>

using namespace sesamepaddle;
using std::chrono::milliseconds;

namespace {

// A VM closes idle connections 3.3 s after it has begun to stop.
constexpr milliseconds AfterIdleTime{4'200};
constexpr milliseconds GracePeriod{12'000};
constexpr milliseconds ShortGracePeriod{3'000};
constexpr int SmallBuffer = 32 * 1024;
// More than the buffers of a connection over loopback hold.
constexpr std::size_t LongBytes = 16U * 1024 * 1024;
// The VM's socket takes it at once, and its caller's does not.
constexpr std::size_t BufferedBytes = 1024U * 1024;
// Of an answer in the tests.
constexpr std::size_t HeadBytes = 16;

scripted_endpoint::script answerWith(std::size_t Bytes,
                                     milliseconds Delay = milliseconds(0)) {
  return [Bytes, Delay](const std::string &Request) {
    return scripted_answer{makeAnswer(Request, std::string(Bytes, 'b')), "",
                           false, false, Delay};
  };
}

std::string makeGet(const std::string &Id, const std::string &Fields = "") {
  return "GET /checks/1 HTTP/1.1\r\nHost: shop.example\r\nId: " + Id +
         "\r\nKey: k1\r\n" + Fields + "\r\n";
}

std::size_t bodyBytes(const std::string &Answer) {
  const auto End = Answer.find("\r\n\r\n");
  return End == std::string::npos ? 0 : Answer.size() - End - 4;
}

void useGracePeriod(ingress_options &Options) {
  Options.Bounds.GracePeriod = GracePeriod;
}

} // namespace

TEST_CASE("a planned stop does not cut an answer that its caller is taking") {
  ingress_fixture Fixture({answerWith(LongBytes)}, useGracePeriod);
  raw_connection Caller(Fixture.callers(), SmallBuffer);
  Caller.send(makeGet("r1"));
  auto Answer = Caller.readBytes(HeadBytes, ingress_fixture::LongWait);
  auto Stopped = Fixture.stop();

  SUBCASE("the VM ends when the caller has all of it") {
    CHECK(Stopped.wait_for(AfterIdleTime) == std::future_status::timeout);
    Answer += Caller.readToEnd(ingress_fixture::LongWait);
    CHECK(bodyBytes(Answer) == LongBytes);
    CHECK(Stopped.wait_for(ingress_fixture::LongWait) ==
          std::future_status::ready);
  }

  SUBCASE("the VM ends in time when the caller takes no more") {
    CHECK(Stopped.wait_for(GracePeriod) == std::future_status::ready);
  }
}

TEST_CASE("a planned stop does not cut an answer that is still on its way") {
  ingress_fixture Fixture({answerWith(BufferedBytes)}, useGracePeriod);
  raw_connection Caller(Fixture.callers(), SmallBuffer);
  Caller.send(makeGet("r1", "Connection: close\r\n"));
  auto Answer = Caller.readBytes(HeadBytes, ingress_fixture::LongWait);
  auto Stopped = Fixture.stop();
  SUBCASE("to a caller that keeps its connection open") {}
  SUBCASE("to a caller that has ended its sending side") {
    Caller.shutdownSend();
  }
  CHECK(Stopped.wait_for(AfterIdleTime) == std::future_status::timeout);
  Answer += Caller.readToEnd(ingress_fixture::LongWait);
  CHECK(bodyBytes(Answer) == BufferedBytes);
  CHECK(Stopped.wait_for(ingress_fixture::LongWait) ==
        std::future_status::ready);
}

TEST_CASE("a planned stop does not cut a request that is still being sent") {
  ingress_fixture Fixture({answerWith(HeadBytes)}, useGracePeriod);
  auto Stopped = Fixture.stop();
  std::this_thread::sleep_for(milliseconds(3'200));
  raw_connection Caller(Fixture.callers());
  Caller.send("POST /orders/1 HTTP/1.1\r\nHost: shop.example\r\nId: r1\r\n"
              "Key: k1\r\nContent-Length: 10\r\n\r\nhello");
  std::this_thread::sleep_for(AfterIdleTime - milliseconds(3'200));
  Caller.send("world");
  // Not run, if its deadline has passed by now.
  const auto Answer = Caller.readToEnd(ingress_fixture::LongWait);
  CHECK(Answer.starts_with("HTTP/1.1 "));
  CHECK(Stopped.wait_for(ingress_fixture::LongWait) ==
        std::future_status::ready);
}

TEST_CASE("a VM that is late in a planned stop still answers its requests") {
  SUBCASE("those that are at an endpoint when the VM has to end") {
    ingress_fixture Fixture({answerWith(HeadBytes, ingress_fixture::LongWait)},
                            [](ingress_options &Options) {
                              Options.Bounds.GracePeriod = ShortGracePeriod;
                            });
    auto Stopped = Fixture.stop();
    std::this_thread::sleep_for(milliseconds(2'050));
    raw_connection Caller(Fixture.callers());
    Caller.send(makeGet("r1"));
    std::this_thread::sleep_for(milliseconds(150));
    CHECK(Fixture.endpoint(0).requests().size() == 1);
    // Both the time at which answers are due and the end pass meanwhile.
    Fixture.onVm([](fleet_state &) {
      std::this_thread::sleep_for(milliseconds(550));
      return true;
    });
    Stopped.get();
    const auto Answer = Caller.readBytes(HeadBytes, milliseconds(500));
    CHECK(Answer.starts_with("HTTP/1.1 504 "));
  }

  SUBCASE("those on connections that it has not accepted yet") {
    ingress_fixture Fixture({answerWith(HeadBytes)}, useGracePeriod);
    auto Stopped = Fixture.stop();
    std::this_thread::sleep_for(milliseconds(3'200));
    std::future<void> Late = std::async(std::launch::async, [&Fixture] {
      Fixture.onVm([](fleet_state &) {
        std::this_thread::sleep_for(milliseconds(800));
        return true;
      });
    });
    std::this_thread::sleep_for(milliseconds(300));
    raw_connection Caller(Fixture.callers());
    Caller.send(makeGet("r1"));
    const auto Answer = Caller.readBytes(HeadBytes, ingress_fixture::LongWait);
    // Not run, if the VM counts as busy.
    CHECK(Answer.starts_with("HTTP/1.1 "));
    Late.get();
  }
}

TEST_CASE("bytes behind a request do not destroy the end of its answer") {
  ingress_fixture Fixture({answerWith(BufferedBytes)}, useGracePeriod);
  raw_connection Caller(Fixture.callers(), SmallBuffer);
  Caller.send(makeGet("r1", "Connection: close\r\n"));
  auto Answer = Caller.readBytes(HeadBytes, ingress_fixture::LongWait);
  std::this_thread::sleep_for(milliseconds(100));
  Caller.send("\r\n");
  std::this_thread::sleep_for(milliseconds(100));
  Answer += Caller.readToEnd(ingress_fixture::LongWait);
  CHECK(bodyBytes(Answer) == BufferedBytes);
}

TEST_CASE("a caller that takes its answer slowly gets all of it") {
  ingress_fixture Fixture({answerWith(LongBytes)});
  raw_connection Stalled(Fixture.callers(), SmallBuffer);
  Stalled.send(makeGet("r1"));
  raw_connection Caller(Fixture.callers(), SmallBuffer);
  Caller.send(makeGet("r2"));
  std::string Answer;
  constexpr int Steps = 25;
  for (int Step = 0; Step < Steps; ++Step) {
    Answer +=
        Caller.readBytes(LongBytes / (2 * Steps), ingress_fixture::LongWait);
    std::this_thread::sleep_for(milliseconds(500));
  }
  Answer +=
      Caller.readBytes(LongBytes + Answer.find("\r\n\r\n") + 4 - Answer.size(),
                       ingress_fixture::LongWait);
  CHECK(bodyBytes(Answer) == LongBytes);
  // A caller that has taken nothing for 10 s counts as gone.
  const auto Part = Stalled.readToEnd(ingress_fixture::LongWait);
  CHECK(Stalled.isClosed());
  CHECK(bodyBytes(Part) < LongBytes);
}

TEST_CASE("an empty line behind a request does not fail the next one") {
  ingress_fixture Fixture({answerWith(HeadBytes)});
  raw_connection Caller(Fixture.callers());
  Caller.send(makeGet("r1") + "\r\n");
  const auto First = Caller.readToEnd(milliseconds(300));
  CHECK(First.starts_with("HTTP/1.1 200 "));
  CHECK(bodyBytes(First) == HeadBytes);
  Caller.send("\r\n" + makeGet("r2"));
  const auto Second = Caller.readToEnd(milliseconds(300));
  CHECK(Second.starts_with("HTTP/1.1 200 "));
  CHECK_FALSE(Caller.isClosed());
}
