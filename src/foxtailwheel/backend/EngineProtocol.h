#pragma once

#include "foxtailwheel/backend/Protocol.h"

namespace foxtailwheel::backend {

/// @brief Protocol of model engines: completions as server-sent events.
std::unique_ptr<Protocol> engineProtocol();

} // namespace foxtailwheel::backend
