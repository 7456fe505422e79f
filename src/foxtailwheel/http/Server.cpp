#include "foxtailwheel/http/Server.h"

#include <algorithm>
#include <atomic>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>
#include <deque>
#include <exception>
#include <mutex>
#include <optional>
#include <vector>

namespace foxtailwheel::http {

namespace net = boost::asio;
namespace beast = boost::beast;
using tcp = net::ip::tcp;

namespace {

    constexpr auto completionToken = net::as_tuple(net::use_awaitable);
    constexpr std::string_view continueResponse = "HTTP/1.1 100 Continue\r\n\r\n";
    constexpr int listenBacklog = 1024;
    /// Pause after a connection could not be accepted, for example because the process has no free descriptor.
    constexpr Duration acceptRetryDelay = std::chrono::milliseconds(50);
    constexpr Duration cancelRetryDelay = std::chrono::milliseconds(50);

    /// State that the server shares with its connections, some of which may outlive it.
    struct SharedState {
        std::atomic<std::size_t> requestsInProgress { 0 };
        std::atomic<std::size_t> connections { 0 };
        std::atomic<bool> stopping { false };
        std::atomic<bool> keepAliveDisabled { false };
    };

    /// Current limits, shared by the connections.
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

    enum class ResponsePartKind { Complete, Headers, Chunk, LastChunk, Abort };

    struct ResponsePart {
        ResponsePartKind kind = ResponsePartKind::Complete;
        Response response;
        std::string chunk;
    };

    /// A request in progress: queues the parts of its response, which any thread may add, for the connection's
    /// coroutine.
    class Exchange final : public Responder, public std::enable_shared_from_this<Exchange> {
    public:
        Exchange(const net::any_io_executor& executor, std::size_t maxQueuedBytes)
            : m_wakeTimer(executor, net::steady_timer::time_point::max())
            , m_maxQueuedBytes(maxQueuedBytes)
        {
        }

        void respond(Response response) override { push({ ResponsePartKind::Complete, std::move(response), {} }); }
        void beginStream(Response head) override { push({ ResponsePartKind::Headers, std::move(head), {} }); }
        bool write(std::string chunk) override { return push({ ResponsePartKind::Chunk, {}, std::move(chunk) }); }
        void endStream() override { push({ ResponsePartKind::LastChunk, {}, {} }); }
        void abort() override { push({ ResponsePartKind::Abort, {}, {} }); }
        void onDisconnect(std::function<void()> work) override;

        /// Waits for the next part; must run on the connection's strand.
        net::awaitable<ResponsePart> nextPart();
        /// Ends a response whose handler has thrown: status 500, or an abort if a part of it is queued.
        void fail();
        /// Discards queued parts, and calls the disconnect callback if the response is incomplete.
        void close();

    private:
        bool push(ResponsePart part);

        mutable std::mutex m_mutex;
        std::deque<ResponsePart> m_parts;
        std::size_t m_queuedBytes = 0;
        bool m_closed = false;
        bool m_begun = false;
        bool m_ended = false;
        bool m_overflowed = false; ///< The response was aborted because the client reads too slowly.
        std::function<void()> m_onDisconnect;
        net::steady_timer m_wakeTimer;
        std::size_t m_maxQueuedBytes;
    };

    bool Exchange::push(ResponsePart part)
    {
        {
            const std::lock_guard lock(m_mutex);
            if (m_closed || m_ended)
                return false;
            m_queuedBytes += part.chunk.size();
            if (m_queuedBytes > m_maxQueuedBytes) {
                part = { ResponsePartKind::Abort, {}, {} };
                m_overflowed = true;
            }
            m_begun = true;
            m_ended = part.kind != ResponsePartKind::Headers && part.kind != ResponsePartKind::Chunk;
            m_parts.push_back(std::move(part));
        }
        net::post(m_wakeTimer.get_executor(), [self = shared_from_this()] { self->m_wakeTimer.cancel(); });
        const std::lock_guard lock(m_mutex);
        return m_queuedBytes <= m_maxQueuedBytes;
    }

    void Exchange::onDisconnect(std::function<void()> work)
    {
        {
            const std::lock_guard lock(m_mutex);
            if (!m_closed) {
                m_onDisconnect = std::move(work);
                return;
            }
        }
        work();
    }

    void Exchange::fail()
    {
        std::function<void()> work;
        bool begun = false;
        {
            const std::lock_guard lock(m_mutex);
            if (m_ended)
                return;
            begun = m_begun;
            work = std::exchange(m_onDisconnect, nullptr);
        }
        if (begun)
            abort();
        else
            respond({ 500, { { "Content-Type", "application/json" } },
                "{\"outcome\":\"failed\",\"reason\":\"internal_error\"}" });
        if (work)
            work();
    }

    void Exchange::close()
    {
        std::function<void()> work;
        {
            const std::lock_guard lock(m_mutex);
            if (m_closed)
                return;
            m_closed = true;
            if (!m_ended || m_overflowed)
                work = std::move(m_onDisconnect);
            m_onDisconnect = nullptr;
            m_parts.clear();
        }
        m_wakeTimer.cancel();
        if (work)
            work();
    }

    net::awaitable<ResponsePart> Exchange::nextPart()
    {
        for (;;) {
            {
                const std::lock_guard lock(m_mutex);
                if (!m_parts.empty()) {
                    auto part = std::move(m_parts.front());
                    m_parts.pop_front();
                    m_queuedBytes -= part.chunk.size();
                    co_return part;
                }
                if (m_closed)
                    co_return ResponsePart { ResponsePartKind::Abort, {}, {} };
            }
            m_wakeTimer.expires_at(net::steady_timer::time_point::max());
            co_await m_wakeTimer.async_wait(completionToken);
        }
    }

    Response errorResponse(unsigned status, const std::string& code)
    {
        return { status, { { "Content-Type", "application/json" } },
            "{\"outcome\":\"not_run\",\"reason\":\"" + code + "\"}" };
    }

    struct FramingError {
        unsigned status = 400;
        std::string code;
    };

    /// Detects requests whose end or host two parsers could interpret differently, as in request smuggling (RFC 9112).
    std::optional<FramingError> findFramingError(const beast::http::request<beast::http::string_body>& message)
    {
        namespace bhttp = beast::http;
        if (message.version() >= 11 && message.count(bhttp::field::host) != 1)
            return FramingError { 400, "host_missing_or_repeated" };
        const auto codings = message.count(bhttp::field::transfer_encoding);
        if (codings > 0 && message.count(bhttp::field::content_length) > 0)
            return FramingError { 400, "length_and_transfer_encoding" };
        if (codings > 1 || (codings == 1 && !beast::iequals(message[bhttp::field::transfer_encoding], "chunked")))
            return FramingError { message.chunked() ? 501U : 400U, "unknown_transfer_encoding" };
        return std::nullopt;
    }

    /// A connection of a client.
    class Connection : public std::enable_shared_from_this<Connection> {
    public:
        Connection(tcp::socket socket, const ServerOptions& options, std::shared_ptr<const CurrentLimits> limits,
            Handler handler, IoPool::ErrorHandler onError, std::shared_ptr<SharedState> state)
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

        net::awaitable<void> serve();
        /// Closes the connection if it has been waiting for a request for at least `quietTime`.
        void closeIfIdle(Duration quietTime);

    private:
        net::awaitable<bool> awaitRequest(bool first);
        net::awaitable<std::optional<Request>> readRequest(bool& keepAlive, bool first);
        net::awaitable<bool> sendComplete(Response response, bool keepAlive);
        net::awaitable<bool> sendHeaders(Response response, bool keepAlive, bool chunked);
        net::awaitable<bool> sendContinue();
        net::awaitable<bool> sendChunk(std::string chunk);
        net::awaitable<bool> sendLastChunk();
        void handle(Request request, const std::shared_ptr<Exchange>& exchange);
        void reportError(const std::exception& error) const;
        net::awaitable<bool> writeResponse(const std::shared_ptr<Exchange>& exchange, bool keepAlive);
        net::awaitable<void> sendReadError(const boost::system::error_code& ec);
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

        beast::tcp_stream m_stream;
        // The timeout of the stream would close the connection before an error response can be sent.
        net::steady_timer m_readTimer;
        bool m_readTimedOut = false;
        std::uint64_t m_readTimeoutId = 0;
        beast::flat_buffer m_buffer;
        const ServerOptions& m_options;
        std::shared_ptr<const CurrentLimits> m_currentLimits;
        Handler m_handler;
        IoPool::ErrorHandler m_onError;
        std::shared_ptr<SharedState> m_state;
        std::weak_ptr<Exchange> m_currentExchange;
        bool m_watchingForDisconnect = false;
        bool m_isHeadRequest = false; ///< The response to the current request has no body.
        std::string m_requestId; ///< Identity of the current request; may be empty.
        bool m_awaitingRequest = false;
        std::chrono::steady_clock::time_point m_awaitingSince;
    };

    void Connection::closeIfIdle(Duration quietTime)
    {
        net::post(m_stream.get_executor(), [self = shared_from_this(), quietTime] {
            const bool quiet = std::chrono::steady_clock::now() - self->m_awaitingSince >= quietTime;
            if (self->m_awaitingRequest && quiet && !self->hasBytesInSocket())
                self->m_stream.cancel();
        });
    }

    /// Returns true if bytes of another request have arrived.
    bool Connection::hasUnreadBytes()
    {
        return m_buffer.size() > 0 || hasBytesInSocket();
    }

    bool Connection::hasBytesInSocket()
    {
        boost::system::error_code ec;
        return m_stream.socket().available(ec) > 0;
    }

    /// Detects that the peer closes the connection while its request is being processed.
    void Connection::watchForDisconnect()
    {
        if (m_watchingForDisconnect)
            return;
        m_watchingForDisconnect = true;
        m_stream.socket().async_wait(
            tcp::socket::wait_read, [self = shared_from_this()](const boost::system::error_code& ec) {
                self->m_watchingForDisconnect = false;
                const auto exchange = self->m_currentExchange.lock();
                if (ec || !exchange)
                    return;
                char byte = 0;
                boost::system::error_code peekError;
                self->m_stream.socket().non_blocking(true, peekError);
                const auto n
                    = self->m_stream.socket().receive(net::buffer(&byte, 1), tcp::socket::message_peek, peekError);
                if (peekError == net::error::would_block)
                    self->watchForDisconnect();
                else if (n == 0 || peekError)
                    exchange->close();
            });
    }

    void Connection::scheduleReadTimer(std::chrono::steady_clock::time_point at, std::function<void()> work)
    {
        m_readTimer.expires_at(at);
        m_readTimer.async_wait([self = shared_from_this(), n = ++m_readTimeoutId, work = std::move(work)](
                                   const boost::system::error_code& ec) {
            if (!ec && n == self->m_readTimeoutId)
                work();
        });
    }

    /// Starts the timeout of the next read.
    void Connection::startReadTimeout(Duration timeout)
    {
        m_stream.expires_never();
        m_readTimedOut = false;
        scheduleReadTimer(
            std::chrono::steady_clock::now() + timeout, [this, timeout] { onReadTimeout(timeout, true); });
    }

    /// Ends the read, unless bytes have arrived that this process was too slow to read.
    void Connection::onReadTimeout(Duration timeout, bool mayExtend)
    {
        const auto now = std::chrono::steady_clock::now();
        if (mayExtend && hasBytesInSocket()) {
            scheduleReadTimer(now + timeout, [this, timeout] { onReadTimeout(timeout, false); });
            return;
        }
        m_readTimedOut = true;
        m_stream.cancel();
        // A read that has completed already cannot be cancelled, and another may follow it.
        scheduleReadTimer(now + cancelRetryDelay, [this, timeout] { onReadTimeout(timeout, false); });
    }

    /// Starts the timeout of the wait for a request.
    void Connection::startIdleTimeout(bool first)
    {
        m_stream.expires_never();
        m_awaitingSince = std::chrono::steady_clock::now();
        closeWhenIdle(first);
    }

    /// Ends the wait at the limit in force then: callers keep connections for as long as the newest one allows.
    void Connection::closeWhenIdle(bool first)
    {
        const auto limits = m_currentLimits->get();
        const auto end = m_awaitingSince + (first ? limits.headerTimeout : limits.idleTimeout);
        if (end > std::chrono::steady_clock::now())
            scheduleReadTimer(end, [this, first] { closeWhenIdle(first); });
        else
            m_stream.cancel();
    }

    /// Cancels the read timeout; one that has already expired but was not yet handled is ignored.
    void Connection::cancelReadTimeout()
    {
        ++m_readTimeoutId;
        m_readTimer.cancel();
    }

    net::awaitable<void> Connection::sendReadError(const boost::system::error_code& ec)
    {
        namespace bhttp = beast::http;
        cancelReadTimeout();
        if (ec == bhttp::error::end_of_stream || ec == net::error::connection_reset)
            co_return;
        if (ec == net::error::operation_aborted && !m_readTimedOut)
            co_return;
        Response response = errorResponse(400, "malformed_http");
        if (ec == bhttp::error::body_limit)
            response = errorResponse(413, "body_too_large");
        else if (ec == bhttp::error::header_limit)
            response = errorResponse(431, "header_too_large");
        else if (m_readTimedOut)
            response = errorResponse(408, "too_slow");
        co_await sendComplete(std::move(response), false);
    }

    /// Waits until a byte of a request arrives.
    /// @return False if the connection is to be closed.
    net::awaitable<bool> Connection::awaitRequest(bool first)
    {
        if (m_buffer.size() > 0)
            co_return true;
        startIdleTimeout(first);
        m_awaitingRequest = true;
        auto [ec] = co_await m_stream.socket().async_wait(tcp::socket::wait_read, completionToken);
        m_awaitingRequest = false;
        cancelReadTimeout();
        // A request may arrive while the wait is being cancelled.
        co_return !ec || hasBytesInSocket();
    }

    net::awaitable<std::optional<Request>> Connection::readRequest(bool& keepAlive, bool first)
    {
        namespace bhttp = beast::http;
        m_isHeadRequest = false;
        const bool arrived = co_await awaitRequest(first);
        if (!arrived)
            co_return std::nullopt;
        bhttp::request_parser<bhttp::string_body> parser;
        const auto limits = m_currentLimits->get();
        parser.header_limit(limits.maxHeaderBytes);
        parser.body_limit(limits.maxBodyBytes);
        startReadTimeout(limits.headerTimeout);
        auto [headerError, headerBytes]
            = co_await bhttp::async_read_header(m_stream, m_buffer, parser, completionToken);
        if (headerError) {
            co_await sendReadError(headerError);
            co_return std::nullopt;
        }
        if (const auto error = findFramingError(parser.get())) {
            cancelReadTimeout();
            co_await sendComplete(errorResponse(error->status, error->code), false);
            co_return std::nullopt;
        }
        const bool expectsContinue = beast::iequals(parser.get()[bhttp::field::expect], "100-continue");
        if (expectsContinue && !parser.is_done() && m_buffer.size() == 0) {
            cancelReadTimeout();
            const bool sent = co_await sendContinue();
            if (!sent)
                co_return std::nullopt;
        }
        startReadTimeout(limits.bodyTimeout);
        auto [bodyError, bodyBytes] = co_await bhttp::async_read(m_stream, m_buffer, parser, completionToken);
        if (bodyError) {
            co_await sendReadError(bodyError);
            co_return std::nullopt;
        }
        cancelReadTimeout();
        auto message = parser.release();
        keepAlive = message.keep_alive();
        m_isHeadRequest = message.method() == bhttp::verb::head;
        Request request { std::string(message.method_string()), std::string(message.target()), {},
            std::move(message.body()) };
        for (const auto& it : message)
            request.headers.push_back({ std::string(it.name_string()), std::string(it.value()) });
        if (m_options.identifyResponses)
            m_requestId = findHeader(request.headers, identityField);
        co_return request;
    }

    /// Asks a client that sent `Expect: 100-continue` for the body.
    net::awaitable<bool> Connection::sendContinue()
    {
        m_stream.expires_after(m_options.writeTimeout);
        auto [ec, n] = co_await net::async_write(m_stream, net::buffer(continueResponse), completionToken);
        co_return !ec;
    }

    net::awaitable<bool> Connection::sendComplete(Response response, bool keepAlive)
    {
        namespace bhttp = beast::http;
        if (m_isHeadRequest) {
            const bool sent = co_await sendHeaders(std::move(response), keepAlive, false);
            co_return sent;
        }
        bhttp::response<bhttp::string_body> message { static_cast<bhttp::status>(response.status), 11 };
        for (const auto& it : response.headers)
            message.insert(it.name, it.value);
        if (!m_requestId.empty())
            message.set(identityField, m_requestId);
        message.keep_alive(keepAlive);
        message.body() = std::move(response.body);
        message.prepare_payload();
        m_stream.expires_after(m_options.writeTimeout);
        auto [ec, n] = co_await bhttp::async_write(m_stream, message, completionToken);
        co_return !ec;
    }

    net::awaitable<bool> Connection::sendHeaders(Response response, bool keepAlive, bool chunked)
    {
        namespace bhttp = beast::http;
        bhttp::response<bhttp::empty_body> message { static_cast<bhttp::status>(response.status), 11 };
        for (const auto& it : response.headers)
            message.insert(it.name, it.value);
        if (!m_requestId.empty())
            message.set(identityField, m_requestId);
        message.keep_alive(keepAlive);
        message.chunked(chunked);
        bhttp::response_serializer<bhttp::empty_body> serializer(message);
        m_stream.expires_after(m_options.writeTimeout);
        auto [ec, n] = co_await bhttp::async_write_header(m_stream, serializer, completionToken);
        co_return !ec;
    }

    net::awaitable<bool> Connection::sendChunk(std::string chunk)
    {
        m_stream.expires_after(m_options.writeTimeout);
        auto [ec, n]
            = co_await net::async_write(m_stream, beast::http::make_chunk(net::buffer(chunk)), completionToken);
        co_return !ec;
    }

    net::awaitable<bool> Connection::sendLastChunk()
    {
        m_stream.expires_after(m_options.writeTimeout);
        auto [ec, n] = co_await net::async_write(m_stream, beast::http::make_chunk_last(), completionToken);
        co_return !ec;
    }

    net::awaitable<bool> Connection::writeResponse(const std::shared_ptr<Exchange>& exchange, bool keepAlive)
    {
        bool sent = true;
        while (sent) {
            m_stream.expires_never();
            auto part = co_await exchange->nextPart();
            switch (part.kind) {
            case ResponsePartKind::Complete:
                keepAlive = keepAlive && mayStayOpen();
                sent = co_await sendComplete(std::move(part.response), keepAlive);
                co_return sent&& keepAlive;
            case ResponsePartKind::Headers:
                keepAlive = keepAlive && mayStayOpen();
                sent = co_await sendHeaders(std::move(part.response), keepAlive, !m_isHeadRequest);
                break;
            case ResponsePartKind::Chunk:
                if (!m_isHeadRequest)
                    sent = co_await sendChunk(std::move(part.chunk));
                break;
            case ResponsePartKind::LastChunk:
                if (!m_isHeadRequest)
                    sent = co_await sendLastChunk();
                co_return sent&& keepAlive;
            case ResponsePartKind::Abort:
                co_return false;
            }
        }
        co_return false;
    }

    void Connection::reportError(const std::exception& error) const
    {
        if (m_onError)
            m_onError(error.what());
    }

    /// Calls the handler; an exception fails this request only.
    void Connection::handle(Request request, const std::shared_ptr<Exchange>& exchange)
    {
        try {
            m_handler(std::move(request), exchange);
        } catch (const std::exception& error) {
            reportError(error);
            exchange->fail();
        }
    }

    net::awaitable<void> Connection::serve()
    {
        boost::system::error_code ignored;
        m_stream.socket().set_option(tcp::no_delay(true), ignored);
        bool reusable = true;
        for (bool first = true; reusable && (first || !m_state->stopping || hasUnreadBytes()); first = false) {
            bool keepAlive = true;
            auto request = co_await readRequest(keepAlive, first);
            if (!request)
                break;
            ++m_state->requestsInProgress;
            auto exchange = std::make_shared<Exchange>(m_stream.get_executor(), m_options.maxQueuedBytes);
            m_currentExchange = exchange;
            watchForDisconnect();
            handle(std::move(*request), exchange);
            try {
                reusable = co_await writeResponse(exchange, keepAlive);
            } catch (const std::exception& error) {
                reportError(error);
                reusable = false;
            }
            m_currentExchange.reset();
            exchange->close();
            --m_state->requestsInProgress;
        }
        m_stream.socket().shutdown(tcp::socket::shutdown_both, ignored);
        m_stream.close();
    }

} // namespace

struct Server::Impl : std::enable_shared_from_this<Server::Impl> {
    Impl(IoPool& pool, ServerOptions o, Handler h)
        : context(pool.context())
        , onError(pool.errorHandler())
        , acceptor(net::make_strand(context))
        , options(std::move(o))
        , limits(std::make_shared<CurrentLimits>(options))
        , handler(std::move(h))
    {
    }

    boost::system::error_code open();
    net::awaitable<void> acceptLoop();
    void startConnection(tcp::socket socket);
    void acceptQueuedConnections();

    net::io_context& context;
    IoPool::ErrorHandler onError;
    tcp::acceptor acceptor;
    ServerOptions options;
    std::shared_ptr<CurrentLimits> limits;
    Handler handler;
    std::shared_ptr<SharedState> state = std::make_shared<SharedState>();
    std::mutex connectionsMutex;
    std::vector<std::weak_ptr<Connection>> openConnections; ///< May contain connections that have ended.
    std::size_t pruneAt = 64; ///< Size of `openConnections` at which those that have ended are removed.
};

boost::system::error_code Server::Impl::open()
{
    boost::system::error_code ec;
    const auto address = net::ip::make_address(options.listen.host, ec);
    if (!ec)
        acceptor.open(tcp::v4(), ec);
    if (!ec)
        acceptor.set_option(tcp::acceptor::reuse_address(true), ec);
    if (!ec)
        acceptor.bind({ address, options.listen.port }, ec);
    if (!ec)
        acceptor.listen(listenBacklog, ec);
    return ec;
}

net::awaitable<void> Server::Impl::acceptLoop()
{
    net::steady_timer retryTimer(acceptor.get_executor());
    while (!state->stopping) {
        auto [ec, socket] = co_await acceptor.async_accept(net::make_strand(context), completionToken);
        if (ec == net::error::operation_aborted || ec == net::error::bad_descriptor)
            co_return;
        if (!ec) {
            startConnection(std::move(socket));
            continue;
        }
        retryTimer.expires_after(acceptRetryDelay);
        co_await retryTimer.async_wait(completionToken);
    }
}

void Server::Impl::startConnection(tcp::socket socket)
{
    if (state->connections >= options.maxConnections)
        return;
    const auto executor = socket.get_executor();
    auto connection = std::make_shared<Connection>(std::move(socket), options, limits, handler, onError, state);
    {
        const std::lock_guard lock(connectionsMutex);
        if (openConnections.size() >= pruneAt) {
            std::erase_if(openConnections, [](const auto& it) { return it.expired(); });
            pruneAt = std::max<std::size_t>(64, 2 * openConnections.size());
        }
        openConnections.push_back(connection);
    }
    // The connections refer to the options in this object, so their coroutines keep it alive.
    net::co_spawn(
        executor, [connection, self = shared_from_this()]() -> net::awaitable<void> { co_await connection->serve(); },
        net::detached);
}

/// Accepts the connections that clients have established already; closing the acceptor would reset them.
void Server::Impl::acceptQueuedConnections()
{
    boost::system::error_code ec;
    acceptor.non_blocking(true, ec);
    while (!ec) {
        tcp::socket socket(net::make_strand(context));
        acceptor.accept(socket, ec);
        if (!ec)
            startConnection(std::move(socket));
    }
}

Server::Server(std::shared_ptr<net::io_context> context, std::shared_ptr<Impl> impl)
    : m_context(std::move(context))
    , m_impl(std::move(impl))
{
}

Server::~Server()
{
    stopAccepting();
}

Result<std::unique_ptr<Server>> Server::listen(IoPool& pool, ServerOptions options, Handler handler)
{
    auto impl = std::make_shared<Impl>(pool, std::move(options), std::move(handler));
    if (const auto ec = impl->open())
        return fail(Errc::Unreachable, "cannot listen on " + impl->options.listen.toString() + ": " + ec.message());
    net::co_spawn(
        impl->acceptor.get_executor(), [impl]() -> net::awaitable<void> { co_await impl->acceptLoop(); },
        net::detached);
    return std::unique_ptr<Server>(new Server(pool.sharedContext(), std::move(impl)));
}

std::uint16_t Server::port() const
{
    boost::system::error_code ec;
    return m_impl->acceptor.local_endpoint(ec).port();
}

void Server::stopAccepting()
{
    m_impl->state->stopping = true;
    net::post(m_impl->acceptor.get_executor(), [impl = m_impl] {
        boost::system::error_code ec;
        impl->acceptQueuedConnections();
        impl->acceptor.close(ec);
    });
}

void Server::closeIdleConnections(Duration quietTime)
{
    std::vector<std::weak_ptr<Connection>> connections;
    {
        const std::lock_guard lock(m_impl->connectionsMutex);
        connections = m_impl->openConnections;
    }
    for (const auto& it : connections) {
        if (const auto connection = it.lock())
            connection->closeIfIdle(quietTime);
    }
}

void Server::disableKeepAlive()
{
    m_impl->state->keepAliveDisabled = true;
}

void Server::setLimits(const ServerLimits& limits)
{
    m_impl->limits->set(limits);
}

std::size_t Server::requestsInProgress() const
{
    return m_impl->state->requestsInProgress;
}

std::size_t Server::openConnections() const
{
    return m_impl->state->connections;
}

} // namespace foxtailwheel::http
