#pragma once

#include "foxtailwheel/config/Declarations.h"
#include "foxtailwheel/standin/Platform.h"

#include <cstdint>
#include <memory>
#include <string>

namespace foxtailwheel::standin {

/// @brief Declared server and simulated speed of a backend stand-in.
struct BackendOptions {
    config::Service service;
    config::BackendServer server;
    Duration callTime {}; ///< Duration of a call without streaming.
    Duration tokenTime {}; ///< Time between tokens of a stream.
};

/// @brief Starts a fake backend server of any service kind. Responses are a function of the request, so that a client
/// can verify that it received the response to its own request.
///
/// Further endpoints: `GET /v1/load`, `GET /v1/cache-events`, `GET /v1/executions`, `POST /v1/faults` and
/// `POST /v1/orders`.
Result<std::unique_ptr<StandIn>> startBackend(http::IoPool& pool, BackendOptions options);

/// @brief Returns the token at `index` that every model engine generates for `prompt`.
std::string generatedToken(const std::string& prompt, std::uint64_t index);

/// @brief Returns the first `count` tokens for `prompt`, concatenated.
std::string generatedText(const std::string& prompt, std::uint64_t count);

} // namespace foxtailwheel::standin
