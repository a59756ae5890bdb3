#include "sesamepaddle/steering/rendezvous.h"

#include <cmath>

#define XXH_INLINE_ALL
#include <xxhash.h>

namespace sesamepaddle {

namespace {

// Parameters of FNV-1a.
constexpr std::uint64_t HashBasis = 14695981039346656037U;
constexpr std::uint64_t HashPrime = 1099511628211U;

// The finalizer of SplitMix64: each input bit affects each output bit.
std::uint64_t mix(std::uint64_t Value) {
  Value = (Value ^ (Value >> 30U)) * 0xbf58476d1ce4e5b9U;
  Value = (Value ^ (Value >> 27U)) * 0x94d049bb133111ebU;
  return Value ^ (Value >> 31U);
}

} // namespace

std::uint64_t stableHash(std::string_view Text) {
  std::uint64_t Hash = HashBasis;
  for (const unsigned char Byte : Text)
    Hash = (Hash ^ Byte) * HashPrime;
  return mix(Hash);
}

std::uint64_t contentHash(std::string_view Bytes) {
  return XXH3_64bits(Bytes.data(), Bytes.size());
}

double rendezvousScore(std::uint64_t Key, std::uint64_t Candidate,
                       double Weight) {
  // Maps the upper 53 bits of the hash to a number between 0 and 1, never 0.
  constexpr double Scale = 1.0 / 9007199254740992.0; // 2^-53
  const std::uint64_t Hash = mix(Key ^ mix(Candidate + 0x9e3779b97f4a7c15U));
  const double Uniform = (static_cast<double>(Hash >> 11U) + 0.5) * Scale;
  return -Weight / std::log(Uniform);
}

} // namespace sesamepaddle
