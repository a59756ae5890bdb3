#include "ingress/ingress_fixture.h"

#include <doctest/doctest.h>

using namespace sesamepaddle;
using std::chrono::milliseconds;

namespace {

bool isStatus(const std::string &Reply, int Status) {
  return Reply.starts_with("HTTP/1.1 " + std::to_string(Status) + " ");
}

std::string unframedAnswer(const std::string &Request,
                           const std::string &Body) {
  return "HTTP/1.1 200 OK\r\nId: " + fieldOf(Request, "Id") +
         "\r\nProof: p1\r\n\r\n" + Body;
}

std::string chunkedAnswer(const std::string &Request) {
  return "HTTP/1.1 200 OK\r\nId: " + fieldOf(Request, "Id") +
         "\r\nProof: p1\r\nTransfer-Encoding: chunked\r\n\r\n"
         "5\r\nwhole\r\n0\r\n\r\n";
}

bool isWarm(const std::string &Request) {
  return fieldOf(Request, "Id").starts_with("warm");
}

} // namespace

TEST_CASE("an answer that stops anywhere before its end is not a success") {
  std::string (*MakeAnswer)(const std::string &) = nullptr;
  std::size_t Whole = 0; // bytes without which the answer is incomplete
  bool Resets = false;
  bool IsKept = false;
  const auto Framed = [](const std::string &Request) {
    return makeAnswer(Request, "whole");
  };
  const auto Unframed = [](const std::string &Request) {
    return unframedAnswer(Request, "");
  };
  SUBCASE("with a length") { MakeAnswer = Framed; }
  SUBCASE("with a length, on a kept connection") {
    MakeAnswer = Framed;
    IsKept = true;
  }
  SUBCASE("chunked") { MakeAnswer = chunkedAnswer; }
  SUBCASE("the head of one without a length") { MakeAnswer = Unframed; }
  SUBCASE("the head of one without a length, on a kept connection") {
    MakeAnswer = Unframed;
    IsKept = true;
  }
  SUBCASE("without a length, reset") {
    MakeAnswer = [](const std::string &Request) {
      return unframedAnswer(Request, "whole");
    };
    Resets = true;
  }

  std::size_t Cut = 0;
  ingress_fixture Fixture({[&](const std::string &Request) {
    scripted_answer Answer;
    if (isWarm(Request)) {
      Answer.Bytes = makeAnswer(Request, "warm");
      return Answer;
    }
    Answer.Bytes = MakeAnswer(Request).substr(0, Cut);
    Answer.Closes = !Resets;
    Answer.ResetsAfterBytes = Resets;
    return Answer;
  }});
  const std::string Sample = MakeAnswer("GET / HTTP/1.1\r\nId: r100\r\n\r\n");
  Whole = Resets ? Sample.size() + 1 : Sample.size();
  for (Cut = 0; Cut < Whole; ++Cut) {
    CAPTURE(Cut);
    const auto Number = std::to_string(100 + Cut);
    if (IsKept)
      REQUIRE(isStatus(Fixture.get("/checks/1", "warm" + Number), 200));
    CHECK(isStatus(Fixture.post("/orders/1", "r" + Number, "x"), 502));
  }
}

// The rest of an earlier answer can continue the head of a cut one.
TEST_CASE("an answer with two ids is malformed") {
  ingress_fixture Fixture({[](const std::string &Request) {
    scripted_answer Answer;
    Answer.Bytes = "HTTP/1.1 200 OK\r\nId: " + fieldOf(Request, "Id") +
                   "\r\nProof: p" +
                   makeAnswer("GET / HTTP/1.1\r\nId: other\r\n\r\n", "another");
    return Answer;
  }});
  const auto Reply = Fixture.post("/orders/1", "r1", "x");
  CHECK(isStatus(Reply, 502));
  CHECK_FALSE(Reply.ends_with("another"));
}

TEST_CASE("a head with invalid line ends or characters is malformed") {
  std::string Line;
  SUBCASE("a bare line feed ends a line") { Line = "X: 1\nY: 2\r\n"; }
  SUBCASE("a bare line feed ends the head") { Line = "X: 1\n\n"; }
  SUBCASE("a NUL") { Line = std::string("X: 1\0\r\n", 7); }
  SUBCASE("a carriage return alone") { Line = "X: 1\rY: 2\r\n"; }
  SUBCASE("a line without a colon") { Line = "Content-Le\r\n"; }
  SUBCASE("two lengths") { Line = "Content-Length: 2\r\n"; }
  ingress_fixture Fixture({[Line](const std::string &Request) {
    scripted_answer Answer;
    Answer.Bytes = makeAnswer(Request, "whole", "200 OK", Line);
    Answer.Closes = true;
    return Answer;
  }});
  CHECK(isStatus(Fixture.post("/orders/1", "r1", "x"), 502));
}
