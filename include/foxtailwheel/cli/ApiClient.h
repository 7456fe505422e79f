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

/// @brief Calls one instance and waits for the answer.
class ApiClient {
public:
    /// @param bearer Sent as `Authorization: Bearer`.
    static std::unique_ptr<ApiClient> create(config::Endpoint server, std::string bearer);
    virtual ~ApiClient() = default;

    /// @brief Sends a request and waits.
    /// @param onData Takes the chunks of a streamed answer; may be empty.
    /// @return `Errc::Unreachable` where nothing was sent, `Errc::Ambiguous` where the answer was lost.
    virtual Result<http::Response> send(
        http::Request request, Duration timeout, std::function<void(std::string_view)> onData = {})
        = 0;
};

} // namespace foxtailwheel::cli
