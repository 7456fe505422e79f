#include "foxtailwheel/base/Allocator.h"

#include <malloc.h>

namespace foxtailwheel {

namespace {

    /// Bytes from which a block is returned to the system. A value that is set stays; the default rises to the size of
    /// the freed blocks.
    constexpr int mmapThresholdBytes = 128 << 10;

} // namespace

void returnLargeBlocksWhenFreed()
{
    mallopt(M_MMAP_THRESHOLD, mmapThresholdBytes);
}

} // namespace foxtailwheel
