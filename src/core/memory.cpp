#include "sesamepaddle/core/memory.h"

#include <cstdlib> // defines __GLIBC__ where it applies

#ifdef __GLIBC__
#include <malloc.h>
#endif

namespace sesamepaddle {

#ifdef __GLIBC__

namespace {

// The allocator maps blocks of at least this size separately. It would raise
// the threshold with the first such block that is freed, and take later ones
// from the heap, where bodies that grow side by side leave gaps.
constexpr int LargeBlockBytes = 128 * 1024;
// Free memory at the end of the heap that is kept for small blocks.
constexpr int KeptFreeBytes = 4 * 1024 * 1024;

} // namespace

void returnLargeBlocks() {
  ::mallopt(M_MMAP_THRESHOLD, LargeBlockBytes);
  ::mallopt(M_TRIM_THRESHOLD, KeptFreeBytes);
}

#else

void returnLargeBlocks() {}

#endif

} // namespace sesamepaddle
