#include "sesamepaddle/idempotency/request_identifier.h"

#include <array>
#include <charconv>
#include <cstdio>

namespace sesamepaddle {

namespace {

// Longer texts are not parsed.
constexpr std::size_t MaxTextBytes = 512;

// Two hexadecimal digits for each of the TagBytes in idempotency_registry.cpp.
constexpr std::size_t TagDigits = 32;

std::string toHexText(std::uint64_t Number) {
  std::array<char, 17> Buffer{};
  std::snprintf(Buffer.data(), Buffer.size(), "%llx",
                static_cast<unsigned long long>(Number));
  return Buffer.data();
}

bool readHex(std::string_view Text, std::uint64_t &Number) {
  const char *End = Text.data() + Text.size();
  const auto Result = std::from_chars(Text.data(), End, Number, 16);
  return Result.ec == std::errc() && Result.ptr == End;
}

/** Removes the last dot and what follows it from @p Text.
    @returns what followed the dot, or nothing when there is no dot */
std::string_view removeLastPart(std::string_view &Text) {
  const auto Dot = Text.rfind('.');
  if (Dot == std::string_view::npos)
    return {};
  const auto Last = Text.substr(Dot + 1);
  Text = Text.substr(0, Dot);
  return Last;
}

} // namespace

std::string request_identifier::str() const {
  return Issuer.Name.str() + "." +
         toHexText(static_cast<std::uint64_t>(Issuer.Incarnation)) + "." +
         toHexText(Sequence) + "." + Tag;
}

// A VM's name may contain dots, so the parts are parsed from the end.
std::optional<request_identifier>
request_identifier::parse(std::string_view Text) {
  if (Text.size() > MaxTextBytes)
    return std::nullopt;
  request_identifier Identifier;
  Identifier.Tag = std::string(removeLastPart(Text));
  std::uint64_t Incarnation = 0;
  if (Identifier.Tag.size() != TagDigits ||
      !readHex(removeLastPart(Text), Identifier.Sequence) ||
      !readHex(removeLastPart(Text), Incarnation) || Text.empty())
    return std::nullopt;
  Identifier.Issuer = {vm_name(std::string(Text)), incarnation{Incarnation}};
  return Identifier;
}

} // namespace sesamepaddle
