#pragma once

#include "foxtailwheel/config/Declarations.h"
#include "foxtailwheel/http/Message.h"
#include "foxtailwheel/pipeline/Actions.h"
#include "foxtailwheel/serving/Dispatcher.h"

#include <memory>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace foxtailwheel::backend {

/// @brief The payload of a complete response, or why there is none.
using DecodedResponse = std::variant<pipeline::Payload, pipeline::CallFailure>;

/// @brief Received tokens; the first one is token `offset` of the stream.
struct StreamTokens {
    std::uint64_t offset = 0;
    std::vector<std::string> tokens;
};

/// @brief The stream ended with its terminator after `total` tokens.
struct StreamDone {
    std::uint64_t total = 0;
};

/// @brief Event decoded from a streamed body.
using StreamEvent = std::variant<StreamTokens, StreamDone, pipeline::CallFailure>;

/// @brief Decodes one streamed body, chunk by chunk.
class StreamDecoder {
public:
    virtual ~StreamDecoder() = default;
    /// @brief Decodes the next chunk, which may have any length.
    virtual std::vector<StreamEvent> feed(std::string_view chunk) = 0;
};

/// @brief HTTP encoding of the calls to backend servers of one kind of service.
class Protocol {
public:
    virtual ~Protocol() = default;
    /// @brief Encodes the request of a call.
    /// @param remainingTime Time until the deadline, sent to the backend server.
    virtual http::Request encode(const serving::SendCall& call, Duration remainingTime) const = 0;
    /// @brief Decodes a complete response that was not streamed.
    virtual DecodedResponse decode(const http::Response& response) const = 0;
    /// @brief Returns a decoder if a 200 response is streamed, else null.
    virtual std::unique_ptr<StreamDecoder> makeStreamDecoder() const = 0;
};

/// @brief Returns the protocol of a kind of service.
const Protocol& protocolFor(config::ServiceKind kind);

/// @brief Header of a 429 or 503 response for a call that was not started.
constexpr std::string_view notStartedHeader = "X-Not-Started";

} // namespace foxtailwheel::backend
