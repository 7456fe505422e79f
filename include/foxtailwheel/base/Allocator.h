#pragma once

namespace foxtailwheel {

/// @brief Makes the allocator return large blocks to the system when they are freed, so that the memory of long bodies
/// is not kept by the process. To be called once, before other threads start.
void returnLargeBlocksWhenFreed();

} // namespace foxtailwheel
