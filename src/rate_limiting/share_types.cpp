#include "sesamepaddle/rate_limiting/share_types.h"

namespace sesamepaddle {

namespace {

// FNV-1a, because all VMs must compute the same slot and std::hash may differ
// between builds.
constexpr std::uint64_t HashSeed = 14695981039346656037ULL;
constexpr std::uint64_t HashPrime = 1099511628211ULL;

} // namespace

std::size_t slotOf(const limit_name &Limit) {
  std::uint64_t Hash = HashSeed;
  for (const char Byte : Limit.view())
    Hash = (Hash ^ static_cast<unsigned char>(Byte)) * HashPrime;
  return (Hash ^ (Hash >> 32U)) % SlotCount;
}

} // namespace sesamepaddle
