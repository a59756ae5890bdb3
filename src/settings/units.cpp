#include "sesamepaddle/settings/units.h"

#include "sesamepaddle/core/text.h"

#include "absl/strings/ascii.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"

#include <algorithm>
#include <arpa/inet.h>
#include <array>
#include <cmath>
#include <span>

namespace sesamepaddle {

namespace {

/** A unit's suffix and its factor to the unit in which values are returned. */
struct unit {
  std::string_view Suffix;
  double Factor;
};

// The first suffix that matches is used, so "ms" must come before "s", and
// "KiB" before "B".
constexpr std::array<unit, 4> DurationUnits = {
    {{"ms", 1}, {"min", 60'000}, {"s", 1'000}, {"h", 3'600'000}}};
constexpr std::array<unit, 4> ByteUnits = {{{"KiB", 1024},
                                            {"MiB", 1024.0 * 1024},
                                            {"GiB", 1024.0 * 1024 * 1024},
                                            {"B", 1}}};
constexpr std::array<unit, 1> RateUnits = {{{"/s", 1}}};
constexpr std::array<unit, 1> PercentUnits = {{{"%", 0.01}}};

/** @returns the nonnegative, finite number in @p Text times the factor of the
    unit behind it, or nothing when it has another form. */
std::optional<double> parseWithUnit(std::string_view Text,
                                    std::span<const unit> Units) {
  for (const auto &Unit : Units) {
    if (!Text.ends_with(Unit.Suffix))
      continue;
    const auto Number = Text.substr(0, Text.size() - Unit.Suffix.size());
    double Value = 0;
    const bool IsNumber = absl::SimpleAtod(toAbsl(Number), &Value);
    if (!IsNumber || !std::isfinite(Value) || Value < 0)
      return std::nullopt;
    return Value * Unit.Factor;
  }
  return std::nullopt;
}

} // namespace

std::optional<std::chrono::milliseconds> parseDuration(std::string_view Text) {
  // Ten years, in milliseconds. Adding a longer duration to a time point could
  // overflow.
  constexpr double Longest = 10.0 * 365 * 24 * 3'600'000;
  const auto Value = parseWithUnit(Text, DurationUnits);
  if (!Value || *Value > Longest)
    return std::nullopt;
  return std::chrono::milliseconds(std::llround(*Value));
}

std::optional<std::uint64_t> parseBytes(std::string_view Text) {
  // In bytes. Larger values could exceed the range of the integer returned.
  constexpr double Largest = 1e15;
  const auto Value = parseWithUnit(Text, ByteUnits);
  if (!Value || *Value > Largest)
    return std::nullopt;
  return static_cast<std::uint64_t>(*Value);
}

std::optional<double> parseRate(std::string_view Text) {
  return parseWithUnit(Text, RateUnits);
}

std::optional<double> parsePercent(std::string_view Text) {
  return parseWithUnit(Text, PercentUnits);
}

bool isSocketAddress(std::string_view Text) {
  constexpr unsigned LargestPort = 65'535;
  const auto Colon = Text.rfind(':');
  if (Colon == std::string_view::npos)
    return false;
  const std::string Ip(Text.substr(0, Colon));
  const auto PortText = Text.substr(Colon + 1);
  unsigned Port = 0;
  const bool IsPort = std::ranges::all_of(PortText, absl::ascii_isdigit) &&
                      absl::SimpleAtoi(toAbsl(PortText), &Port) && Port > 0 &&
                      Port <= LargestPort;
  in6_addr Address{};
  const bool IsIp = ::inet_pton(AF_INET, Ip.c_str(), &Address) == 1 ||
                    ::inet_pton(AF_INET6, Ip.c_str(), &Address) == 1;
  return IsPort && IsIp;
}

bool isName(std::string_view Text) {
  constexpr std::size_t LongestName = 64;
  const auto IsAllowed = [](unsigned char Character) {
    return absl::ascii_isalnum(Character) || Character == '-' ||
           Character == '_' || Character == '.';
  };
  return !Text.empty() && Text.size() <= LongestName &&
         std::ranges::all_of(Text, IsAllowed);
}

std::string formatDuration(std::chrono::milliseconds Duration) {
  if (Duration.count() % 1000 == 0)
    return absl::StrCat(Duration.count() / 1000, "s");
  return absl::StrCat(Duration.count(), "ms");
}

} // namespace sesamepaddle
