#pragma once

#include <cstdint>

namespace foxtailwheel::http {

/// @brief Returns the number of clients' connections that this process can keep open: a quarter of its descriptors is
/// left for calls to servers, other instances and the store. The largest number if its descriptors are not limited.
std::uint32_t maxClientConnections();

} // namespace foxtailwheel::http
