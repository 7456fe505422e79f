#pragma once

#include "foxtailwheel/base/Error.h"
#include "foxtailwheel/base/Units.h"
#include "foxtailwheel/config/Settings.h"
#include "foxtailwheel/http/IoPool.h"
#include "foxtailwheel/http/Message.h"

#include <cstdint>
#include <functional>
#include <memory>

namespace foxtailwheel::http {

/// @brief The answering side of one request; thread-safe, and may be kept until the answer is there, but no longer than
/// the `IoPool` lives.
class Responder {
public:
    virtual ~Responder() = default;
    /// @brief Sends a whole response.
    virtual void respond(Response response) = 0;
    /// @brief Sends the head of a chunked response.
    virtual void beginStream(Response head) = 0;
    /// @brief Adds a chunk; false where the peer is gone or holds more than the buffer limit unread.
    virtual bool write(std::string chunk) = 0;
    /// @brief Ends a chunked response.
    virtual void endStream() = 0;
    /// @brief Breaks the connection without ending the response.
    virtual void abort() = 0;
    /// @brief Calls `work` once if the peer closes before the response has ended.
    virtual void onGone(std::function<void()> work) = 0;
};

/// @brief Limits that may change while a server runs.
struct ServerLimits {
    std::uint64_t maxBodyBytes = 1U << 20U;
    std::uint32_t maxHeaderBytes = 16U << 10U;
    Duration headerTimeout = std::chrono::seconds(5);
    Duration bodyTimeout = std::chrono::seconds(10);
    Duration idleTimeout = std::chrono::seconds(30);
};

/// @brief Address and limits of a server.
struct ServerOptions : ServerLimits {
    config::Endpoint listen; ///< Port 0 takes a free one.
    std::uint32_t maxConnections = 4096;
    std::size_t maxUnreadBytes = 256U << 10U; ///< Of one stream, before its caller counts as gone.
    Duration writeTimeout = std::chrono::seconds(10);
};

/// @brief Takes a request; answers now or later through the responder.
using Handler = std::function<void(Request, std::shared_ptr<Responder>)>;

/// @brief HTTP/1.1 server.
class Server {
public:
    /// @brief Listens and serves on the pool's threads.
    static Result<std::unique_ptr<Server>> listen(IoPool& pool, ServerOptions options, Handler handler);
    ~Server();
    Server(const Server&) = delete;
    Server& operator=(const Server&) = delete;

    std::uint16_t port() const;
    /// @brief Stops listening; requests in progress go on, and their connections close after them.
    void stopAccepting();
    /// @brief From now on every answer tells its caller to close the connection; new connections are still taken.
    void closeAfterAnswers();
    /// @brief Takes new limits of time and size for requests to come; the address and the bodies' buffers stay.
    void setLimits(const ServerLimits& limits);
    /// @brief Requests that are not yet answered in full.
    std::size_t inProgress() const;
    std::size_t connections() const;

private:
    struct Impl;
    Server(std::shared_ptr<boost::asio::io_context> context, std::shared_ptr<Impl> impl);
    std::shared_ptr<boost::asio::io_context> m_context; ///< Outlives `m_impl`, also where the pool does not.
    std::shared_ptr<Impl> m_impl;
};

} // namespace foxtailwheel::http
