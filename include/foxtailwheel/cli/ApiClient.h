#pragma once

#include "foxtailwheel/base/Error.h"
#include "foxtailwheel/base/Units.h"
#include "foxtailwheel/config/Settings.h"
#include "foxtailwheel/http/Message.h"

#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace foxtailwheel::cli {

/// @brief Blocking HTTP client for the API of one instance.
class ApiClient {
public:
    /// @param bearerToken Sent with each request as `Authorization: Bearer`.
    static std::unique_ptr<ApiClient> create(config::Endpoint endpoint, std::string bearerToken);
    virtual ~ApiClient() = default;

    /// @brief Sends a request and blocks until the response is complete, the call fails or `timeout` has passed.
    /// @param onData Called for each chunk of a streamed response body, on an I/O thread; may be empty.
    /// @return The response; `Errc::Unreachable` if nothing was sent; `Errc::Ambiguous` if the request may have been
    /// processed but no complete response arrived.
    virtual Result<http::Response> send(
        http::Request request, Duration timeout, std::function<void(std::string_view)> onData = {})
        = 0;
};

} // namespace foxtailwheel::cli
