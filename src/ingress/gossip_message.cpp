#include "ingress/gossip_message.h"

namespace sesamepaddle {

namespace {

// Versions of the two message formats, equal to the defaults of their Format
// fields. Messages of other versions are dropped.
constexpr std::uint8_t GossipFormat = 7;
constexpr std::uint8_t TokenFormat = 3;
// Bound on the elements of an array or a map. A datagram may claim more
// elements than fit into it; it is rejected before memory is allocated for
// them.
constexpr std::size_t MaxElements = 4'096;

template <typename Message> std::string encode(const Message &Content) {
  msgpack::sbuffer Packed;
  msgpack::pack(Packed, Content);
  return {Packed.data(), Packed.size()};
}

template <typename Message>
std::optional<Message> decode(std::string_view Datagram) {
  try {
    // In this order: array, map, string, binary, extension, nesting depth.
    const msgpack::unpack_limit Limit(MaxElements, MaxElements, Datagram.size(),
                                      Datagram.size(), 0, 8);
    const auto Handle = msgpack::unpack(Datagram.data(), Datagram.size(),
                                        nullptr, nullptr, Limit);
    return Handle.get().as<Message>();
  } catch (const msgpack::unpack_error &) {
    return std::nullopt;
  } catch (const msgpack::type_error &) {
    return std::nullopt;
  }
}

} // namespace

std::string encodeTokens(const token_message &Message) {
  return encode(Message);
}

std::optional<token_message> decodeTokens(std::string_view Datagram) {
  auto Message = decode<token_message>(Datagram);
  return Message && Message->Format == TokenFormat ? Message : std::nullopt;
}

std::string encodeGossip(const gossip_message &Message) {
  return encode(Message);
}

std::optional<gossip_message> decodeGossip(std::string_view Datagram) {
  auto Message = decode<gossip_message>(Datagram);
  const bool IsKnown =
      Message && Message->Format == GossipFormat && !Message->Name.empty();
  return IsKnown ? Message : std::nullopt;
}

} // namespace sesamepaddle
