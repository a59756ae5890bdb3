#include "entry/move_message.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <vector>

namespace sesamepaddle {

namespace {

using json = nlohmann::json;

json writeBatch(const evidence_batch &Batch) {
  json Kinds = json::array();
  for (const auto &Kind : Batch.Kinds)
    Kinds.push_back(
        {Kind.Comparison, Kind.Rise.SumNats, Kind.Rise.FromZeroNats});
  return {Batch.Route.str(), Kinds};
}

evidence_batch readBatch(const json &Row) {
  evidence_batch Batch;
  Batch.Route = route_name(Row.at(0).get<std::string>());
  for (std::size_t Index = 0; Index < FaultKinds; ++Index) {
    const auto &Kind = Row.at(1).at(Index);
    Batch.Kinds[Index].Comparison = Kind.at(0).get<log_ratios>();
    Batch.Kinds[Index].Rise = {Kind.at(1).get<double>(),
                               Kind.at(2).get<double>()};
  }
  return Batch;
}

json writeCrash(const crash_report &Crash) {
  return {static_cast<std::uint64_t>(Crash.Endpoint),
          static_cast<std::uint64_t>(Crash.Fingerprint), Crash.WasRunning};
}

crash_report readCrash(const json &Row) {
  return {endpoint_id(Row.at(0).get<std::uint64_t>()),
          request_fingerprint(Row.at(1).get<std::uint64_t>()),
          Row.at(2).get<bool>()};
}

move_message readMessage(const json &Body) {
  move_message Message;
  Message.Service = service_name(Body.at("service").get<std::string>());
  Message.Number = Body.at("number").get<document_number>();
  Message.News.Share = Body.at("share").get<double>();
  if (Body.contains("stop"))
    Message.News.Stop = parseMoveRecord(Body["stop"].get<std::string>());
  for (const auto &Row : Body.at("batches"))
    Message.News.Batches.push_back(readBatch(Row));
  for (const auto &Row : Body.at("crashes"))
    Message.News.Crashes.push_back(readCrash(Row));
  return Message;
}

} // namespace

std::string move_message::serialize() const {
  json Body = {{"service", Service.str()},
               {"number", Number},
               {"share", News.Share},
               {"batches", json::array()},
               {"crashes", json::array()}};
  if (News.Stop)
    Body["stop"] = News.Stop->serialize();
  for (const auto &Batch : News.Batches)
    Body["batches"].push_back(writeBatch(Batch));
  for (const auto &Crash : News.Crashes)
    Body["crashes"].push_back(writeCrash(Crash));
  const auto Bytes = json::to_msgpack(Body);
  return {Bytes.begin(), Bytes.end()};
}

std::optional<move_message> parseMoveMessage(std::string_view Payload) {
  const json Body =
      json::from_msgpack(Payload.begin(), Payload.end(), true, false);
  if (!Body.is_object())
    return std::nullopt;
  try {
    return readMessage(Body);
  } catch (const json::exception &) {
    return std::nullopt;
  }
}

} // namespace sesamepaddle
