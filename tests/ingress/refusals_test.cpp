#include "ingress/ingress_fixture.h"

#include <doctest/doctest.h>

using namespace sesamepaddle;
using std::chrono::milliseconds;

namespace {

bool isStatus(const std::string &Reply, int Status) {
  return Reply.starts_with("HTTP/1.1 " + std::to_string(Status) + " ");
}

scripted_answer answerWhole(const std::string &Request) {
  return {makeAnswer(Request, "whole"), "", false, false, milliseconds(0)};
}

std::string refusalTo(const std::string &Id) {
  return makeAnswer("GET / HTTP/1.1\r\nId: " + Id + "\r\n\r\n", "",
                    "503 Service Unavailable", "Not-Run: 1\r\n");
}

std::string unnamedRefusal(const std::string &Status,
                           const std::string &Fields) {
  return "HTTP/1.1 " + Status + "\r\n" + Fields + "Content-Length: 0\r\n\r\n";
}

/** Answers requests whose id begins with "warm", and writes @p Stale before the
    answer to any other request. */
scripted_endpoint::script repeatBefore(const std::string &Stale) {
  return [Stale](const std::string &Request) {
    auto Answer = answerWhole(Request);
    if (!fieldOf(Request, "Id").starts_with("warm"))
      Answer.Bytes = Stale + Answer.Bytes;
    return Answer;
  };
}

std::size_t countRequests(ingress_fixture &Fixture, const std::string &Id) {
  std::size_t Count = 0;
  for (std::size_t Index = 0; Index < 2; ++Index)
    for (const auto &Request : Fixture.endpoint(Index).requests())
      Count += fieldOf(Request, "Id") == Id ? 1 : 0;
  return Count;
}

void keepConnections(ingress_fixture &Fixture) {
  for (int Number = 0; Number < 12; ++Number)
    REQUIRE(isStatus(
        Fixture.post("/orders/1", "warm" + std::to_string(Number), "x"), 200));
  REQUIRE(Fixture.endpoint(0).connections() == 1);
  REQUIRE(Fixture.endpoint(1).connections() == 1);
}

} // namespace

TEST_CASE("a refusal without the request's id does not say that it did not "
          "run") {
  std::string Stale;
  SUBCASE("503") {
    Stale = unnamedRefusal("503 Service Unavailable", "Not-Run: 1\r\n");
  }
  SUBCASE("429") {
    Stale = unnamedRefusal("429 Too Many Requests", "Not-Run: 1\r\n");
  }
  SUBCASE("400") {
    Stale = unnamedRefusal("400 Bad Request", "Not-Run: 1\r\n");
  }
  SUBCASE("421") { Stale = unnamedRefusal("421 Misdirected Request", ""); }
  SUBCASE("after an interim answer") {
    Stale = "HTTP/1.1 100 Continue\r\n\r\n" +
            unnamedRefusal("503 Service Unavailable", "Not-Run: 1\r\n");
  }
  ingress_fixture Fixture({repeatBefore(Stale), repeatBefore(Stale)});

  CHECK(isStatus(Fixture.post("/orders/1", "new", "x"), 502));
  CHECK(countRequests(Fixture, "new") == 1);
}

TEST_CASE("a refusal without an id on a kept connection answers no request") {
  const auto Stale =
      unnamedRefusal("503 Service Unavailable", "Not-Run: 1\r\n");

  SUBCASE("in one piece") {
    ingress_fixture Fixture({repeatBefore(Stale), repeatBefore(Stale)});
    keepConnections(Fixture);
    CHECK(isStatus(Fixture.post("/orders/1", "kept", "x"), 502));
    CHECK(countRequests(Fixture, "kept") == 1);
  }

  SUBCASE("split over packets") {
    const auto Split = [Stale](const std::string &Request) {
      auto Answer = answerWhole(Request);
      if (!fieldOf(Request, "Id").starts_with("warm")) {
        Answer.LateBytes = Stale.substr(20) + Answer.Bytes;
        Answer.Bytes = Stale.substr(0, 20);
      }
      return Answer;
    };
    ingress_fixture Fixture({Split, Split});
    keepConnections(Fixture);
    CHECK(isStatus(Fixture.post("/orders/1", "kept", "x"), 502));
    CHECK(countRequests(Fixture, "kept") == 1);
  }

  SUBCASE("any other answer without an id") {
    const std::string Foreign =
        "HTTP/1.1 200 OK\r\nProof: p0\r\nContent-Length: 7\r\n\r\nanother";
    ingress_fixture Fixture({repeatBefore(Foreign), repeatBefore(Foreign)});
    keepConnections(Fixture);
    const auto Reply = Fixture.post("/orders/1", "kept", "x");
    CHECK(isStatus(Reply, 502));
    CHECK_FALSE(Reply.ends_with("another"));
  }
}

TEST_CASE("a refusal of an earlier request is dropped") {
  SUBCASE("in front of the answer") {
    const auto Repeat = repeatBefore(refusalTo("warm0"));
    ingress_fixture Fixture({Repeat, Repeat});
    keepConnections(Fixture);
    CHECK(isStatus(Fixture.post("/orders/1", "kept", "x"), 200));
    CHECK(countRequests(Fixture, "kept") == 1);
  }

  SUBCASE("and nothing else arrives") {
    const auto Repeat = [](const std::string &Request) {
      auto Answer = answerWhole(Request);
      if (!fieldOf(Request, "Id").starts_with("warm"))
        Answer.Bytes = refusalTo("warm0");
      return Answer;
    };
    ingress_fixture Fixture({Repeat, Repeat});
    keepConnections(Fixture);
    CHECK(isStatus(Fixture.post("/orders/1", "kept", "x"), 504));
    CHECK(countRequests(Fixture, "kept") == 1);
  }
}

// Callers take these statuses as a promise that the request never runs.
TEST_CASE("a status that promises 'not run' is not forwarded without the "
          "endpoint's word") {
  std::string Status;
  SUBCASE("503") { Status = "503 Service Unavailable"; }
  SUBCASE("429") { Status = "429 Too Many Requests"; }
  SUBCASE("408") { Status = "408 Request Timeout"; }
  const auto Answer = [Status](const std::string &Request) {
    return scripted_answer{makeAnswer(Request, "ran", Status), "", false, false,
                           milliseconds(0)};
  };
  ingress_fixture Fixture({Answer, Answer});
  CHECK(isStatus(Fixture.post("/orders/1", "r1", "x"), 502));
  CHECK(countRequests(Fixture, "r1") == 1);
}

// The id does not tell a repeated refusal from the answer to a second request
// with the same id.
TEST_CASE("a connection carries no second request with the same id") {
  scripted_endpoint *Endpoint = nullptr;
  std::size_t Runs = 0;
  ingress_fixture Fixture({[&](const std::string &Request) {
    const auto Refusal = refusalTo(fieldOf(Request, "Id"));
    auto Answer = answerWhole(Request);
    if (fieldOf(Request, "Id") != "again")
      return Answer;
    if (Endpoint->requests().size() == 1) {
      Answer.Bytes = Refusal;
      return Answer;
    }
    ++Runs;
    if (Endpoint->connections() == 1)
      Answer.Bytes = Refusal + Answer.Bytes;
    return Answer;
  }});
  Endpoint = &Fixture.endpoint(0);
  REQUIRE(isStatus(Fixture.post("/orders/1", "again", "x"), 503));
  REQUIRE(isStatus(Fixture.post("/orders/1", "other", "x"), 200));
  REQUIRE(Endpoint->connections() == 1);
  CHECK(isStatus(Fixture.post("/orders/1", "again", "x"), 200));
  CHECK(Endpoint->connections() == 2);
  CHECK(Runs == 1);
}
