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

/// @brief A whole answer, or why there is none.
using Answer = std::variant<pipeline::Payload, pipeline::CallFailure>;

/// @brief Tokens that came, from offset `offset` on.
struct StreamTokens {
    std::uint64_t offset = 0;
    std::vector<std::string> tokens;
};

/// @brief The stream ended by its own mark after `total` tokens.
struct StreamDone {
    std::uint64_t total = 0;
};

/// @brief What a chunk of a streamed body held.
using StreamEvent = std::variant<StreamTokens, StreamDone, pipeline::CallFailure>;

/// @brief Decodes one streamed body, chunk by chunk.
class StreamDecoder {
public:
    virtual ~StreamDecoder() = default;
    /// @brief Takes a chunk of any length.
    virtual std::vector<StreamEvent> feed(std::string_view chunk) = 0;
};

/// @brief How the backend servers of one kind of service are called.
class Protocol {
public:
    virtual ~Protocol() = default;
    /// @brief Makes the request of a call.
    /// @param timeLeft Time until the result is of no use, told to the backend server.
    virtual http::Request encode(const serving::SendCall& call, Duration timeLeft) const = 0;
    /// @brief Reads a whole response that was not streamed.
    virtual Answer decode(const http::Response& response) const = 0;
    /// @brief Makes a decoder where a 200 response is streamed; null where it comes whole.
    virtual std::unique_ptr<StreamDecoder> streamDecoder() const = 0;
};

/// @brief The protocol of a kind of service.
const Protocol& protocolFor(config::ServiceKind kind);

/// @brief Status of a response that says the call was not started, together with the header of that name.
constexpr std::string_view notStartedHeader = "X-Not-Started";

} // namespace foxtailwheel::backend
