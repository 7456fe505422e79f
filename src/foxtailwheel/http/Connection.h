#pragma once

#include "Exchange.h"
#include "RequestParser.h"

#include <atomic>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <optional>

namespace foxtailwheel::http {

/// @brief State that the server shares with its connections, some of which may outlive it.
struct SharedState {
    std::atomic<std::size_t> requestsInProgress { 0 };
    std::atomic<std::size_t> connections { 0 };
    std::atomic<bool> stopping { false };
    std::atomic<bool> keepAliveDisabled { false };
};

/// @brief Current limits, shared by the connections.
class CurrentLimits {
public:
    explicit CurrentLimits(const ServerLimits& limits)
        : m_limits(limits)
    {
    }

    ServerLimits get() const
    {
        const std::lock_guard lock(m_mutex);
        return m_limits;
    }

    void set(const ServerLimits& limits)
    {
        const std::lock_guard lock(m_mutex);
        m_limits = limits;
    }

private:
    mutable std::mutex m_mutex;
    ServerLimits m_limits;
};

/// @brief A connection of a client.
class Connection : public std::enable_shared_from_this<Connection> {
public:
    Connection(boost::asio::ip::tcp::socket socket, const ServerOptions& options,
        std::shared_ptr<const CurrentLimits> limits, Handler handler, IoPool::ErrorHandler onError,
        std::shared_ptr<SharedState> state)
        : m_stream(std::move(socket))
        , m_readTimer(m_stream.get_executor())
        , m_options(options)
        , m_currentLimits(std::move(limits))
        , m_handler(std::move(handler))
        , m_onError(std::move(onError))
        , m_state(std::move(state))
    {
        ++m_state->connections;
    }
    ~Connection() { --m_state->connections; }
    Connection(const Connection&) = delete;
    Connection& operator=(const Connection&) = delete;

    boost::asio::awaitable<void> serve();
    /// Closes the connection if it has been waiting for a request for at least `quietTime`.
    void closeIfIdle(Duration quietTime);

private:
    boost::asio::awaitable<bool> awaitRequest(bool first);
    boost::asio::awaitable<std::optional<Request>> readRequest(bool& keepAlive, bool first);
    boost::asio::awaitable<boost::system::error_code> readHead(RequestParser& parser, std::size_t bufferBytes);
    boost::asio::awaitable<boost::system::error_code> readBody(RequestParser& parser, std::size_t bufferBytes);
    boost::asio::awaitable<boost::system::error_code> readMore(std::size_t bufferBytes, std::size_t stepBytes);
    boost::asio::awaitable<void> refuse(Response response);
    boost::asio::awaitable<void> discardInput();
    std::function<void()> cancelForMemory();
    bool isAdmitted(const RequestParser& parser);
    void countRequest(MemoryUse use, std::size_t bodyBytes);
    boost::asio::awaitable<bool> sendComplete(Response response, bool keepAlive);
    boost::asio::awaitable<bool> sendHeaders(Response response, bool keepAlive, bool chunked);
    boost::asio::awaitable<bool> sendContinue();
    boost::asio::awaitable<bool> sendChunk(std::string chunk);
    boost::asio::awaitable<bool> sendLastChunk();
    void handle(Request request, const std::shared_ptr<Exchange>& exchange);
    void reportError(const std::exception& error) const;
    boost::asio::awaitable<bool> writeResponse(const std::shared_ptr<Exchange>& exchange, bool keepAlive);
    boost::asio::awaitable<void> sendReadError(const boost::system::error_code& ec);
    void watchForDisconnect();
    void startReadTimeout(Duration timeout);
    void startIdleTimeout(bool first);
    void scheduleReadTimer(std::chrono::steady_clock::time_point at, std::function<void()> work);
    void closeWhenIdle(bool first);
    void onReadTimeout(Duration timeout, bool mayExtend);
    void cancelReadTimeout();
    bool hasUnreadBytes();
    bool hasBytesInSocket();
    bool mayStayOpen() { return (!m_state->stopping && !m_state->keepAliveDisabled) || hasUnreadBytes(); }

    boost::beast::tcp_stream m_stream;
    // The timeout of the stream would close the connection before an error response can be sent.
    boost::asio::steady_timer m_readTimer;
    bool m_readTimedOut = false;
    std::uint64_t m_readTimeoutId = 0;
    boost::beast::flat_buffer m_buffer;
    const ServerOptions& m_options;
    std::shared_ptr<const CurrentLimits> m_currentLimits;
    Handler m_handler;
    IoPool::ErrorHandler m_onError;
    std::shared_ptr<SharedState> m_state;
    std::weak_ptr<Exchange> m_currentExchange;
    std::unique_ptr<MemoryHolding> m_requestMemory; ///< Of the current request; null without a budget.
    bool m_endedForMemory = false;
    /// Changes when a request is complete and when its response ends, so that what was to end then does not end what
    /// follows it.
    std::uint64_t m_memoryPhase = 0;
    bool m_watchingForDisconnect = false;
    bool m_isHeadRequest = false; ///< The response to the current request has no body.
    std::string m_requestId; ///< Identity of the current request; may be empty.
    bool m_awaitingRequest = false;
    std::chrono::steady_clock::time_point m_awaitingSince;
};

} // namespace foxtailwheel::http
