#pragma once

#include "foxtailwheel/base/Clock.h"
#include "foxtailwheel/base/Error.h"
#include "foxtailwheel/config/Settings.h"
#include "foxtailwheel/http/IoPool.h"

#include <memory>

namespace foxtailwheel::standin {

/// @brief Running fake server of a platform service; the destructor stops it.
class StandIn {
public:
    virtual ~StandIn() = default;
};

/// @brief Options of the table stand-in; requests over a rate limit are refused.
struct TableOptions {
    config::Endpoint listen;
    double readsPerSecond = 2000;
    double writesPerSecond = 500;
};

/// @brief Starts an in-memory table service with conditional transactions over versioned rows.
///
/// `POST /v1/faults` injects faults: `close_after` applies a write and drops the response, `refuse` simulates an
/// outage.
Result<std::unique_ptr<StandIn>> startTable(http::IoPool& pool, const Clock& clock, const TableOptions& options);

/// @brief Starts a list of live instances. Entries expire unless they are refreshed, and new entries become visible
/// after `propagationDelay`.
Result<std::unique_ptr<StandIn>> startInstanceList(
    http::IoPool& pool, const Clock& clock, config::Endpoint listen, Duration propagationDelay);

/// @brief Starts a store of model weights that serves at most `loadsPerSecond` requests and refuses the rest.
Result<std::unique_ptr<StandIn>> startWeightStore(
    http::IoPool& pool, const Clock& clock, config::Endpoint listen, double loadsPerSecond);

} // namespace foxtailwheel::standin
