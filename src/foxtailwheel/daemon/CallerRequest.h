#pragma once

#include "foxtailwheel/http/Message.h"
#include "foxtailwheel/serving/Dispatcher.h"

#include <string>
#include <variant>

namespace foxtailwheel::daemon {

/// @brief A caller's request that cannot be taken, told apart by status and code.
struct CallerFault {
    unsigned status = 400;
    std::string code;
    std::string message;
};

/// @brief Reads a caller's request, or says what is wrong with it.
std::variant<serving::SubmitRequest, CallerFault> readCallerRequest(
    const http::Request& request, const serving::Catalog* catalog);

/// @brief The response to a faulty request.
http::Response faultResponse(const CallerFault& fault);

/// @brief Status of an ended run.
unsigned statusOf(const pipeline::Outcome& outcome);

/// @brief JSON body of an ended run.
std::string replyBody(const serving::Reply& reply, bool withResult);

} // namespace foxtailwheel::daemon
