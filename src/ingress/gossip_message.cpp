#include "ingress/gossip_message.h"

namespace sesamepaddle {

namespace {

constexpr std::uint8_t KnownFormat = 1;
// A datagram that claims more elements than fit into it is not unpacked.
constexpr std::size_t MaxElements = 4'096;

} // namespace

std::string encodeGossip(const gossip_message &Message) {
  msgpack::sbuffer Packed;
  msgpack::pack(Packed, Message);
  return {Packed.data(), Packed.size()};
}

std::optional<gossip_message> decodeGossip(std::string_view Datagram) {
  try {
    const msgpack::unpack_limit Limit(MaxElements, MaxElements, Datagram.size(),
                                      Datagram.size(), 0, 8);
    const auto Handle = msgpack::unpack(Datagram.data(), Datagram.size(),
                                        nullptr, nullptr, Limit);
    auto Message = Handle.get().as<gossip_message>();
    if (Message.Format != KnownFormat || Message.Name.empty())
      return std::nullopt;
    return Message;
  } catch (const msgpack::unpack_error &) {
    return std::nullopt;
  } catch (const msgpack::type_error &) {
    return std::nullopt;
  }
}

} // namespace sesamepaddle
