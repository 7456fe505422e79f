#pragma once

#include "foxtailwheel/http/Message.h"
#include "foxtailwheel/routing/LoadEstimate.h"

namespace foxtailwheel::daemon {

/// @brief Reads the header `X-Load: running,queued` that backend servers add to their responses.
/// @return False where it is missing or malformed; `report` is then not to be used.
bool readLoadHeader(const http::Headers& headers, routing::LoadReport& report);

} // namespace foxtailwheel::daemon
