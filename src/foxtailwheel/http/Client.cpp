#include "foxtailwheel/http/Client.h"

#include "BodyBuffer.h"

#include <algorithm>
#include <array>
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
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>
#include <exception>
#include <functional>
#include <map>
#include <mutex>
#include <netinet/tcp.h>
#include <optional>
#include <vector>

namespace foxtailwheel::http {

namespace net = boost::asio;
namespace beast = boost::beast;
namespace bhttp = beast::http;
using tcp = net::ip::tcp;

namespace {

    using namespace std::chrono_literals;

    constexpr auto completionToken = net::as_tuple(net::use_awaitable);
    /// Limit of a body that is delivered in pieces and not buffered.
    constexpr std::uint64_t maxStreamBytes = std::uint64_t { 64 } << 20U;
    constexpr int maxInterimResponses = 16;
    constexpr std::size_t readChunkBytes = 16U << 10U;
    constexpr std::size_t maxIdleConnectionsPerServer = 64;
    constexpr Duration maxIdleTime = 10s;
    constexpr Duration connectTimeout = 500ms;
    /// Time for a server to close a connection that this side has ended.
    constexpr Duration closeTimeout = 1s;
    /// Requests up to this size fit into the socket's send buffer and are written before the response is read.
    constexpr std::size_t maxSequentialWriteBytes = 8U << 10U;
    /// Keep-alive probes detect an unresponsive peer after about three seconds.
    constexpr int keepAliveIdleSeconds = 1;
    constexpr int keepAliveIntervalSeconds = 1;
    constexpr int keepAliveProbeCount = 2;

    using Stream = beast::tcp_stream;
    using Parser = bhttp::response_parser<bhttp::buffer_body>;

    /// Returns true for a response that another one to the same request follows (RFC 9110, section 15.2).
    bool isInterim(unsigned status)
    {
        return status / 100 == 1 && status != static_cast<unsigned>(bhttp::status::switching_protocols);
    }

    /// Returns true for the three-digit codes that a response may have (RFC 9110, section 15). The parser takes others.
    bool isStatusCode(unsigned status)
    {
        return status >= 100 && status <= 599;
    }

    /// Idle connections by server, for reuse by later calls.
    class IdleConnectionPool {
    public:
        std::unique_ptr<Stream> acquire(const config::Endpoint& server, TimePoint now);
        void release(const config::Endpoint& server, std::unique_ptr<Stream> stream, TimePoint now);
        /// Closes all idle connections to a server, to be called when one of them was stale or its server unresponsive.
        void closeAll(const config::Endpoint& server);

    private:
        struct IdleConnection {
            std::unique_ptr<Stream> stream;
            TimePoint idleSince;
        };

        static bool isOpen(Stream& stream);

        std::mutex m_mutex;
        std::map<config::Endpoint, std::vector<IdleConnection>> m_idleConnections;
    };

    bool IdleConnectionPool::isOpen(Stream& stream)
    {
        char byte = 0;
        boost::system::error_code ec;
        stream.socket().non_blocking(true, ec);
        stream.socket().receive(net::buffer(&byte, 1), tcp::socket::message_peek, ec);
        return ec == net::error::would_block;
    }

    std::unique_ptr<Stream> IdleConnectionPool::acquire(const config::Endpoint& server, TimePoint now)
    {
        const std::lock_guard lock(m_mutex);
        auto& idle = m_idleConnections[server];
        while (!idle.empty()) {
            auto last = std::move(idle.back());
            idle.pop_back();
            if (now - last.idleSince < maxIdleTime && isOpen(*last.stream))
                return std::move(last.stream);
        }
        return nullptr;
    }

    void IdleConnectionPool::release(const config::Endpoint& server, std::unique_ptr<Stream> stream, TimePoint now)
    {
        const std::lock_guard lock(m_mutex);
        auto& idle = m_idleConnections[server];
        if (idle.size() < maxIdleConnectionsPerServer)
            idle.push_back({ std::move(stream), now });
    }

    void IdleConnectionPool::closeAll(const config::Endpoint& server)
    {
        const std::lock_guard lock(m_mutex);
        m_idleConnections.erase(server);
    }

    std::shared_ptr<MemoryBudget> budgetOf(const ClientOptions& options)
    {
        if (options.memory)
            return options.memory;
        MemoryBudgetOptions own;
        own.maxServerResponseBytes = options.maxBufferedBytes;
        return MemoryBudget::create(own);
    }

    /// State that the calls of a client share.
    struct ClientState {
        ClientState(const ClientOptions& options, IoPool::ErrorHandler errorHandler)
            : onError(std::move(errorHandler))
            , memory(budgetOf(options))
        {
        }

        void reportError(const std::exception& error) const
        {
            if (onError)
                onError(error.what());
        }

        IoPool::ErrorHandler onError;
        IdleConnectionPool idlePool;
        std::shared_ptr<MemoryBudget> memory;
    };

    /// Returns true if the connection has ended; otherwise, what was received is no response.
    bool isEndOfConnection(const boost::system::error_code& ec)
    {
        return ec == bhttp::error::partial_message || ec == bhttp::error::end_of_stream || ec == net::error::eof
            || ec == net::error::connection_reset;
    }

    /// A call, run by a coroutine on its own strand.
    class PooledCall final : public Call, public std::enable_shared_from_this<PooledCall> {
    public:
        /// @param strand Executor of the call; the executor of `stream` if a connection is reused.
        /// @param stream Connection to reuse, or null to open a new one.
        PooledCall(net::any_io_executor strand, std::unique_ptr<Stream> stream, std::shared_ptr<ClientState> state,
            const Clock& clock, CallRequest request, CallCallbacks callbacks, std::string identity)
            : m_strand(std::move(strand))
            , m_identity(std::move(identity))
            , m_state(std::move(state))
            , m_clock(clock)
            , m_request(std::move(request))
            , m_callbacks(std::move(callbacks))
            , m_stream(std::move(stream))
            , m_writeEnd(m_strand, net::steady_timer::time_point::max())
            , m_reused(m_stream != nullptr)
        {
        }

        void cancel() override;
        net::awaitable<void> run();
        net::any_io_executor executor() const { return m_strand; }

    private:
        net::awaitable<bool> connect();
        net::awaitable<CallResult> attempt();
        net::awaitable<CallResult> attemptSafely();
        net::awaitable<bool> write();
        net::awaitable<void> writeConcurrently();
        net::awaitable<boost::system::error_code> endWrite();
        net::awaitable<void> sendRest();
        net::awaitable<CallResult> read();
        void enableKeepAlive();
        net::awaitable<boost::system::error_code> readHead(std::optional<Parser>& parser);
        net::awaitable<boost::system::error_code> readBody(Parser& parser, BodyBuffer& body);
        CallResult makeResult(TransportOutcome outcome, std::string detail) const
        {
            return { outcome, {}, std::move(detail) };
        }
        CallResult errorResult(const boost::system::error_code& ec) const;
        void setStreamDeadline(TimePoint at);

        void end();
        void cancelStream();
        void countBodyBytes(std::size_t bodyBytes);
        std::optional<bool> isOwnResponse(const Response& head) const;

        net::any_io_executor m_strand;
        std::string m_identity; ///< Empty if responses are not checked.
        std::shared_ptr<ClientState> m_state;
        const Clock& m_clock;
        CallRequest m_request;
        CallCallbacks m_callbacks;
        std::unique_ptr<Stream> m_stream;
        beast::flat_buffer m_buffer { Client::maxHeadBytes };
        std::atomic<bool> m_cancelled { false };
        std::atomic<bool> m_overBudget { false };
        bhttp::request<bhttp::string_body> m_message;
        net::steady_timer m_writeEnd; ///< Cancelled when the concurrent write ends.
        boost::system::error_code m_writeError;
        std::unique_ptr<MemoryHolding> m_memory; ///< Of the body; null while it is short.
        bool m_writing = false; ///< A concurrent write is in progress.
        bool m_stopsWriting = false;
        bool m_writeIncomplete = false;
        bool m_sendsRest = false; ///< The rest of the request is still sent after its response.
        bool m_sendStarted = false;
        bool m_writeStarted = false;
        bool m_reused = false;
        bool m_responseStarted = false;
    };

    void PooledCall::cancel()
    {
        m_cancelled = true;
        cancelStream();
    }

    /// Ends the call because the bodies of all calls exceed their limit.
    void PooledCall::end()
    {
        m_overBudget = true;
        cancelStream();
    }

    void PooledCall::cancelStream()
    {
        net::post(m_strand, [self = shared_from_this()] {
            if (self->m_stream)
                self->m_stream->cancel();
        });
    }

    /// Counts received bytes in the budget of all calls, except for bodies that fit into one chunk.
    void PooledCall::countBodyBytes(std::size_t bodyBytes)
    {
        if (bodyBytes <= readChunkBytes)
            return;
        if (!m_memory)
            m_memory = m_state->memory->hold([weak = weak_from_this()] {
                if (const auto self = weak.lock())
                    self->end();
            });
        m_memory->set(MemoryUse::ServerResponse, bodyBytes);
    }

    /// Returns whether a response is the one to this request; nothing if that is unknown.
    std::optional<bool> PooledCall::isOwnResponse(const Response& head) const
    {
        if (m_identity.empty())
            return true;
        const auto id = findHeader(head.headers, identityField);
        return id.empty() ? std::nullopt : std::optional(id == m_identity);
    }

    void PooledCall::setStreamDeadline(TimePoint at)
    {
        m_stream->expires_after(std::max<Duration>(at - m_clock.now(), Duration {}));
    }

    CallResult PooledCall::errorResult(const boost::system::error_code& ec) const
    {
        if (m_overBudget)
            return makeResult(TransportOutcome::ConnectionLost, "too many bytes in the bodies of all calls");
        if (m_cancelled)
            return makeResult(TransportOutcome::Cancelled, "cancelled");
        // Nothing else aborts a read: the timeout may end the concurrent write first.
        if (ec == beast::error::timeout || ec == net::error::operation_aborted)
            return makeResult(TransportOutcome::TimedOut, "timed out");
        auto result = makeResult(TransportOutcome::ConnectionLost, ec.message());
        result.oversized = ec == bhttp::error::body_limit;
        return result;
    }

    net::awaitable<bool> PooledCall::connect()
    {
        boost::system::error_code ec;
        const auto address = net::ip::make_address(m_request.server.host, ec);
        if (ec)
            co_return false;
        m_stream = std::make_unique<Stream>(m_strand);
        setStreamDeadline(std::min(m_request.sendBy, m_clock.now() + connectTimeout));
        auto [connectError]
            = co_await m_stream->async_connect(tcp::endpoint(address, m_request.server.port), completionToken);
        if (connectError)
            co_return false;
        m_stream->socket().set_option(tcp::no_delay(true), ec);
        co_return true;
    }

    void PooledCall::enableKeepAlive()
    {
        boost::system::error_code ignored;
        m_stream->socket().set_option(net::socket_base::keep_alive(true), ignored);
        const auto handle = m_stream->socket().native_handle();
        setsockopt(handle, IPPROTO_TCP, TCP_KEEPIDLE, &keepAliveIdleSeconds, sizeof keepAliveIdleSeconds);
        setsockopt(handle, IPPROTO_TCP, TCP_KEEPINTVL, &keepAliveIntervalSeconds, sizeof keepAliveIntervalSeconds);
        setsockopt(handle, IPPROTO_TCP, TCP_KEEPCNT, &keepAliveProbeCount, sizeof keepAliveProbeCount);
    }

    net::awaitable<bool> PooledCall::write()
    {
        const auto& request = m_request.request;
        m_message = {};
        m_message.method_string(request.method);
        m_message.target(request.target);
        m_message.version(11);
        if (findHeader(request.headers, "Host").empty())
            m_message.set(bhttp::field::host, m_request.server.toString());
        for (const auto& it : request.headers)
            m_message.insert(it.name, it.value);
        if (!m_identity.empty())
            m_message.set(identityField, m_identity);
        m_message.keep_alive(true);
        // A call on a reused connection may be sent once more.
        if (m_reused)
            m_message.body() = request.body;
        else
            m_message.body() = std::move(m_request.request.body);
        // Beast does not prepare the payload of a TRACE request that has one.
        if (m_message.method() == bhttp::verb::trace)
            m_message.content_length(m_message.body().size());
        else
            m_message.prepare_payload();
        if (!m_sendStarted && m_callbacks.onSendStart)
            m_callbacks.onSendStart();
        m_sendStarted = true;
        setStreamDeadline(m_request.deadline);
        m_writeStarted = true;
        if (m_message.body().size() > maxSequentialWriteBytes) {
            m_writing = true;
            m_writeIncomplete = true;
            net::co_spawn(
                m_strand, [self = shared_from_this()]() -> net::awaitable<void> { co_await self->writeConcurrently(); },
                net::detached);
            co_return true;
        }
        auto [ec, n] = co_await bhttp::async_write(*m_stream, m_message, completionToken);
        co_return !ec;
    }

    /// Writes the request while the response is read: a server may respond before it has read the whole request.
    net::awaitable<void> PooledCall::writeConcurrently()
    {
        auto& stream = *m_stream;
        bhttp::request_serializer<bhttp::string_body> serializer(m_message);
        while (!serializer.is_done() && !m_writeError && !m_stopsWriting) {
            auto [ec, n] = co_await bhttp::async_write_some(stream, serializer, completionToken);
            m_writeError = ec;
        }
        m_writeIncomplete = m_writeError || !serializer.is_done();
        m_writing = false;
        m_writeEnd.cancel();
    }

    /// Stops the concurrent write, and returns the error of the connection if the write has taken it. The kernel
    /// reports the loss of a connection once; what is left for a read looks like an end in order.
    net::awaitable<boost::system::error_code> PooledCall::endWrite()
    {
        m_stopsWriting = true;
        if (m_writing)
            m_stream->cancel();
        while (m_writing)
            co_await m_writeEnd.async_wait(completionToken);
        // A broken pipe means that the server had ended its side in order before.
        const bool ended = m_writeError == net::error::broken_pipe || m_writeError == net::error::operation_aborted;
        co_return ended ? boost::system::error_code() : m_writeError;
    }

    /// Sends the rest of a request whose response came early, and waits until the server has closed the connection, so
    /// that nothing that it sends resets the connection before it has read all.
    net::awaitable<void> PooledCall::sendRest()
    {
        const auto memory = m_state->memory->hold([weak = weak_from_this()] {
            if (const auto self = weak.lock())
                self->end();
        });
        // The response is delivered, so these bytes are given up as early as those of an incomplete one.
        memory->set(MemoryUse::ServerResponse, m_message.body().size());
        while (m_writing)
            co_await m_writeEnd.async_wait(completionToken);
        if (m_writeIncomplete)
            co_return;
        boost::system::error_code ec;
        m_stream->socket().shutdown(tcp::socket::shutdown_send, ec);
        setStreamDeadline(m_clock.now() + closeTimeout);
        std::array<char, 512> ignored {};
        while (!ec && !m_overBudget) {
            auto [readError, n] = co_await m_stream->async_read_some(net::buffer(ignored), completionToken);
            ec = readError;
        }
    }

    net::awaitable<boost::system::error_code> PooledCall::readBody(Parser& parser, BodyBuffer& body)
    {
        std::string chunk(readChunkBytes, '\0');
        const bool streaming = m_callbacks.onData && parser.get().result_int() == 200;
        const auto& bodyTime = m_request.bodyTime;
        const auto bodyDeadline = bodyTime ? m_clock.now() + bodyTime->total : m_request.deadline;
        while (!parser.is_done()) {
            parser.get().body().data = chunk.data();
            parser.get().body().size = chunk.size();
            if (bodyTime)
                setStreamDeadline(std::min(bodyDeadline, m_clock.now() + bodyTime->maxPause));
            auto [ec, n] = co_await bhttp::async_read_some(*m_stream, m_buffer, parser, completionToken);
            const std::string_view received(chunk.data(), chunk.size() - parser.get().body().size);
            if (streaming && !received.empty()) {
                m_callbacks.onData(received);
            } else if (!received.empty()) {
                body.append(received);
                countBodyBytes(body.size());
            }
            if (ec && ec != bhttp::error::need_buffer)
                co_return ec;
            // The read had completed already when the stream was cancelled.
            if (m_cancelled && !parser.is_done())
                co_return net::error::operation_aborted;
            if (m_overBudget || body.size() > m_request.maxBodyBytes)
                co_return bhttp::error::body_limit;
        }
        co_return boost::system::error_code();
    }

    /// Reads the head of the final response, after any interim ones (RFC 9110, 15.2). The limit is for all of them.
    net::awaitable<boost::system::error_code> PooledCall::readHead(std::optional<Parser>& parser)
    {
        std::size_t headBytes = 0;
        int responses = 0;
        do {
            if (responses++ > maxInterimResponses)
                co_return bhttp::error::header_limit;
            parser.emplace();
            parser->header_limit(Client::maxHeadBytes);
            parser->body_limit(m_callbacks.onData ? maxStreamBytes : m_request.maxBodyBytes);
            parser->skip(m_message.method() == bhttp::verb::head);
            auto [ec, n] = co_await bhttp::async_read_header(*m_stream, m_buffer, *parser, completionToken);
            m_responseStarted = m_responseStarted || n > 0;
            if (ec)
                co_return ec;
            headBytes += n;
            if (headBytes > Client::maxHeadBytes)
                co_return bhttp::error::header_limit;
            if (!isStatusCode(parser->get().result_int()))
                co_return bhttp::error::bad_status;
        } while (isInterim(parser->get().result_int()));
        co_return boost::system::error_code();
    }

    net::awaitable<CallResult> PooledCall::read()
    {
        std::optional<Parser> optionalParser;
        const auto headError = co_await readHead(optionalParser);
        if (headError) {
            auto failure = errorResult(headError);
            failure.brokeInHead = failure.outcome == TransportOutcome::ConnectionLost && m_buffer.size() > 0
                && isEndOfConnection(headError);
            co_return failure;
        }
        auto& parser = *optionalParser;
        CallResult result { TransportOutcome::Complete, {}, {} };
        result.response.status = parser.get().result_int();
        for (const auto& it : parser.get())
            result.response.headers.push_back({ std::string(it.name_string()), std::string(it.value()) });
        const auto own = isOwnResponse(result.response);
        // The server has identified the previous response of a reused connection.
        if (!own.value_or(!m_reused))
            co_return makeResult(TransportOutcome::ConnectionLost, "the response to another request");
        if (m_callbacks.onHead)
            m_callbacks.onHead(result.response);
        BodyBuffer body;
        auto bodyError = co_await readBody(parser, body);
        if (!bodyError && parser.need_eof())
            bodyError = co_await endWrite();
        if (bodyError) {
            auto failure = errorResult(bodyError);
            failure.detail += " after " + std::to_string(body.size()) + " bytes of the body";
            co_return failure;
        }
        result.response.body = body.take();
        result.delimited = !parser.need_eof();
        // A server that does not ask to close the connection reads on; one that fails the request has no use for it.
        m_sendsRest = m_writing && parser.keep_alive() && result.delimited && result.response.status < 400;
        if (parser.keep_alive() && m_buffer.size() == 0 && !m_cancelled && !m_writeIncomplete
            && !m_request.newConnection && own) {
            m_stream->expires_never();
            m_state->idlePool.release(m_request.server, std::move(m_stream), m_clock.now());
        }
        co_return result;
    }

    net::awaitable<CallResult> PooledCall::attempt()
    {
        m_buffer.clear();
        if (!m_stream) {
            const bool connected = co_await connect();
            if (!connected)
                co_return makeResult(
                    m_sendStarted ? TransportOutcome::ConnectionLost : TransportOutcome::NotSent, "cannot connect");
        }
        if (m_request.tcpKeepAlive)
            enableKeepAlive();
        if (!m_sendStarted && (m_cancelled || m_clock.now() > m_request.sendBy))
            co_return makeResult(TransportOutcome::NotSent, "cancelled or past the send deadline");
        const bool written = co_await write();
        if (!written)
            co_return makeResult(
                m_cancelled ? TransportOutcome::Cancelled : TransportOutcome::ConnectionLost, "cannot write");
        if (m_cancelled)
            co_return makeResult(TransportOutcome::Cancelled, "cancelled");
        auto result = co_await read();
        co_return result;
    }

    /// Like `attempt`; an exception ends the call.
    net::awaitable<CallResult> PooledCall::attemptSafely()
    {
        try {
            auto result = co_await attempt();
            co_return result;
        } catch (const std::exception& error) {
            m_state->reportError(error);
            co_return makeResult(
                m_writeStarted ? TransportOutcome::ConnectionLost : TransportOutcome::NotSent, error.what());
        }
    }

    net::awaitable<void> PooledCall::run()
    {
        auto result = co_await attemptSafely();
        const bool stale = m_reused && !m_responseStarted && result.outcome == TransportOutcome::ConnectionLost
            && !m_writeIncomplete;
        if (stale && !m_cancelled) {
            m_stream.reset();
            m_reused = false;
            result = co_await attemptSafely();
        }
        const bool unresponsive = !m_responseStarted && m_sendStarted
            && (result.outcome == TransportOutcome::TimedOut || result.outcome == TransportOutcome::Cancelled);
        if (stale || unresponsive)
            m_state->idlePool.closeAll(m_request.server);
        if (m_stream && !m_sendsRest)
            m_stream->close();
        m_memory.reset();
        const auto callbacks = std::move(m_callbacks);
        try {
            callbacks.onDone(std::move(result));
        } catch (const std::exception& error) {
            m_state->reportError(error);
        }
        if (!m_sendsRest)
            co_return;
        co_await sendRest();
        m_stream->close();
    }

    class PooledClient final : public Client {
    public:
        PooledClient(IoPool& pool, const Clock& clock, const ClientOptions& options)
            : m_context(pool.context())
            , m_clock(clock)
            , m_identifyRequests(options.identifyRequests)
            , m_state(std::make_shared<ClientState>(options, pool.errorHandler()))
        {
        }

        std::shared_ptr<Call> start(CallRequest request, CallCallbacks callbacks) override
        {
            const bool canReuse = request.idempotent && !request.newConnection;
            auto stream = canReuse ? m_state->idlePool.acquire(request.server, m_clock.now()) : nullptr;
            net::any_io_executor strand
                = stream ? stream->get_executor() : net::any_io_executor(net::make_strand(m_context));
            auto call = std::make_shared<PooledCall>(std::move(strand), std::move(stream), m_state, m_clock,
                std::move(request), std::move(callbacks),
                canReuse && m_identifyRequests ? std::to_string(++m_lastId) : std::string());
            // Posted so that no callback runs inside `start`.
            net::post(call->executor(), [call] {
                net::co_spawn(
                    call->executor(), [call]() -> net::awaitable<void> { co_await call->run(); }, net::detached);
            });
            return call;
        }

    private:
        net::io_context& m_context;
        const Clock& m_clock;
        bool m_identifyRequests;
        std::atomic<std::uint64_t> m_lastId { 0 };
        std::shared_ptr<ClientState> m_state;
    };

} // namespace

std::unique_ptr<Client> Client::create(IoPool& pool, const Clock& clock, const ClientOptions& options)
{
    return std::make_unique<PooledClient>(pool, clock, options);
}

} // namespace foxtailwheel::http
