#pragma once

#include "foxtailwheel/http/Message.h"
#include "foxtailwheel/serving/Dispatcher.h"

#include <string>
#include <variant>

namespace foxtailwheel::daemon {

/// @brief Why a caller's request is rejected: HTTP status, error code, and message.
struct RequestError {
    unsigned status = 400;
    std::string code;
    std::string message;
};

/// @brief Parses, authenticates and validates a caller's request.
/// @param snapshot Null before the first configuration is active.
std::variant<serving::SubmitRequest, RequestError> parseCallerRequest(
    const http::Request& request, const serving::ConfigSnapshot* snapshot);

/// @brief Returns the response to a rejected request.
http::Response requestErrorResponse(const RequestError& error);

/// @brief Returns the HTTP status of a finished run.
unsigned httpStatusOf(const pipeline::Outcome& outcome);

/// @brief Returns the JSON body of the reply for a finished run.
std::string replyBody(const serving::Reply& reply, bool withResult);

} // namespace foxtailwheel::daemon
