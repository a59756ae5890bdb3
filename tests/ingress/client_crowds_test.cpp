#include "ingress/vm_process.h"
#include "sesamepaddle/core/clock.h"
#include "support/process_memory.h"
#include "support/raw_connection.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <cstddef>
#include <string>
#include <thread>

// Clients that do not behave, at a VM with 48 MiB and 256 descriptors.

using namespace sesamepaddle;
using std::chrono::milliseconds;

namespace {

constexpr std::size_t Crowd = 100;
// Legal; together twice the VM's memory.
constexpr std::size_t BodyBytes = 1'000'000;
constexpr std::size_t LargePiece = 256 * 1024;
constexpr std::size_t SmallPiece = 1'000;
// Below the 16 KiB that a head may have.
constexpr std::size_t FieldBytes = 15'800;
constexpr std::size_t LongAnswerBytes = 6'000'000;
constexpr std::size_t ShortAnswerBytes = 30'000;
constexpr std::size_t RequestsAhead = 500;
// More connections than descriptors.
constexpr std::size_t ManyConnections = 300;
// For an ordinary request, while the crowd's connections stay open: before all
// of them have been closed for their silence.
constexpr milliseconds ServedWithin{20'000};

scripted_answer answerByPath(const std::string &Request) {
  scripted_answer Answer;
  const bool IsLong = Request.starts_with("GET /checks/long");
  Answer.Bytes = makeAnswer(
      Request, std::string(IsLong ? LongAnswerBytes : ShortAnswerBytes, 'a'));
  if (Request.starts_with("GET /checks/late"))
    Answer.Delay = milliseconds(2'000);
  return Answer;
}

std::string makeHead(const std::string &Line, const std::string &Fields,
                     const std::string &Id = "c") {
  return Line + " HTTP/1.1\r\nHost: shop.example\r\nId: " + Id +
         "\r\nKey: k1\r\n" + Fields + "\r\n";
}

/** @returns a POST whose body ends one byte short of its length. */
std::string makePart(const std::string &Path) {
  return makeHead("POST " + Path,
                  "Content-Length: " + std::to_string(BodyBytes) + "\r\n") +
         std::string(BodyBytes - 1, 'b');
}

/** @returns a POST in chunks without the last one. */
std::string makeChunks(const std::string &Path) {
  constexpr std::size_t ChunkBytes = 1'000;
  std::string Request =
      makeHead("POST " + Path, "Transfer-Encoding: chunked\r\n");
  for (std::size_t Bytes = 0; Bytes < BodyBytes; Bytes += ChunkBytes)
    Request += "3e8\r\n" + std::string(ChunkBytes, 'b') + "\r\n";
  return Request;
}

std::string manyFields() {
  std::string Fields;
  while (Fields.size() < FieldBytes)
    Fields += "a:\r\n";
  return Fields;
}

/** @returns true when one of several attempts gets a 200 in time. */
bool isServed(const tcp::endpoint &Server, const std::string &Request) {
  const auto Until = boot_clock::now() + ServedWithin;
  while (boot_clock::now() < Until) {
    try {
      raw_connection Connection(Server);
      Connection.send(Request);
      if (Connection.readToEnd(milliseconds(5'000)).starts_with("HTTP/1.1 200"))
        return true;
    } catch (const boost::system::system_error &) {
    }
    std::this_thread::sleep_for(milliseconds(100));
  }
  return false;
}

/** Checks what must hold while the crowd's connections are open. */
void checkVm(vm_process &Vm) {
  CHECK(isServed(Vm.callers(),
                 "POST /orders/1 HTTP/1.1\r\nHost: shop.example\r\nId: o1\r\n"
                 "Key: k1\r\nContent-Length: 5\r\nConnection: close\r\n\r\n"
                 "cloth"));
  CHECK(isServed(Vm.readiness(), "GET /ready HTTP/1.1\r\nHost: shop.example\r\n"
                                 "Connection: close\r\n\r\n"));
  REQUIRE(Vm.isAlive());
  if (IsResidentExact)
    CHECK(Vm.peakBytes() < vm_process::MemoryBytes);
  CHECK(Vm.descriptors() < vm_process::Descriptors);
}

void sendToCallers(const std::string &Bytes, std::size_t PieceBytes) {
  vm_process Vm(answerByPath);
  client_crowd Clients(Vm.callers(), Crowd);
  Clients.send(Bytes, PieceBytes);
  checkVm(Vm);
}

void sendToReadiness(const std::string &Bytes, std::size_t PieceBytes) {
  vm_process Vm(answerByPath);
  client_crowd Clients(Vm.readiness(), Crowd);
  Clients.send(Bytes, PieceBytes);
  checkVm(Vm);
}

} // namespace

TEST_CASE("crowd: bodies in one piece that stop short of their end") {
  sendToCallers(makePart("/orders/1"), LargePiece);
}
TEST_CASE("crowd: bodies in one piece that stop short at a path without a "
          "route") {
  sendToCallers(makePart("/none"), LargePiece);
}
TEST_CASE("crowd: bodies in one piece that stop short at the readiness "
          "address") {
  sendToReadiness(makePart("/ready"), LargePiece);
}
TEST_CASE("crowd: bodies in small pieces that stop short of their end") {
  sendToCallers(makePart("/orders/1"), SmallPiece);
}
TEST_CASE("crowd: bodies in small pieces that stop short at a path without a "
          "route") {
  sendToCallers(makePart("/none"), SmallPiece);
}
TEST_CASE("crowd: bodies in small pieces that stop short at the readiness "
          "address") {
  sendToReadiness(makePart("/ready"), SmallPiece);
}
TEST_CASE("crowd: bodies in chunks that stop short of their end") {
  sendToCallers(makeChunks("/orders/1"), LargePiece);
}
TEST_CASE("crowd: bodies in chunks that stop short at a path without a route") {
  sendToCallers(makeChunks("/none"), LargePiece);
}
TEST_CASE("crowd: bodies in chunks that stop short at the readiness address") {
  sendToReadiness(makeChunks("/ready"), LargePiece);
}
TEST_CASE("crowd: bodies far over the limit") {
  sendToCallers(makeHead("POST /orders/1", "Content-Length: 1000000000\r\n") +
                    std::string(BodyBytes, 'b'),
                LargePiece);
}
TEST_CASE("crowd: bodies far over the limit at the readiness address") {
  sendToReadiness(makeHead("POST /ready", "Content-Length: 1000000000\r\n") +
                      std::string(BodyBytes, 'b'),
                  LargePiece);
}
TEST_CASE("crowd: heads of many short fields that stop short of their end") {
  const auto Head = makeHead("GET /checks/1", manyFields());
  sendToCallers(Head.substr(0, Head.size() - 1), LargePiece);
}
TEST_CASE("crowd: heads of many short fields whose body does not come") {
  sendToCallers(
      makeHead("POST /orders/1", "Content-Length: 5\r\n" + manyFields()),
      LargePiece);
}
TEST_CASE("crowd: heads of many short fields whose answers are late") {
  sendToCallers(makeHead("GET /checks/late", manyFields()), LargePiece);
}
TEST_CASE("crowd: heads of many short fields at the readiness address") {
  sendToReadiness(
      makeHead("POST /ready", "Content-Length: 5\r\n" + manyFields()),
      LargePiece);
}
TEST_CASE("crowd: many requests sent ahead whose answers are not read") {
  std::string Requests;
  for (std::size_t Number = 0; Number < RequestsAhead; ++Number)
    Requests += makeHead("GET /checks/1", "", std::to_string(Number));
  sendToCallers(Requests, LargePiece);
}
TEST_CASE("crowd: many requests sent ahead at the readiness address") {
  std::string Requests;
  for (std::size_t Number = 0; Number < RequestsAhead; ++Number)
    Requests += makeHead("GET /ready", "");
  sendToReadiness(Requests, LargePiece);
}
TEST_CASE("crowd: long answers that are not read") {
  sendToCallers(makeHead("GET /checks/long", ""), LargePiece);
}
TEST_CASE("crowd: more silent connections than descriptors") {
  vm_process Vm(answerByPath);
  const client_crowd Clients(Vm.callers(), ManyConnections);
  checkVm(Vm);
}
TEST_CASE("crowd: more silent connections than descriptors at the readiness "
          "address") {
  vm_process Vm(answerByPath);
  const client_crowd Clients(Vm.readiness(), ManyConnections);
  checkVm(Vm);
}
