#ifndef SESAMEPADDLE_TESTS_SUPPORT_PROCESS_MEMORY_H
#define SESAMEPADDLE_TESTS_SUPPORT_PROCESS_MEMORY_H

#include <cstddef>

namespace sesamepaddle {

/** @returns the resident memory of the test program, in bytes. */
std::size_t residentBytes();

/** False where a sanitizer keeps freed memory, so that residentBytes() says
    nothing of what is in use. */
constexpr bool IsResidentExact =
#if defined(__SANITIZE_ADDRESS__) || defined(__SANITIZE_THREAD__)
    false;
#else
    true;
#endif

} // namespace sesamepaddle

#endif
