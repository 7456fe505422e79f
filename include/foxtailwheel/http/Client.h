#pragma once

#include "foxtailwheel/base/Clock.h"
#include "foxtailwheel/config/Settings.h"
#include "foxtailwheel/http/IoPool.h"
#include "foxtailwheel/http/MemoryBudget.h"
#include "foxtailwheel/http/Message.h"

#include <functional>
#include <memory>
#include <optional>

namespace foxtailwheel::http {

/// @brief Outcome of a call at the transport level, apart from the status code of its response.
enum class TransportOutcome {
    Complete, ///< The whole response was received.
    NotSent, ///< No byte of the request was written to a socket.
    ConnectionLost, ///< The connection failed or was closed before the response was complete.
    TimedOut, ///< The deadline passed.
    Cancelled, ///< `cancel` was called after sending had started.
};

/// @brief Result of a call.
struct CallResult {
    TransportOutcome outcome = TransportOutcome::NotSent;
    Response response; ///< The body is empty if it was delivered through `onData`.
    std::string detail; ///< Error description for logs.
    bool oversized = false; ///< The body was larger than its limit.
    bool delimited = true; ///< False if only the end of the connection marked the end of the body.
    bool brokeInHead = false; ///< The connection ended inside of the head: the server had begun to respond.
};

/// @brief Time that the body of a response may take after its head was received in time.
struct BodyTime {
    Duration total {};
    Duration maxPause {}; ///< Between two parts of the body.
};

/// @brief Parameters of a call.
struct CallRequest {
    config::Endpoint server;
    Request request;
    TimePoint sendBy; ///< Time after which sending is no longer started.
    TimePoint deadline; ///< Time by which the whole response must have been received.
    bool idempotent = true; ///< A non-idempotent call uses a new connection and is never retried.
    bool newConnection = false; ///< Neither reuses an idle connection nor returns its own to the pool.
    bool tcpKeepAlive = false; ///< Enables TCP keep-alive probes, for calls whose response is slow to arrive.
    /// @brief If set, only the head has to be received by `deadline`.
    std::optional<BodyTime> bodyTime {};
    std::uint64_t maxBodyBytes = std::uint64_t { 8 } << 20U; ///< A larger body ends the call with `ConnectionLost`.
};

/// @brief Callbacks of a call; they never run concurrently.
struct CallCallbacks {
    std::function<void()> onSendStart; ///< Called just before the first byte is written to a socket; may be empty.
    std::function<void(const Response&)> onHead; ///< Called with the status and headers of the response; may be empty.
    std::function<void(std::string_view)> onData; ///< Chunks of a 200 body; if empty, `CallResult` has the body.
    std::function<void(CallResult)> onDone; ///< Called exactly once, as the last callback.
};

/// @brief A call in progress.
class Call {
public:
    virtual ~Call() = default;
    /// @brief Cancels the call; `onDone` is still called, with `NotSent` only if certainly no byte was sent.
    virtual void cancel() = 0;
};

/// @brief Limits of a client.
struct ClientOptions {
    /// @brief Bytes of incomplete bodies of all calls together. Above it, the call with the largest body ends with
    /// `ConnectionLost`. Bodies that are delivered through `onData` do not count.
    std::size_t maxBufferedBytes = std::size_t { 64 } << 20U;
    /// @brief Sends `identityField` with each call that may reuse a connection. A response with another value belongs
    /// to another request, so the call ends with `ConnectionLost`; a connection whose response lacks the field is not
    /// reused. If false, connections are reused without this check.
    bool identifyRequests = true;
    std::shared_ptr<MemoryBudget> memory {}; ///< Counts the bodies instead, with its own bound; may be null.
};

/// @brief HTTP/1.1 client with a connection pool.
///
/// Heads, chunk headers and trailers are limited to `maxHeadBytes` each, so the memory of a call does not depend on
/// what the server sends.
class Client {
public:
    static constexpr std::size_t maxHeadBytes = std::size_t { 16 } << 10U;

    static std::unique_ptr<Client> create(IoPool& pool, const Clock& clock, const ClientOptions& options = {});
    virtual ~Client() = default;
    /// @brief Starts a call; no callback runs inside this function.
    virtual std::shared_ptr<Call> start(CallRequest request, CallCallbacks callbacks) = 0;
};

} // namespace foxtailwheel::http
