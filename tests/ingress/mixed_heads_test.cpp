#include "ingress/ingress_fixture.h"
#include "ingress/upstream_pool.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <array>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <utility>
#include <vector>

using namespace sesamepaddle;
using std::chrono::milliseconds;

namespace {

/** A head whose fields can be put in any order. */
struct test_head {
  std::string Status;
  std::vector<std::string> Fields; ///< lines without their ends

  std::string text() const {
    std::string Text = "HTTP/1.1 " + Status + "\r\n";
    for (const auto &Field : Fields)
      Text += Field + "\r\n";
    return Text + "\r\n";
  }
};

const std::string Date = "Date: Sat, 05 Dec 2026 16:00:00 GMT";

test_head makeRefusalHead(const std::string &Id) {
  return {"503 Service Unavailable",
          {Date, "Not-Run: 1", "Id: " + Id, "Server: e", "Content-Length: 5"}};
}

test_head makeReplacedHead(const std::string &Id) {
  return {"421 Misdirected Request",
          {"Server: e", Date, "Id: " + Id, "Content-Length: 5"}};
}

test_head makeSuccessHead(const std::string &Id) {
  return {"200 OK", {"Proof: p1", Date, "Id: " + Id, "Content-Length: 5"}};
}

test_head makeFailureHead(const std::string &Id) {
  return {"500 Internal Server Error",
          {Date, "Proof: p1", "Id: " + Id, "Content-Length: 5"}};
}

constexpr std::array HeadMakers = {makeRefusalHead, makeReplacedHead,
                                   makeSuccessHead, makeFailureHead};

/** A pool with one endpoint, which answers a request on a kept connection with
    the bytes that the test gives. */
class kept_connection {
public:
  /** Sends a request on a kept connection, which is answered with @p Bytes,
      and 30 ms later with @p LateBytes. */
  exchange_result ask(const std::string &Id, const std::string &Bytes,
                      const std::string &LateBytes = "") {
    if (Pool.idleConnections() == 0) {
      const auto WarmId = "warm" + std::to_string(Warmed++);
      Next = {makeSuccessHead(WarmId).text() + "whole", "", false, false,
              milliseconds(0)};
      REQUIRE(exchange(WarmId).End == exchange_end::Answered);
    }
    REQUIRE(Pool.idleConnections() == 1);
    Next = {Bytes, LateBytes, false, false, milliseconds(0)};
    auto Result = exchange(Id);
    CHECK(Result.IsReused);
    return Result;
  }

private:
  exchange_result exchange(const std::string &Id) {
    exchange_result Result;
    asio::co_spawn(
        Context,
        [&]() -> awaitable<void> {
          auto Request = std::make_shared<upstream_request>();
          Request->Head = "POST / HTTP/1.1\r\nHost: shop.example\r\nId: " + Id +
                          "\r\nContent-Length: 0\r\n\r\n";
          Request->RequestId = Id;
          exchange_limits Limits;
          Limits.Connect = milliseconds(5'000);
          Limits.Deadline = boot_clock::now() + milliseconds(5'000);
          Limits.BodyBytes = 1'000;
          Result =
              co_await Pool.exchange("i-1", Endpoint.address(), Request, Limits,
                                     std::make_shared<cancel_source>());
          Context.stop();
        },
        asio::detached);
    Context.restart();
    Context.run_for(milliseconds(20'000));
    return Result;
  }

  asio::io_context Context{1};
  deadline_queue Deadlines{Context.get_executor()};
  scripted_answer Next;
  scripted_endpoint Endpoint{Context,
                             [this](const std::string &) { return Next; }};
  upstream_pool Pool{"Id", Deadlines, std::make_shared<body_memory>(1'000'000)};
  unsigned Warmed = 0;
};

bool isAnswer(const exchange_result &Result, const test_head &Head) {
  std::vector<std::string> Fields;
  for (const auto &Field : Result.Reply.Headers)
    Fields.push_back(Field.Name + ": " + Field.Value);
  return Result.End == exchange_end::Answered && Result.HasRequestId &&
         Head.Status.starts_with(std::to_string(Result.Reply.Status)) &&
         Fields == Head.Fields && Result.Reply.Body == "whole";
}

} // namespace

// An endpoint in trouble may send the beginning of a second answer late, before
// its answer to the next request. Read as one, they say of this request what
// was said of another: that it has not run, or that it succeeded.
TEST_CASE("the cut beginning of an answer and the next answer are not taken "
          "for one, wherever it is cut") {
  kept_connection Connection;
  std::size_t Trials = 0;
  std::size_t Mixed = 0;
  std::string First;
  for (auto *const MakeCopy : HeadMakers) {
    auto Copy = MakeCopy("other");
    // Each field comes first, last and between others.
    for (std::size_t Turn = 0; Turn < 2 * Copy.Fields.size(); ++Turn) {
      std::rotate(Copy.Fields.begin(), Copy.Fields.begin() + 1,
                  Copy.Fields.end());
      if (Turn == Copy.Fields.size())
        std::reverse(Copy.Fields.begin(), Copy.Fields.end());
      const auto Text = Copy.text();
      for (std::size_t Cut = 1; Cut < Text.size(); ++Cut) {
        const auto Id = "r" + std::to_string(Trials);
        const auto Proper = HeadMakers[Trials % HeadMakers.size()](Id);
        ++Trials;
        const auto Result =
            Connection.ask(Id, Text.substr(0, Cut) + Proper.text() + "whole");
        if (Result.End == exchange_end::Malformed)
          continue;
        if (Mixed++ == 0)
          First = Text.substr(0, Cut) + "|" + Proper.text();
      }
    }
  }
  CHECK(Trials > 3'000);
  CAPTURE(First);
  CHECK(Mixed == 0);
}

TEST_CASE("the cut beginning of an answer and the next answer are not taken "
          "for one when they come one after the other") {
  kept_connection Connection;
  const auto Text = makeRefusalHead("other").text();
  for (std::size_t Cut = 1; Cut < Text.size(); Cut += 5) {
    CAPTURE(Text.substr(0, Cut));
    const auto Id = "r" + std::to_string(Cut);
    const auto Result = Connection.ask(Id, Text.substr(0, Cut),
                                       makeSuccessHead(Id).text() + "whole");
    CHECK(Result.End == exchange_end::Malformed);
  }
}

TEST_CASE("fuzz: a sound answer is accepted whatever the order and the values "
          "of its fields, and none that follows a cut one") {
  kept_connection Connection;
  unsigned Number = 0;
  const bool IsBelieved = rc::check([&] {
    const auto Id = "r" + std::to_string(Number++);
    const auto MakeHead = [](const std::string &RequestId) {
      auto Head =
          HeadMakers[*rc::gen::inRange<std::size_t>(0, HeadMakers.size())](
              RequestId);
      const std::vector<std::string> Odd = {
          "Via: HTTP/1.1 proxy",   "Via: HTTP/1.1",
          "Allow: GET / HTTP/1.1", "Note: HTTP/1.1 2000 requests",
          "Note: HTTP/2 200 OK",   "Note: http/1.1 is 200 times as old",
          "Note: HTTP/1.1 20",     "Note: HTTP/1.1  200 OK",
          "Note: 200 OK",          "Note:"};
      const auto Extra = *rc::gen::inRange<std::size_t>(0, 4);
      for (std::size_t Count = 0; Count < Extra; ++Count) {
        auto Line = Odd[*rc::gen::inRange<std::size_t>(0, Odd.size())];
        // Fields of one name would come out side by side.
        Line.insert(0, "X" + std::to_string(Count) + "-");
        if (Line.ends_with(":"))
          Line += " ";
        Head.Fields.push_back(Line);
      }
      for (std::size_t Left = Head.Fields.size(); Left > 1; --Left)
        std::swap(Head.Fields[Left - 1],
                  Head.Fields[*rc::gen::inRange<std::size_t>(0, Left)]);
      return Head;
    };
    const auto Proper = MakeHead(Id);
    if (*rc::gen::arbitrary<bool>()) {
      const auto Result = Connection.ask(Id, Proper.text() + "whole");
      RC_ASSERT(isAnswer(Result, Proper));
      return;
    }
    const auto Copy = MakeHead("other").text();
    const auto Cut = *rc::gen::inRange<std::size_t>(1, Copy.size());
    const auto Result =
        Connection.ask(Id, Copy.substr(0, Cut) + Proper.text() + "whole");
    RC_ASSERT(Result.End == exchange_end::Malformed);
  });
  CHECK(IsBelieved);
}

TEST_CASE("the next answer does not continue the body of another one that is "
          "cut") {
  kept_connection Connection;
  const std::string Framed = makeFailureHead("other").text();
  const std::string Chunked =
      "HTTP/1.1 200 OK\r\nId: other\r\nTransfer-Encoding: chunked\r\n\r\n";
  const std::vector<std::pair<std::string, std::string>> Copies = {
      {Framed, "whole"}, {Chunked, "5\r\nwhole\r\n0\r\nAge: 1\r\n\r\n"}};
  for (const auto &Copy : Copies)
    for (std::size_t Cut = 0; Cut < Copy.second.size(); ++Cut) {
      const auto Bytes = Copy.first + Copy.second.substr(0, Cut);
      CAPTURE(Bytes);
      const auto Result =
          Connection.ask("r", Bytes + makeSuccessHead("r").text() + "whole");
      CHECK(Result.End == exchange_end::Malformed);
    }
}

// An endpoint in trouble may send a status that no proper answer has.
TEST_CASE("an answer whose status is none of HTTP's is not passed on, and does "
          "not hold its request") {
  kept_connection Connection;
  for (const auto *Status : {"000", "001", "099", "600", "999"}) {
    CAPTURE(Status);
    auto Head = makeSuccessHead("r");
    Head.Status = Status + std::string(" OK");
    CHECK(Connection.ask("r", Head.text() + "whole").End ==
          exchange_end::Malformed);
  }
}

// The fields after a chunked body are not part of the head that it follows.
TEST_CASE("what follows a chunked body says nothing of the request") {
  kept_connection Connection;
  const std::string Chunks =
      "HTTP/1.1 500 Internal Server Error\r\nId: r1\r\nProof: p1\r\n"
      "Transfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n";

  SUBCASE("a whole trailer") {
    const auto Result = Connection.ask("r1", Chunks + "Not-Run: 1\r\n\r\n");
    CHECK(Result.End == exchange_end::Answered);
    CHECK(findHeader(Result.Reply.Headers, "Not-Run").empty());
    CHECK(Result.Reply.Body == "whole");
  }
  SUBCASE("a cut trailer, and a refusal without an id") {
    const auto Result =
        Connection.ask("r1", Chunks + "Expires: Sa" +
                                 "HTTP/1.1 503 Service Unavailable\r\n"
                                 "Not-Run: 1\r\nContent-Language: en\r\n\r\n");
    CHECK(Result.End == exchange_end::Malformed);
  }
  SUBCASE("a cut trailer, and another answer") {
    const auto Result = Connection.ask(
        "r1", Chunks + "Expires: Sa" +
                  "HTTP/1.1 200 OK\r\nId: r0\r\nProof: p1\r\n\r\n");
    CHECK(Result.End == exchange_end::Malformed);
  }
}

TEST_CASE("an interim answer that is cut does not continue with the answer") {
  kept_connection Connection;
  const std::string Interim = "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n";
  const auto Proper = makeSuccessHead("r").text() + "whole";
  for (std::size_t Cut = 1; Cut < Interim.size(); ++Cut) {
    CAPTURE(Interim.substr(0, Cut));
    CHECK(Connection.ask("r", Interim.substr(0, Cut) + Proper).End ==
          exchange_end::Malformed);
  }
  CHECK(Connection.ask("r", Interim + Proper).End == exchange_end::Answered);
}

// The pages: an order that may have run is not sent again.
TEST_CASE("a request whose answer continues a cut refusal is sent again only "
          "if its route allows it") {
  std::mutex Mutex;
  std::map<std::string, int> Arrivals;
  const auto Script = [&](const std::string &Request) {
    const auto Id = fieldOf(Request, "Id");
    const std::lock_guard Lock(Mutex);
    const bool IsFirst = ++Arrivals[Id] == 1;
    const bool IsSpoilt = Id.starts_with("spoilt") && IsFirst;
    return scripted_answer{
        (IsSpoilt ? "HTTP/1.1 503 Full\r\nNot-Run: 1\r\n" + Date.substr(0, 15)
                  : std::string()) +
            makeAnswer(Request, "placed"),
        "", false, false, milliseconds(0)};
  };
  ingress_fixture Fixture({Script, Script});
  for (int Number = 0; Number < 8; ++Number) {
    const auto Warm = "warm" + std::to_string(Number);
    REQUIRE(Fixture.post("/orders/1", Warm, "x").starts_with("HTTP/1.1 200"));
  }
  const auto Order = Fixture.post("/orders/1", "spoilt-order", "x");
  CHECK(Order.starts_with("HTTP/1.1 502"));
  const auto Check = Fixture.get("/checks/1", "spoilt-check");
  CHECK(Check.starts_with("HTTP/1.1 200"));
  const std::lock_guard Lock(Mutex);
  CHECK(Arrivals["spoilt-order"] == 1);
  CHECK(Arrivals["spoilt-check"] == 2);
}
