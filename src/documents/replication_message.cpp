#include "sesamepaddle/documents/replication_message.h"

#include "sesamepaddle/documents/failures.h"

#include <msgpack.hpp>

#include <map>
#include <tuple>

namespace sesamepaddle {

namespace {

/** The message on the wire, in the order of replication_message's members. */
using packed_message =
    std::tuple<std::string, std::uint64_t, std::uint64_t, std::uint64_t,
               std::uint64_t, std::map<std::string, document_number>,
               std::vector<std::string>, std::vector<std::string>>;

// No element can be longer than the payload. A forged larger length must fail
// instead of making the parser allocate memory for it.
msgpack::unpack_limit unpackLimits(std::string_view Payload) {
  // The message is an array that holds flat arrays and a flat map.
  constexpr std::size_t Depth = 3;
  const std::size_t Longest = Payload.size();
  return {Longest, Longest, Longest, Longest, Longest, Depth};
}

} // namespace

std::string replication_message::serialize() const {
  std::map<std::string, document_number> Numbers;
  for (const auto &[Service, Number] : Offered)
    Numbers[Service.str()] = Number;
  std::vector<std::string> Names;
  Names.reserve(Wanted.size());
  for (const auto &Service : Wanted)
    Names.push_back(Service.str());
  msgpack::sbuffer Buffer;
  msgpack::pack(Buffer, packed_message(SenderAddress, Token, Echo,
                                       PlatformAnswerAgeMilliseconds, Digest,
                                       Numbers, Names, Documents));
  return {Buffer.data(), Buffer.size()};
}

absl::StatusOr<replication_message>
parseReplicationMessage(std::string_view Payload) {
  try {
    const auto Handle = msgpack::unpack(Payload.data(), Payload.size(), nullptr,
                                        nullptr, unpackLimits(Payload));
    const auto Parts = Handle.get().as<packed_message>();
    replication_message Message;
    Message.SenderAddress = std::get<0>(Parts);
    Message.Token = std::get<1>(Parts);
    Message.Echo = std::get<2>(Parts);
    Message.PlatformAnswerAgeMilliseconds = std::get<3>(Parts);
    Message.Digest = std::get<4>(Parts);
    for (const auto &[Service, Number] : std::get<5>(Parts))
      Message.Offered.push_back({service_name(Service), Number});
    for (const auto &Service : std::get<6>(Parts))
      Message.Wanted.emplace_back(Service);
    Message.Documents = std::get<7>(Parts);
    return Message;
  } catch (const std::exception &Error) {
    return makeFailure(document_failure::MalformedMessage, Error.what());
  }
}

} // namespace sesamepaddle
