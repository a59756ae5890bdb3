#include "entry/crash_message.h"

#include <msgpack.hpp>

#include <array>

namespace sesamepaddle {

namespace {

// Messages with a longer fingerprint or endpoint address are rejected.
constexpr std::size_t MaxFieldBytes = 256;

} // namespace

std::string encodeCrash(const crash_evidence &Evidence) {
  msgpack::sbuffer Buffer;
  msgpack::pack(Buffer, std::array<std::string, 2>{Evidence.Fingerprint,
                                                   Evidence.Endpoint});
  return {Buffer.data(), Buffer.size()};
}

std::optional<crash_evidence> decodeCrash(std::string_view Payload) {
  try {
    const auto Handle = msgpack::unpack(Payload.data(), Payload.size());
    const auto Fields = Handle.get().as<std::array<std::string, 2>>();
    if (Fields[0].size() > MaxFieldBytes || Fields[1].size() > MaxFieldBytes)
      return std::nullopt;
    return crash_evidence{Fields[0], Fields[1]};
  } catch (const msgpack::unpack_error &) {
    return std::nullopt;
  } catch (const msgpack::type_error &) {
    return std::nullopt;
  }
}

} // namespace sesamepaddle
