#include "foxtailwheel/http/Server.h"

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
#include <mutex>
#include <optional>

namespace foxtailwheel::http {

namespace net = boost::asio;
namespace beast = boost::beast;
using tcp = net::ip::tcp;

namespace {

    constexpr auto token = net::as_tuple(net::use_awaitable);
    constexpr int listenBacklog = 1024;

    /// Counts that outlive the server's connections.
    struct Counts {
        std::atomic<std::size_t> inProgress { 0 };
        std::atomic<std::size_t> connections { 0 };
        std::atomic<bool> closing { false };
        std::atomic<bool> closingAnswers { false };
    };

    /// Limits as they stand now, shared by the connections.
    class LimitsNow {
    public:
        explicit LimitsNow(const ServerLimits& limits)
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

    enum class PartKind { Whole, Head, Chunk, End, Abort };

    struct Part {
        PartKind kind = PartKind::Whole;
        Response response;
        std::string chunk;
    };

    /// One request with the parts of its response on their way from any thread to the connection's coroutine.
    class Exchange final : public Responder, public std::enable_shared_from_this<Exchange> {
    public:
        Exchange(const net::any_io_executor& executor, std::size_t maxUnread)
            : m_wake(executor, net::steady_timer::time_point::max())
            , m_maxUnread(maxUnread)
        {
        }

        void respond(Response response) override { push({ PartKind::Whole, std::move(response), {} }); }
        void beginStream(Response head) override { push({ PartKind::Head, std::move(head), {} }); }
        bool write(std::string chunk) override { return push({ PartKind::Chunk, {}, std::move(chunk) }); }
        void endStream() override { push({ PartKind::End, {}, {} }); }
        void abort() override { push({ PartKind::Abort, {}, {} }); }
        void onGone(std::function<void()> work) override;

        /// Waits for the next part; runs on the connection's strand.
        net::awaitable<Part> next();
        /// The peer is gone: drops what is queued and tells the handler.
        void leave();

    private:
        bool push(Part part);

        mutable std::mutex m_mutex;
        std::deque<Part> m_parts;
        std::size_t m_unread = 0;
        bool m_gone = false;
        bool m_ended = false;
        std::function<void()> m_onGone;
        net::steady_timer m_wake;
        std::size_t m_maxUnread;
    };

    bool Exchange::push(Part part)
    {
        {
            const std::lock_guard lock(m_mutex);
            if (m_gone || m_ended)
                return false;
            m_unread += part.chunk.size();
            if (m_unread > m_maxUnread)
                part = { PartKind::Abort, {}, {} };
            m_ended = part.kind != PartKind::Head && part.kind != PartKind::Chunk;
            m_parts.push_back(std::move(part));
        }
        net::post(m_wake.get_executor(), [self = shared_from_this()] { self->m_wake.cancel(); });
        const std::lock_guard lock(m_mutex);
        return m_unread <= m_maxUnread;
    }

    void Exchange::onGone(std::function<void()> work)
    {
        {
            const std::lock_guard lock(m_mutex);
            if (!m_gone) {
                m_onGone = std::move(work);
                return;
            }
        }
        work();
    }

    void Exchange::leave()
    {
        std::function<void()> work;
        {
            const std::lock_guard lock(m_mutex);
            if (m_gone)
                return;
            m_gone = true;
            if (!m_ended)
                work = std::move(m_onGone);
            m_onGone = nullptr;
            m_parts.clear();
        }
        m_wake.cancel();
        if (work)
            work();
    }

    net::awaitable<Part> Exchange::next()
    {
        for (;;) {
            {
                const std::lock_guard lock(m_mutex);
                if (!m_parts.empty()) {
                    auto part = std::move(m_parts.front());
                    m_parts.pop_front();
                    m_unread -= part.chunk.size();
                    co_return part;
                }
                if (m_gone)
                    co_return Part { PartKind::Abort, {}, {} };
            }
            m_wake.expires_at(net::steady_timer::time_point::max());
            co_await m_wake.async_wait(token);
        }
    }

    Response plainError(unsigned status, const std::string& code)
    {
        return { status, { { "Content-Type", "application/json" } },
            "{\"outcome\":\"not_run\",\"reason\":\"" + code + "\"}" };
    }

    struct FramingFault {
        unsigned status = 400;
        std::string code;
    };

    /// Finds what would let two readers of a request disagree about its end or its host (RFC 9112).
    std::optional<FramingFault> framingFault(const beast::http::request<beast::http::string_body>& message)
    {
        namespace bhttp = beast::http;
        if (message.version() >= 11 && message.count(bhttp::field::host) != 1)
            return FramingFault { 400, "host_missing_or_repeated" };
        const auto codings = message.count(bhttp::field::transfer_encoding);
        if (codings > 0 && message.count(bhttp::field::content_length) > 0)
            return FramingFault { 400, "length_and_transfer_encoding" };
        if (codings > 1 || (codings == 1 && !beast::iequals(message[bhttp::field::transfer_encoding], "chunked")))
            return FramingFault { message.chunked() ? 501U : 400U, "unknown_transfer_encoding" };
        return std::nullopt;
    }

    /// One connection of a caller.
    class Connection : public std::enable_shared_from_this<Connection> {
    public:
        Connection(tcp::socket socket, const ServerOptions& options, std::shared_ptr<const LimitsNow> limits,
            Handler handler, std::shared_ptr<Counts> counts)
            : m_stream(std::move(socket))
            , m_timer(m_stream.get_executor())
            , m_options(options)
            , m_limitsNow(std::move(limits))
            , m_handler(std::move(handler))
            , m_counts(std::move(counts))
        {
            ++m_counts->connections;
        }
        ~Connection() { --m_counts->connections; }
        Connection(const Connection&) = delete;
        Connection& operator=(const Connection&) = delete;

        net::awaitable<void> serve();

    private:
        net::awaitable<std::optional<Request>> readRequest(bool& keepAlive, bool first);
        net::awaitable<bool> sendWhole(Response response, bool keepAlive);
        net::awaitable<bool> sendHead(Response response, bool keepAlive);
        net::awaitable<bool> sendChunk(std::string chunk);
        net::awaitable<bool> sendEnd();
        net::awaitable<bool> answer(const std::shared_ptr<Exchange>& exchange, bool keepAlive);
        net::awaitable<void> refuse(const boost::system::error_code& ec, bool headerRead);
        void watch();
        void limit(Duration timeout);
        void endLimit();

        beast::tcp_stream m_stream;
        net::steady_timer m_timer; ///< Of a read; the stream's own would close the connection before an error is sent.
        bool m_tooSlow = false;
        std::uint64_t m_limits = 0;
        beast::flat_buffer m_buffer;
        const ServerOptions& m_options;
        std::shared_ptr<const LimitsNow> m_limitsNow;
        Handler m_handler;
        std::shared_ptr<Counts> m_counts;
        std::weak_ptr<Exchange> m_current;
        bool m_watching = false;
    };

    /// Notices a peer that closes while its request is being worked on.
    void Connection::watch()
    {
        if (m_watching)
            return;
        m_watching = true;
        m_stream.socket().async_wait(
            tcp::socket::wait_read, [self = shared_from_this()](const boost::system::error_code& ec) {
                self->m_watching = false;
                const auto exchange = self->m_current.lock();
                if (ec || !exchange)
                    return;
                char byte = 0;
                boost::system::error_code peeked;
                self->m_stream.socket().non_blocking(true, peeked);
                const auto n
                    = self->m_stream.socket().receive(net::buffer(&byte, 1), tcp::socket::message_peek, peeked);
                if (peeked == net::error::would_block)
                    self->watch();
                else if (n == 0 || peeked)
                    exchange->leave();
            });
    }

    /// Bounds the read that comes next.
    void Connection::limit(Duration timeout)
    {
        m_stream.expires_never();
        m_tooSlow = false;
        m_timer.expires_after(timeout);
        m_timer.async_wait([self = shared_from_this(), n = ++m_limits](const boost::system::error_code& ec) {
            if (ec || n != self->m_limits)
                return;
            self->m_tooSlow = true;
            self->m_stream.cancel();
        });
    }

    /// Ends the bound; one that is due at this moment no longer counts.
    void Connection::endLimit()
    {
        ++m_limits;
        m_timer.cancel();
    }

    net::awaitable<void> Connection::refuse(const boost::system::error_code& ec, bool headerRead)
    {
        namespace bhttp = beast::http;
        endLimit();
        if (ec == bhttp::error::end_of_stream || ec == net::error::connection_reset)
            co_return;
        if (ec == net::error::operation_aborted && !m_tooSlow)
            co_return;
        Response response = plainError(400, "malformed_http");
        if (ec == bhttp::error::body_limit)
            response = plainError(413, "body_too_large");
        else if (ec == bhttp::error::header_limit)
            response = plainError(431, "header_too_large");
        else if (m_tooSlow && !headerRead && m_buffer.size() == 0)
            co_return;
        else if (m_tooSlow)
            response = plainError(408, "too_slow");
        co_await sendWhole(std::move(response), false);
    }

    net::awaitable<std::optional<Request>> Connection::readRequest(bool& keepAlive, bool first)
    {
        namespace bhttp = beast::http;
        bhttp::request_parser<bhttp::string_body> parser;
        const auto limits = m_limitsNow->get();
        parser.header_limit(limits.maxHeaderBytes);
        parser.body_limit(limits.maxBodyBytes);
        limit(first ? limits.headerTimeout : limits.idleTimeout);
        auto [headerError, headerBytes] = co_await bhttp::async_read_header(m_stream, m_buffer, parser, token);
        if (headerError) {
            co_await refuse(headerError, false);
            co_return std::nullopt;
        }
        if (const auto fault = framingFault(parser.get())) {
            endLimit();
            co_await sendWhole(plainError(fault->status, fault->code), false);
            co_return std::nullopt;
        }
        limit(limits.bodyTimeout);
        auto [bodyError, bodyBytes] = co_await bhttp::async_read(m_stream, m_buffer, parser, token);
        if (bodyError) {
            co_await refuse(bodyError, true);
            co_return std::nullopt;
        }
        endLimit();
        auto message = parser.release();
        keepAlive = message.keep_alive();
        Request request { std::string(message.method_string()), std::string(message.target()), {},
            std::move(message.body()) };
        for (const auto& it : message)
            request.headers.push_back({ std::string(it.name_string()), std::string(it.value()) });
        co_return request;
    }

    net::awaitable<bool> Connection::sendWhole(Response response, bool keepAlive)
    {
        namespace bhttp = beast::http;
        bhttp::response<bhttp::string_body> message { static_cast<bhttp::status>(response.status), 11 };
        for (const auto& it : response.headers)
            message.insert(it.name, it.value);
        message.keep_alive(keepAlive);
        message.body() = std::move(response.body);
        message.prepare_payload();
        m_stream.expires_after(m_options.writeTimeout);
        auto [ec, n] = co_await bhttp::async_write(m_stream, message, token);
        co_return !ec;
    }

    net::awaitable<bool> Connection::sendHead(Response response, bool keepAlive)
    {
        namespace bhttp = beast::http;
        bhttp::response<bhttp::empty_body> message { static_cast<bhttp::status>(response.status), 11 };
        for (const auto& it : response.headers)
            message.insert(it.name, it.value);
        message.keep_alive(keepAlive);
        message.chunked(true);
        bhttp::response_serializer<bhttp::empty_body> serializer(message);
        m_stream.expires_after(m_options.writeTimeout);
        auto [ec, n] = co_await bhttp::async_write_header(m_stream, serializer, token);
        co_return !ec;
    }

    net::awaitable<bool> Connection::sendChunk(std::string chunk)
    {
        m_stream.expires_after(m_options.writeTimeout);
        auto [ec, n] = co_await net::async_write(m_stream, beast::http::make_chunk(net::buffer(chunk)), token);
        co_return !ec;
    }

    net::awaitable<bool> Connection::sendEnd()
    {
        m_stream.expires_after(m_options.writeTimeout);
        auto [ec, n] = co_await net::async_write(m_stream, beast::http::make_chunk_last(), token);
        co_return !ec;
    }

    net::awaitable<bool> Connection::answer(const std::shared_ptr<Exchange>& exchange, bool keepAlive)
    {
        bool usable = true;
        while (usable) {
            m_stream.expires_never();
            auto part = co_await exchange->next();
            switch (part.kind) {
            case PartKind::Whole:
                keepAlive = keepAlive && !m_counts->closing && !m_counts->closingAnswers;
                usable = co_await sendWhole(std::move(part.response), keepAlive);
                co_return usable&& keepAlive;
            case PartKind::Head:
                keepAlive = keepAlive && !m_counts->closing && !m_counts->closingAnswers;
                usable = co_await sendHead(std::move(part.response), keepAlive);
                break;
            case PartKind::Chunk:
                usable = co_await sendChunk(std::move(part.chunk));
                break;
            case PartKind::End:
                usable = co_await sendEnd();
                co_return usable&& keepAlive;
            case PartKind::Abort:
                co_return false;
            }
        }
        co_return false;
    }

    net::awaitable<void> Connection::serve()
    {
        boost::system::error_code ignored;
        m_stream.socket().set_option(tcp::no_delay(true), ignored);
        bool usable = true;
        for (bool first = true; usable && !(m_counts->closing && !first); first = false) {
            bool keepAlive = true;
            auto request = co_await readRequest(keepAlive, first);
            if (!request)
                break;
            ++m_counts->inProgress;
            auto exchange = std::make_shared<Exchange>(m_stream.get_executor(), m_options.maxUnreadBytes);
            m_current = exchange;
            watch();
            m_handler(std::move(*request), exchange);
            usable = co_await answer(exchange, keepAlive);
            m_current.reset();
            exchange->leave();
            --m_counts->inProgress;
        }
        m_stream.socket().shutdown(tcp::socket::shutdown_both, ignored);
        m_stream.close();
    }

} // namespace

struct Server::Impl : std::enable_shared_from_this<Server::Impl> {
    Impl(net::io_context& ioContext, ServerOptions o, Handler h)
        : context(ioContext)
        , acceptor(net::make_strand(ioContext))
        , options(std::move(o))
        , limits(std::make_shared<LimitsNow>(options))
        , handler(std::move(h))
    {
    }

    boost::system::error_code open();
    net::awaitable<void> acceptAll();

    net::io_context& context;
    tcp::acceptor acceptor;
    ServerOptions options;
    std::shared_ptr<LimitsNow> limits;
    Handler handler;
    std::shared_ptr<Counts> counts = std::make_shared<Counts>();
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

net::awaitable<void> Server::Impl::acceptAll()
{
    while (!counts->closing) {
        auto [ec, socket] = co_await acceptor.async_accept(net::make_strand(context), token);
        if (ec == net::error::operation_aborted || ec == net::error::bad_descriptor)
            co_return;
        if (ec || counts->connections >= options.maxConnections)
            continue;
        const auto executor = socket.get_executor();
        auto connection = std::make_shared<Connection>(std::move(socket), options, limits, handler, counts);
        // The options live in this object, which each connection keeps alive.
        net::co_spawn(
            executor,
            [connection, self = shared_from_this()]() -> net::awaitable<void> { co_await connection->serve(); },
            net::detached);
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
    auto impl = std::make_shared<Impl>(pool.context(), std::move(options), std::move(handler));
    if (const auto ec = impl->open())
        return fail(Errc::Unreachable, "cannot listen on " + impl->options.listen.toString() + ": " + ec.message());
    net::co_spawn(
        impl->acceptor.get_executor(), [impl]() -> net::awaitable<void> { co_await impl->acceptAll(); }, net::detached);
    return std::unique_ptr<Server>(new Server(pool.sharedContext(), std::move(impl)));
}

std::uint16_t Server::port() const
{
    boost::system::error_code ec;
    return m_impl->acceptor.local_endpoint(ec).port();
}

void Server::stopAccepting()
{
    m_impl->counts->closing = true;
    net::post(m_impl->acceptor.get_executor(), [impl = m_impl] {
        boost::system::error_code ec;
        impl->acceptor.close(ec);
    });
}

void Server::closeAfterAnswers()
{
    m_impl->counts->closingAnswers = true;
}

void Server::setLimits(const ServerLimits& limits)
{
    m_impl->limits->set(limits);
}

std::size_t Server::inProgress() const
{
    return m_impl->counts->inProgress;
}

std::size_t Server::connections() const
{
    return m_impl->counts->connections;
}

} // namespace foxtailwheel::http
