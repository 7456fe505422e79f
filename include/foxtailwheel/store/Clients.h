#pragma once

#include "foxtailwheel/base/Clock.h"
#include "foxtailwheel/config/Settings.h"
#include "foxtailwheel/http/Client.h"
#include "foxtailwheel/store/InstanceList.h"
#include "foxtailwheel/store/Table.h"

#include <memory>

namespace foxtailwheel::store {

/// @brief Creates an HTTP client of the table service, protected by a circuit breaker and a concurrency limit.
/// @param seed Seed of the circuit breaker's jitter; must differ between instances.
std::unique_ptr<Table> tableClient(
    http::Client& client, const Clock& clock, config::Endpoint server, std::uint64_t seed);

/// @brief Creates an HTTP client of the instance list.
std::unique_ptr<InstanceList> instanceListClient(http::Client& client, config::Endpoint server);

} // namespace foxtailwheel::store
