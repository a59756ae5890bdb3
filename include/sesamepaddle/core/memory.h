#ifndef SESAMEPADDLE_CORE_MEMORY_H
#define SESAMEPADDLE_CORE_MEMORY_H

namespace sesamepaddle {

/** Makes the allocator return each large block to the system when it is freed.
    For the whole process; to be called before it has threads. Without glibc it
    does nothing. */
void returnLargeBlocks();

} // namespace sesamepaddle

#endif
