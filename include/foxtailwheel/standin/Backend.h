#pragma once

#include "foxtailwheel/config/Declarations.h"
#include "foxtailwheel/standin/Platform.h"

#include <cstdint>
#include <memory>
#include <string>

namespace foxtailwheel::standin {

/// @brief How fast a backend stand-in works.
struct BackendOptions {
    config::Service service;
    config::BackendServer server;
    Duration callTime {}; ///< Time of one call that is not streamed.
    Duration tokenTime {}; ///< Time of one token.
};

/// @brief A backend server of any kind. Answers are derived from the request, so that a caller can check its own.
///
/// Besides its own interface: `GET /v1/load`, `GET /v1/cache-events`, `GET /v1/executions`, `POST /v1/faults`,
/// `POST /v1/orders`.
Result<std::unique_ptr<StandIn>> startBackend(http::IoPool& pool, BackendOptions options);

/// @brief Token `index` that every engine gives for `prompt`.
std::string tokenOf(const std::string& prompt, std::uint64_t index);

/// @brief The first `count` tokens for `prompt`, joined.
std::string textOf(const std::string& prompt, std::uint64_t count);

} // namespace foxtailwheel::standin
