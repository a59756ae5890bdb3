#ifndef SESAMEPADDLE_STEERING_BLOCK_MAP_H
#define SESAMEPADDLE_STEERING_BLOCK_MAP_H

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <string_view>
#include <vector>

namespace sesamepaddle {

/** An IPv4 address in host byte order. */
enum class client_address : std::uint32_t {};

/** Index of a site, see lookup_table. */
using site_index = std::uint16_t;

/** A block of clients: all addresses that share a prefix, and their nearest
    site. */
struct client_block {
  client_address Base{};
  std::uint8_t PrefixBits = 24;
  site_index NearestSite = 0;
};

/** Parses an IPv4 address such as 198.51.100.7.
    @returns nothing when @p Text cannot be parsed. */
std::optional<client_address> parseClientAddress(std::string_view Text);

/** Maps client addresses to their nearest site; immutable. The block with the
    longest prefix decides. */
class block_map {
public:
  block_map() = default;
  explicit block_map(std::span<const client_block> Blocks);

  /** @returns the nearest site, or nothing when no block covers the client. */
  std::optional<site_index> find(client_address Client) const;

  /** @returns the number of disjoint address ranges, including those without a
      site. */
  std::size_t rangeCount() const { return Starts.size(); }

  /** @returns the memory that the map's tables use, in bytes. */
  std::size_t memoryBytes() const;

private:
  void append(std::uint64_t Start, site_index Site);
  void buildIndex();

  // Disjoint ranges in ascending order; each extends to the start of the next.
  std::vector<std::uint32_t> Starts;
  std::vector<site_index> Sites;
  // For each /16 the range in which it begins, so that a search covers few
  // ranges.
  std::vector<std::uint32_t> FirstRange;
};

} // namespace sesamepaddle

#endif
