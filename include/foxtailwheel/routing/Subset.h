#pragma once

#include "foxtailwheel/base/Ids.h"
#include "foxtailwheel/config/Declarations.h"

#include <cstddef>
#include <vector>

namespace foxtailwheel::routing {

/// @brief Selects the backend servers of a pool that one instance sends calls to.
///
/// Each instance selects the servers with the greatest rendezvous hash weight, preferring those of its own zone. Adding
/// or removing a server or an instance therefore changes only the selections that involve it.
/// @param servers All servers of the pool.
/// @param size Maximum size of the subset; a pool that is no larger is selected whole.
/// @return Indices into `servers` in ascending order.
std::vector<std::size_t> selectSubset(const std::vector<config::BackendServer>& servers, const InstanceId& self,
    const AvailabilityZoneId& zone, std::size_t size);

} // namespace foxtailwheel::routing
