#pragma once

#include "foxtailwheel/backend/Protocol.h"

namespace foxtailwheel::backend {

/// @brief Returns the protocol of model engines: completions as server-sent events.
std::unique_ptr<Protocol> makeEngineProtocol();

} // namespace foxtailwheel::backend
