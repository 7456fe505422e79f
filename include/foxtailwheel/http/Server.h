#pragma once

#include "foxtailwheel/base/Error.h"
#include "foxtailwheel/base/Units.h"
#include "foxtailwheel/config/Settings.h"
#include "foxtailwheel/http/IoPool.h"
#include "foxtailwheel/http/MemoryBudget.h"
#include "foxtailwheel/http/Message.h"

#include <cstdint>
#include <functional>
#include <memory>

namespace foxtailwheel::http {

/// @brief Sends the response to one request. Thread-safe; may be kept to respond later, but must be destroyed before
/// the `IoPool`.
class Responder {
public:
    virtual ~Responder() = default;
    /// @brief Sends a complete response.
    virtual void respond(Response response) = 0;
    /// @brief Sends the status and headers of a chunked response.
    virtual void beginStream(Response head) = 0;
    /// @brief Queues a chunk; returns false if the peer has disconnected, the response has ended, or more than
    /// `maxQueuedBytes` are queued. In the last case the connection is aborted.
    virtual bool write(std::string chunk) = 0;
    /// @brief Ends a chunked response.
    virtual void endStream() = 0;
    /// @brief Closes the connection without completing the response.
    virtual void abort() = 0;
    /// @brief Calls `work` once if the peer disconnects before the response is complete.
    virtual void onDisconnect(std::function<void()> work) = 0;
};

/// @brief Limits that can be changed while a server is running.
struct ServerLimits {
    std::uint64_t maxBodyBytes = 1U << 20U;
    std::uint32_t maxHeaderBytes = 16U << 10U;
    std::uint32_t maxChunkHeaderBytes = 16U << 10U; ///< Of one chunk, with its extensions.
    std::uint32_t maxTrailerBytes = 16U << 10U; ///< Of all trailers of a request.
    /// @brief Received bytes of a connection that are not parsed yet, such as requests that wait for the one before. At
    /// least as many as a head, or a chunk header with the trailers, may have.
    std::uint32_t maxReadBufferBytes = 16U << 10U;
    Duration headerTimeout = std::chrono::seconds(5);
    Duration bodyTimeout = std::chrono::seconds(10);
    Duration idleTimeout = std::chrono::seconds(30);
};

/// @brief Address and limits of a server.
struct ServerOptions : ServerLimits {
    config::Endpoint listen; ///< Port 0 selects a free port.
    std::uint32_t maxConnections = 4096;
    std::size_t maxQueuedBytes = 256U << 10U; ///< Per response; above it the connection is aborted.
    Duration writeTimeout = std::chrono::seconds(10);
    std::shared_ptr<MemoryBudget> memory {}; ///< Counts what is held for the clients; null: no bound for all together.
    bool identifyResponses = true; ///< Repeats the `identityField` of a request in its response.
};

/// @brief Handles a request; responds immediately or later through the responder.
using Handler = std::function<void(Request, std::shared_ptr<Responder>)>;

/// @brief HTTP/1.1 server.
class Server {
public:
    /// @brief Starts a server that runs on the threads of the pool.
    /// @return `Errc::Unreachable` if the address cannot be listened on.
    static Result<std::unique_ptr<Server>> listen(IoPool& pool, ServerOptions options, Handler handler);
    ~Server();
    Server(const Server&) = delete;
    Server& operator=(const Server&) = delete;

    std::uint16_t port() const;
    /// @brief Stops listening. Requests in progress and those of connections that clients have established already are
    /// completed, and their connections are closed afterwards.
    void stopAccepting();
    /// @brief Closes the connections that have been waiting for a request for at least `quietTime` and have received
    /// no byte of it. The default leaves time for a request that is on its way.
    void closeIdleConnections(Duration quietTime = std::chrono::milliseconds(200));
    /// @brief Sends `Connection: close` with every response from now on; new connections are still accepted.
    void disableKeepAlive();
    /// @brief Applies new limits to subsequent requests; the other `ServerOptions` do not change.
    void setLimits(const ServerLimits& limits);
    /// @brief Number of requests whose response is not complete.
    std::size_t requestsInProgress() const;
    /// @brief Number of open connections.
    std::size_t openConnections() const;

private:
    struct Impl;
    Server(std::shared_ptr<boost::asio::io_context> context, std::shared_ptr<Impl> impl);
    std::shared_ptr<boost::asio::io_context> m_context; ///< Must outlive `m_impl`, even if the pool is destroyed first.
    std::shared_ptr<Impl> m_impl;
};

} // namespace foxtailwheel::http
