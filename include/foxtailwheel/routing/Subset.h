#pragma once

#include "foxtailwheel/base/Ids.h"
#include "foxtailwheel/config/Declarations.h"

#include <cstddef>
#include <vector>

namespace foxtailwheel::routing {

/// @brief Draws the backend servers that one instance uses of a pool.
///
/// Each instance takes the servers that weigh most for it by rendezvous hash, those of its own zone first, so a
/// server or an instance that comes or goes changes only the places it held.
/// @param servers All servers of the pool.
/// @param size Most servers drawn; the whole pool where it is no larger.
/// @return Positions in `servers`, in ascending order.
std::vector<std::size_t> drawSubset(const std::vector<config::BackendServer>& servers, const InstanceId& self,
    const AvailabilityZoneId& zone, std::size_t size);

} // namespace foxtailwheel::routing
