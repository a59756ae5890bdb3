#include "sesamepaddle/net/http_message.h"

#include "sesamepaddle/core/text.h"

#include "absl/strings/ascii.h"
#include "absl/strings/match.h"
#include "absl/strings/str_split.h"

#include <algorithm>
#include <array>

namespace sesamepaddle {

namespace {

// Hop-by-hop fields, and Content-Length, which the sender sets anew.
constexpr std::array<std::string_view, 9> HopByHopNames = {
    "connection",       "keep-alive",
    "proxy-connection", "te",
    "trailer",          "transfer-encoding",
    "upgrade",          "proxy-authenticate",
    "content-length"};

bool sameName(std::string_view Left, std::string_view Right) {
  return absl::EqualsIgnoreCase(toAbsl(Left), toAbsl(Right));
}

/** @returns the value of a hexadecimal digit, or -1. */
int hexDigit(char Digit) {
  if (absl::ascii_isdigit(static_cast<unsigned char>(Digit)))
    return Digit - '0';
  if (!absl::ascii_isxdigit(static_cast<unsigned char>(Digit)))
    return -1;
  return absl::ascii_tolower(static_cast<unsigned char>(Digit)) - 'a' + 10;
}

/** Decodes percent escapes and "+"; invalid escapes stay as they are. */
std::string decodePercent(std::string_view Text) {
  std::string Decoded;
  for (std::size_t I = 0; I < Text.size(); ++I) {
    const bool IsEscape = Text[I] == '%' && I + 2 < Text.size() &&
                          hexDigit(Text[I + 1]) >= 0 &&
                          hexDigit(Text[I + 2]) >= 0;
    if (!IsEscape) {
      Decoded += Text[I] == '+' ? ' ' : Text[I];
      continue;
    }
    Decoded +=
        static_cast<char>(hexDigit(Text[I + 1]) * 16 + hexDigit(Text[I + 2]));
    I += 2;
  }
  return Decoded;
}

} // namespace

std::string_view findHeader(const http_headers &Headers,
                            std::string_view Name) {
  for (const auto &Header : Headers)
    if (sameName(Header.Name, Name))
      return Header.Value;
  return {};
}

void removeHeader(http_headers &Headers, std::string_view Name) {
  std::erase_if(Headers, [Name](const http_header &Header) {
    return sameName(Header.Name, Name);
  });
}

void removeHopByHopHeaders(http_headers &Headers) {
  std::vector<std::string> ListedNames;
  for (const auto &Header : Headers)
    if (sameName(Header.Name, "connection"))
      for (auto Part : absl::StrSplit(Header.Value, ','))
        ListedNames.emplace_back(absl::StripAsciiWhitespace(Part));
  for (const auto &Name : ListedNames)
    removeHeader(Headers, Name);
  for (auto Name : HopByHopNames)
    removeHeader(Headers, Name);
}

void appendForwardedHeaders(std::string &Head, const http_headers &Headers,
                            std::span<const std::string_view> Excluded) {
  const auto IsIn = [](const auto &Names, std::string_view Name) {
    return std::any_of(Names.begin(), Names.end(), [Name](const auto &Other) {
      return sameName(Other, Name);
    });
  };
  std::vector<std::string> ListedNames;
  for (const auto &Header : Headers)
    if (sameName(Header.Name, "connection"))
      for (auto Part : absl::StrSplit(Header.Value, ','))
        ListedNames.emplace_back(absl::StripAsciiWhitespace(Part));
  for (const auto &Header : Headers)
    if (!IsIn(HopByHopNames, Header.Name) && !IsIn(Excluded, Header.Name) &&
        !IsIn(ListedNames, Header.Name))
      Head.append(Header.Name).append(": ").append(Header.Value).append("\r\n");
}

http_reply makeJsonReply(unsigned Status, std::string Json) {
  return {Status, {{"Content-Type", "application/json"}}, std::move(Json)};
}

bool containsStatusLine(std::string_view Text) {
  constexpr std::string_view Version = "HTTP/1.";
  // A digit of the version, a space and the digits of the status.
  constexpr std::string_view Shape = "0 000";
  const auto IsDigit = [](char Byte) {
    return absl::ascii_isdigit(static_cast<unsigned char>(Byte));
  };
  for (auto Start = Text.find(Version); Start != std::string_view::npos;
       Start = Text.find(Version, Start + 1)) {
    const auto Rest = Text.substr(Start + Version.size());
    const bool HasShape =
        Rest.size() >= Shape.size() &&
        std::equal(Shape.begin(), Shape.end(), Rest.begin(),
                   [&](char Expected, char Byte) {
                     return Expected == ' ' ? Byte == ' ' : IsDigit(Byte);
                   });
    if (HasShape && (Rest.size() == Shape.size() || Rest[Shape.size()] == ' '))
      return true;
  }
  return false;
}

bool containsStatusLine(const http_headers &Headers) {
  return std::any_of(Headers.begin(), Headers.end(), [](const auto &Header) {
    return containsStatusLine(std::string_view(Header.Value));
  });
}

std::string_view targetPath(std::string_view Target) {
  return Target.substr(0, Target.find('?'));
}

std::string queryValue(std::string_view Target, std::string_view Name) {
  const auto Start = Target.find('?');
  if (Start == std::string_view::npos)
    return {};
  const absl::string_view Query(Target.data() + Start + 1,
                                Target.size() - Start - 1);
  for (absl::string_view Field : absl::StrSplit(Query, '&')) {
    const std::pair<absl::string_view, absl::string_view> Parts =
        absl::StrSplit(Field, absl::MaxSplits('=', 1));
    if (toStd(Parts.first) == Name)
      return decodePercent(toStd(Parts.second));
  }
  return {};
}

} // namespace sesamepaddle
