#pragma once

#include "foxtailwheel/base/Clock.h"
#include "foxtailwheel/base/Error.h"
#include "foxtailwheel/config/Settings.h"
#include "foxtailwheel/http/IoPool.h"

#include <memory>

namespace foxtailwheel::standin {

/// @brief A running stand-in; stops when it is destroyed.
class StandIn {
public:
    virtual ~StandIn() = default;
};

/// @brief Limits of the table stand-in.
struct TableOptions {
    config::Endpoint listen;
    double readsPerSecond = 2000;
    double writesPerSecond = 500;
};

/// @brief Table service: conditional transactions over rows with versions, kept in memory.
///
/// `POST /v1/faults` sets faults: `close_after` applies a write and loses the answer, `refuse` is an outage.
Result<std::unique_ptr<StandIn>> startTable(http::IoPool& pool, const Clock& clock, const TableOptions& options);

/// @brief List of live instances; entries lapse, and changes show only after `lag`.
Result<std::unique_ptr<StandIn>> startInstanceList(
    http::IoPool& pool, const Clock& clock, config::Endpoint listen, Duration lag);

/// @brief Store of model weights that serves one load at a time for each slot and refuses the rest.
Result<std::unique_ptr<StandIn>> startWeightStore(
    http::IoPool& pool, const Clock& clock, config::Endpoint listen, double loadsPerSecond);

} // namespace foxtailwheel::standin
