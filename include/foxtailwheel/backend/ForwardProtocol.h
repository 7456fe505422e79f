#pragma once

#include "foxtailwheel/base/Error.h"
#include "foxtailwheel/http/Message.h"
#include "foxtailwheel/serving/Forwarder.h"

#include <memory>
#include <optional>
#include <vector>

namespace foxtailwheel::backend {

/// @brief Classification of the response head to a forwarded request.
enum class ResponseClass {
    Valid, ///< A valid response to this request, forwarded to the caller.
    NotStarted, ///< The server did not start the request and will not start it later.
    Misdirected, ///< Another server listens at this address now.
    InputMissing, ///< A stage result that the request needs has been removed; the request was not started.
    Invalid, ///< Not a complete response to this request.
};

/// @brief Outcome of a batch call and the results of its pieces.
struct BatchResponse {
    serving::BatchOutcome outcome = serving::BatchOutcome::Broken;
    std::vector<serving::PieceResult> results;
};

/// @brief HTTP encoding of the requests and responses that are exchanged with callers and backend servers of routes.
class ForwardProtocol {
public:
    virtual ~ForwardProtocol() = default;

    /// @brief Parses a caller's request.
    /// @return `Errc::InvalidArgument` with a message if a header is malformed.
    virtual Result<serving::ForwardRequest> parseRequest(http::Request request) const = 0;
    /// @brief Encodes a forwarded request for its backend server.
    virtual http::Request encode(const serving::SendUpstreamRequest& call) const = 0;
    /// @brief Classifies the head of the response to `call`.
    virtual ResponseClass classifyResponse(
        const serving::SendUpstreamRequest& call, const http::Response& head) const = 0;
    /// @brief Removes the headers that are not forwarded to the caller: hop-by-hop headers, and what a server says
    /// about itself.
    virtual http::Response toCallerResponse(http::Response head) const = 0;
    /// @brief Parses the load report of a response; empty if it is missing or malformed.
    virtual std::optional<serving::ReportedLoad> parseLoad(const http::Response& head) const = 0;
    /// @brief Parses what a server says about itself; part of every response, also of errors.
    /// @param now Time of day, for pauses that are given as the time at which they end.
    virtual serving::ServerSignal parseSignal(const http::Response& head, WallTime now) const = 0;
    /// @brief Encodes a batch call.
    virtual http::Request encodeBatch(const serving::SendBatch& batch) const = 0;
    /// @brief Decodes the response to a batch call.
    virtual BatchResponse decodeBatch(const serving::SendBatch& batch, const http::Response& response) const = 0;
    /// @brief Encodes the check of a server.
    virtual http::Request encodeCheck(const serving::CheckServer& check) const = 0;
    /// @brief Returns whether a server passes its check with this response. A rejection passes, since it says for
    /// certain what happened to the request.
    virtual bool passesCheck(const serving::CheckServer& check, const http::Response& response) const = 0;
    /// @brief Encodes the request that releases stage results.
    virtual http::Request encodeRelease(const std::vector<std::string>& handles) const = 0;
    /// @brief Adds to a rejection the time after which the caller may retry.
    virtual void addRetryAfter(http::Response& response, Duration retryAfter) const = 0;
};

} // namespace foxtailwheel::backend
