#pragma once

#include "foxtailwheel/base/Clock.h"
#include "foxtailwheel/config/Settings.h"
#include "foxtailwheel/http/IoPool.h"
#include "foxtailwheel/http/Message.h"

#include <functional>
#include <memory>

namespace foxtailwheel::http {

/// @brief How a call ended.
enum class CallEnd {
    Complete, ///< The whole response came.
    NotSent, ///< No byte of the request was handed to a socket.
    Broken, ///< The connection ended early.
    TimedOut, ///< The deadline passed.
    Cancelled, ///< `cancel` was called after the first byte.
};

/// @brief Outcome of a call.
struct CallResult {
    CallEnd end = CallEnd::NotSent;
    Response response; ///< The body is empty where it was handed on in chunks.
    std::string detail; ///< For logs.
};

/// @brief A call to make.
struct CallRequest {
    config::Endpoint server;
    Request request;
    TimePoint sendBy; ///< The first byte is not handed to a socket after this.
    TimePoint deadline; ///< The whole response must be there by then.
    bool idempotent = true; ///< A call that is not goes out on a new connection and is never sent twice.
    bool newConnection = false; ///< Takes no idle connection, and leaves none behind.
    bool probes = false; ///< Sends keep-alive probes, for calls that are answered late.
};

/// @brief What the caller is told on the way; all run one after another.
struct CallEvents {
    std::function<void()> onFirstByte; ///< Just before the first byte is handed to a socket; may be empty.
    std::function<void(const Response&)> onHead; ///< May be empty.
    std::function<void(std::string_view)> onData; ///< Chunks of a 200 body; where empty the body is collected.
    std::function<void(CallResult)> onDone; ///< Exactly once, last.
};

/// @brief A call in progress.
class Call {
public:
    virtual ~Call() = default;
    /// @brief Ends the call; `onDone` still follows, and says `NotSent` only where that is certain.
    virtual void cancel() = 0;
};

/// @brief HTTP/1.1 client with a pool of connections.
class Client {
public:
    static std::unique_ptr<Client> create(IoPool& pool, const Clock& clock);
    virtual ~Client() = default;
    /// @brief Starts a call.
    virtual std::shared_ptr<Call> start(CallRequest request, CallEvents events) = 0;
};

} // namespace foxtailwheel::http
