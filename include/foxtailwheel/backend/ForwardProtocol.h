#pragma once

#include "foxtailwheel/base/Error.h"
#include "foxtailwheel/http/Message.h"
#include "foxtailwheel/serving/Forwarder.h"

#include <memory>
#include <optional>
#include <vector>

namespace foxtailwheel::backend {

/// @brief How the head of an answer to a passed-on request is to be taken.
enum class HeadVerdict {
    Pass, ///< It answers this request and is passed on as it is.
    NotRun, ///< The server did not and will not run the request.
    Misdirected, ///< Another server has the address.
    InputGone, ///< A result that the request needs is gone; it did not run.
    Unusable, ///< It is no whole answer to this request.
};

/// @brief What came of a batch call.
struct BatchAnswer {
    serving::BatchEnd end = serving::BatchEnd::Broken;
    std::vector<serving::PieceResult> results;
};

/// @brief How callers and backend servers of routes write what they say to each other.
class ForwardProtocol {
public:
    virtual ~ForwardProtocol() = default;

    /// @brief Reads a caller's request.
    /// @return `Errc::InvalidArgument` with a sentence where a header cannot be read.
    virtual Result<serving::ForwardRequest> readRequest(http::Request request) const = 0;
    /// @brief Writes a passed-on request for its backend server.
    virtual http::Request encode(const serving::SendForward& call) const = 0;
    /// @brief Judges the head of the answer to `call`.
    virtual HeadVerdict judge(const serving::SendForward& call, const http::Response& head) const = 0;
    /// @brief The head as the caller gets it: connection headers are taken off.
    virtual http::Response passedOn(http::Response head) const = 0;
    /// @brief The load that an answer tells.
    virtual std::optional<serving::ToldLoad> load(const http::Response& head) const = 0;
    /// @brief Writes a call with pieces.
    virtual http::Request encodeBatch(const serving::SendBatch& batch) const = 0;
    /// @brief Reads the answer to a call with pieces.
    virtual BatchAnswer decodeBatch(const serving::SendBatch& batch, const http::Response& response) const = 0;
    /// @brief Writes the release of results.
    virtual http::Request encodeRelease(const std::vector<std::string>& handles) const = 0;
    /// @brief Adds the hint when to come back to a refusal.
    virtual void addRetryAfter(http::Response& response, Duration retryAfter) const = 0;
};

} // namespace foxtailwheel::backend
