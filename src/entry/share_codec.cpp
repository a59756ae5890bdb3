#include "entry/share_codec.h"

#include <msgpack.hpp>
#include <nlohmann/json.hpp>

#include <cmath>
#include <tuple>

namespace sesamepaddle {

namespace {

using json = nlohmann::json;

/** The first field of a message. */
enum class message_code : std::uint8_t {
  LoanRequest = 1,
  LoanReply,
  TokenRequest,
  TokenReply,
  TokensSpent,
};

template <typename... Fields>
std::string pack(message_code Code, const Fields &...Values) {
  msgpack::sbuffer Buffer;
  msgpack::pack(Buffer,
                std::make_tuple(static_cast<std::uint8_t>(Code), Values...));
  return {Buffer.data(), Buffer.size()};
}

struct message_packer {
  std::string operator()(const loan_request &Message) const {
    return pack(message_code::LoanRequest, Message.Sequence, Message.Slots);
  }
  std::string operator()(const loan_reply &Message) const {
    return pack(message_code::LoanReply, Message.Sequence,
                static_cast<std::uint64_t>(Message.Home), Message.Slots,
                Message.Parts, std::int64_t{Message.FreeIn.count()});
  }
  std::string operator()(const token_request &Message) const {
    return pack(message_code::TokenRequest, Message.Sequence,
                Message.Limit.str(), Message.Tokens, Message.Unit);
  }
  std::string operator()(const token_reply &Message) const {
    return pack(message_code::TokenReply, Message.Sequence,
                static_cast<std::uint64_t>(Message.Asker), Message.Limit.str(),
                Message.Tokens);
  }
  std::string operator()(const tokens_spent &Message) const {
    return pack(message_code::TokensSpent, Message.Sequence,
                Message.Limit.str());
  }
};

template <typename... Fields>
std::tuple<Fields...> unpack(const msgpack::object &Object) {
  return Object.as<std::tuple<Fields...>>();
}

share_message decodeObject(message_code Code, const msgpack::object &Object) {
  using code = std::uint8_t;
  using number = std::uint64_t;
  switch (Code) {
  case message_code::LoanRequest: {
    const auto [_, Sequence, Slots] = unpack<code, number, number>(Object);
    return loan_request{Sequence, Slots};
  }
  case message_code::LoanReply: {
    const auto [_, Sequence, Home, Slots, Parts, FreeIn] =
        unpack<code, number, number, number, share_parts, std::int64_t>(Object);
    return loan_reply{Sequence, incarnation{Home}, Slots, Parts,
                      duration(FreeIn)};
  }
  case message_code::TokenRequest: {
    const auto [_, Sequence, Limit, Tokens, Unit] =
        unpack<code, number, std::string, double, double>(Object);
    return token_request{Sequence, limit_name(Limit), Tokens, Unit};
  }
  case message_code::TokenReply: {
    const auto [_, Sequence, Asker, Limit, Tokens] =
        unpack<code, number, number, std::string, double>(Object);
    return token_reply{Sequence, incarnation{Asker}, limit_name(Limit), Tokens};
  }
  case message_code::TokensSpent: {
    const auto [_, Sequence, Limit] = unpack<code, number, std::string>(Object);
    return tokens_spent{Sequence, limit_name(Limit)};
  }
  }
  throw msgpack::type_error();
}

} // namespace

std::string encodeShareMessage(const share_message &Message) {
  return std::visit(message_packer{}, Message);
}

std::optional<share_message> decodeShareMessage(std::string_view Bytes) {
  try {
    const msgpack::object_handle Handle =
        msgpack::unpack(Bytes.data(), Bytes.size());
    const msgpack::object &Object = Handle.get();
    if (Object.type != msgpack::type::ARRAY || Object.via.array.size == 0)
      return std::nullopt;
    const auto Code = Object.via.array.ptr[0].as<std::uint8_t>();
    return decodeObject(static_cast<message_code>(Code), Object);
  } catch (const msgpack::unpack_error &) {
    return std::nullopt;
  } catch (const msgpack::type_error &) {
    return std::nullopt;
  }
}

std::string encodeLedger(const domain_ledger &Ledger) {
  json Entries = json::object();
  for (const auto &[Name, Entry] : Ledger.Entries)
    Entries[Name.str()] = {{"owner", static_cast<std::uint64_t>(Entry.Owner)},
                           {"registration", Entry.Registration},
                           {"parts", Entry.Parts}};
  return json{{"free", Ledger.Free}, {"entries", Entries}}.dump();
}

std::optional<domain_ledger> decodeLedger(std::string_view Text) {
  try {
    const json Root = json::parse(Text);
    domain_ledger Ledger;
    Ledger.Free = Root.at("free").get<share_parts>();
    for (const auto &[Name, Entry] : Root.at("entries").items())
      Ledger.Entries[vm_name(Name)] = {
          incarnation{Entry.at("owner").get<std::uint64_t>()},
          Entry.at("registration").get<std::uint32_t>(),
          Entry.at("parts").get<share_parts>()};
    return Ledger;
  } catch (const json::exception &) {
    return std::nullopt;
  }
}

} // namespace sesamepaddle
