#include "sesamepaddle/steering/block_map.h"

#include "sesamepaddle/core/text.h"

#include "absl/strings/numbers.h"

#include <algorithm>
#include <limits>

namespace sesamepaddle {

namespace {

constexpr unsigned AddressBits = 32;
constexpr unsigned IndexShift = 16; // the index has an entry for each /16
// One past the largest address.
constexpr std::uint64_t AddressEnd = std::uint64_t{1} << AddressBits;
// Marks a range that no block covers.
constexpr site_index NoSite = std::numeric_limits<site_index>::max();

struct block_range {
  std::uint64_t First = 0;
  std::uint64_t End = 0;
  site_index Site = NoSite;
};

block_range rangeOf(const client_block &Block) {
  const std::uint64_t Size = std::uint64_t{1}
                             << (AddressBits - Block.PrefixBits);
  const std::uint64_t Base = static_cast<std::uint32_t>(Block.Base);
  const std::uint64_t First = Base & ~(Size - 1);
  return {First, First + Size, Block.NearestSite};
}

} // namespace

std::optional<client_address> parseClientAddress(std::string_view Text) {
  constexpr unsigned Parts = 4;
  constexpr std::uint32_t LargestPart = 255;
  std::uint32_t Address = 0;
  for (unsigned Part = 0; Part < Parts; ++Part) {
    const auto Dot = Text.find('.');
    const bool IsLast = Part + 1 == Parts;
    if ((Dot == std::string_view::npos) != IsLast)
      return std::nullopt;
    std::uint32_t Value = 0;
    if (!absl::SimpleAtoi(toAbsl(Text.substr(0, Dot)), &Value) ||
        Value > LargestPart)
      return std::nullopt;
    Address = (Address << 8U) | Value;
    if (!IsLast)
      Text.remove_prefix(Dot + 1);
  }
  return client_address(Address);
}

// Two prefixes either nest or are disjoint, so the top of a stack of open
// blocks is the block with the longest prefix.
block_map::block_map(std::span<const client_block> Blocks) {
  std::vector<block_range> Ranges;
  for (const auto &Block : Blocks)
    if (Block.PrefixBits <= AddressBits)
      Ranges.push_back(rangeOf(Block));
  std::ranges::stable_sort(Ranges, [](const auto &A, const auto &B) {
    return A.First != B.First ? A.First < B.First : A.End > B.End;
  });
  std::vector<block_range> Open = {{0, AddressEnd, NoSite}};
  append(0, NoSite);
  const auto CloseUntil = [&](std::uint64_t Position) {
    while (Open.size() > 1 && Open.back().End <= Position) {
      const std::uint64_t End = Open.back().End;
      Open.pop_back();
      if (End < AddressEnd)
        append(End, Open.back().Site);
    }
  };
  for (const auto &Range : Ranges) {
    CloseUntil(Range.First);
    append(Range.First, Range.Site);
    Open.push_back(Range);
  }
  CloseUntil(AddressEnd);
  Starts.shrink_to_fit();
  Sites.shrink_to_fit();
  buildIndex();
}

std::optional<site_index> block_map::find(client_address Client) const {
  if (Starts.empty())
    return std::nullopt;
  const auto Address = static_cast<std::uint32_t>(Client);
  const auto Page = Address >> IndexShift;
  const auto First = Starts.begin() + FirstRange[Page];
  const auto Last = Starts.begin() + FirstRange[Page + 1] + 1;
  const auto Next =
      std::upper_bound(First, std::min(Last, Starts.end()), Address);
  const site_index Site =
      Sites[static_cast<std::size_t>(Next - Starts.begin()) - 1];
  if (Site == NoSite)
    return std::nullopt;
  return Site;
}

std::size_t block_map::memoryBytes() const {
  return Starts.capacity() * sizeof(Starts[0]) +
         Sites.capacity() * sizeof(Sites[0]) +
         FirstRange.capacity() * sizeof(FirstRange[0]);
}

// A range that begins where the last one begins replaces it. Adjacent ranges
// with the same site are merged.
void block_map::append(std::uint64_t Start, site_index Site) {
  const auto Position = static_cast<std::uint32_t>(Start);
  if (!Starts.empty() && Starts.back() == Position) {
    Starts.pop_back();
    Sites.pop_back();
  }
  if (!Sites.empty() && Sites.back() == Site)
    return;
  Starts.push_back(Position);
  Sites.push_back(Site);
}

// FirstRange[Page] is the range in which the page begins.
void block_map::buildIndex() {
  constexpr std::size_t Pages = std::size_t{1} << (AddressBits - IndexShift);
  FirstRange.reserve(Pages + 1);
  std::size_t Range = 0;
  for (std::size_t Page = 0; Page < Pages; ++Page) {
    const std::uint64_t PageStart = std::uint64_t{Page} << IndexShift;
    while (Range + 1 < Starts.size() && Starts[Range + 1] <= PageStart)
      ++Range;
    FirstRange.push_back(static_cast<std::uint32_t>(Range));
  }
  FirstRange.push_back(static_cast<std::uint32_t>(Starts.size() - 1));
}

} // namespace sesamepaddle
