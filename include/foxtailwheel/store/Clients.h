#pragma once

#include "foxtailwheel/base/Clock.h"
#include "foxtailwheel/config/Settings.h"
#include "foxtailwheel/http/Client.h"
#include "foxtailwheel/store/InstanceList.h"
#include "foxtailwheel/store/Table.h"

#include <memory>

namespace foxtailwheel::store {

/// @brief Table service over its HTTP interface, behind a breaker and a limit of calls at once.
/// @param seed Seed of the jitter; different on each instance.
std::unique_ptr<Table> tableClient(
    http::Client& client, const Clock& clock, config::Endpoint server, std::uint64_t seed);

/// @brief Instance list over its HTTP interface.
std::unique_ptr<InstanceList> instanceListClient(http::Client& client, config::Endpoint server);

} // namespace foxtailwheel::store
