#pragma once

#include "foxtailwheel/http/Message.h"
#include "foxtailwheel/routing/LoadEstimate.h"

namespace foxtailwheel::daemon {

/// @brief Parses the header `X-Load: running,queued` that backend servers add to their responses.
/// @return False if it is missing or malformed; `report` is then not valid.
bool parseLoadHeader(const http::Headers& headers, routing::LoadReport& report);

} // namespace foxtailwheel::daemon
