#include "foxtailwheel/http/Client.h"

#include <atomic>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>
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

    constexpr auto token = net::as_tuple(net::use_awaitable);
    constexpr std::uint64_t largestAnswerBytes = 64U << 20U;
    constexpr std::size_t chunkBytes = 16U << 10U;
    constexpr std::size_t mostIdlePerServer = 64;
    constexpr Duration longestIdle = 10s;
    constexpr Duration connectLimit = 500ms;
    /// Requests up to this size fit the socket's buffer and are written before the answer is awaited.
    constexpr std::size_t smallRequestBytes = 8U << 10U;
    /// A peer that went silent is found after about three seconds.
    constexpr int probeIdleSeconds = 1;
    constexpr int probeIntervalSeconds = 1;
    constexpr int probeCount = 2;

    using Stream = beast::tcp_stream;

    /// Connections that wait for their next call.
    class IdlePool {
    public:
        std::unique_ptr<Stream> take(const config::Endpoint& server, TimePoint now);
        void give(const config::Endpoint& server, std::unique_ptr<Stream> stream, TimePoint now);
        /// Drops all idle connections to a server: one of them went silent.
        void drop(const config::Endpoint& server);

    private:
        struct Idle {
            std::unique_ptr<Stream> stream;
            TimePoint since;
        };

        static bool stillOpen(Stream& stream);

        std::mutex m_mutex;
        std::map<config::Endpoint, std::vector<Idle>> m_idle;
    };

    bool IdlePool::stillOpen(Stream& stream)
    {
        char byte = 0;
        boost::system::error_code ec;
        stream.socket().non_blocking(true, ec);
        stream.socket().receive(net::buffer(&byte, 1), tcp::socket::message_peek, ec);
        return ec == net::error::would_block;
    }

    std::unique_ptr<Stream> IdlePool::take(const config::Endpoint& server, TimePoint now)
    {
        const std::lock_guard lock(m_mutex);
        auto& idle = m_idle[server];
        while (!idle.empty()) {
            auto last = std::move(idle.back());
            idle.pop_back();
            if (now - last.since < longestIdle && stillOpen(*last.stream))
                return std::move(last.stream);
        }
        return nullptr;
    }

    void IdlePool::give(const config::Endpoint& server, std::unique_ptr<Stream> stream, TimePoint now)
    {
        const std::lock_guard lock(m_mutex);
        auto& idle = m_idle[server];
        if (idle.size() < mostIdlePerServer)
            idle.push_back({ std::move(stream), now });
    }

    void IdlePool::drop(const config::Endpoint& server)
    {
        const std::lock_guard lock(m_mutex);
        m_idle.erase(server);
    }

    /// One call, run by a coroutine on a strand of its own.
    class PooledCall final : public Call, public std::enable_shared_from_this<PooledCall> {
    public:
        /// @param strand Runs the call; the one of `stream` where a connection is reused.
        PooledCall(net::any_io_executor strand, std::unique_ptr<Stream> stream, std::shared_ptr<IdlePool> pool,
            const Clock& clock, CallRequest request, CallEvents events)
            : m_strand(std::move(strand))
            , m_pool(std::move(pool))
            , m_clock(clock)
            , m_request(std::move(request))
            , m_events(std::move(events))
            , m_stream(std::move(stream))
            , m_reused(m_stream != nullptr)
        {
        }

        void cancel() override;
        net::awaitable<void> run();
        net::any_io_executor executor() const { return m_strand; }

    private:
        net::awaitable<bool> connect();
        net::awaitable<CallResult> attempt();
        net::awaitable<bool> write();
        net::awaitable<void> writeAside();
        net::awaitable<CallResult> read();
        void setProbes();
        net::awaitable<boost::system::error_code> readBody(
            bhttp::response_parser<bhttp::buffer_body>& parser, std::string& body);
        CallResult ended(CallEnd end, std::string detail) const { return { end, {}, std::move(detail) }; }
        CallResult failed(const boost::system::error_code& ec) const;
        void setExpiry(TimePoint at);

        net::any_io_executor m_strand;
        std::shared_ptr<IdlePool> m_pool;
        const Clock& m_clock;
        CallRequest m_request;
        CallEvents m_events;
        std::unique_ptr<Stream> m_stream;
        beast::flat_buffer m_buffer;
        std::atomic<bool> m_cancelled { false };
        bhttp::request<bhttp::string_body> m_message;
        bool m_writing = false;
        bool m_sent = false;
        bool m_reused = false;
        bool m_gotBytes = false;
    };

    void PooledCall::cancel()
    {
        m_cancelled = true;
        net::post(m_strand, [self = shared_from_this()] {
            if (self->m_stream)
                self->m_stream->cancel();
        });
    }

    void PooledCall::setExpiry(TimePoint at)
    {
        m_stream->expires_after(std::max<Duration>(at - m_clock.now(), Duration {}));
    }

    CallResult PooledCall::failed(const boost::system::error_code& ec) const
    {
        if (m_cancelled)
            return ended(CallEnd::Cancelled, "cancelled");
        if (ec == beast::error::timeout)
            return ended(CallEnd::TimedOut, "timed out");
        return ended(CallEnd::Broken, ec.message());
    }

    net::awaitable<bool> PooledCall::connect()
    {
        boost::system::error_code ec;
        const auto address = net::ip::make_address(m_request.server.host, ec);
        if (ec)
            co_return false;
        m_stream = std::make_unique<Stream>(m_strand);
        setExpiry(std::min(m_request.sendBy, m_clock.now() + connectLimit));
        auto [connectError] = co_await m_stream->async_connect(tcp::endpoint(address, m_request.server.port), token);
        if (connectError)
            co_return false;
        m_stream->socket().set_option(tcp::no_delay(true), ec);
        if (m_request.probes)
            setProbes();
        co_return true;
    }

    void PooledCall::setProbes()
    {
        boost::system::error_code ignored;
        m_stream->socket().set_option(net::socket_base::keep_alive(true), ignored);
        const auto handle = m_stream->socket().native_handle();
        setsockopt(handle, IPPROTO_TCP, TCP_KEEPIDLE, &probeIdleSeconds, sizeof probeIdleSeconds);
        setsockopt(handle, IPPROTO_TCP, TCP_KEEPINTVL, &probeIntervalSeconds, sizeof probeIntervalSeconds);
        setsockopt(handle, IPPROTO_TCP, TCP_KEEPCNT, &probeCount, sizeof probeCount);
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
        m_message.keep_alive(true);
        m_message.body() = request.body;
        m_message.prepare_payload();
        if (!m_sent && m_events.onFirstByte)
            m_events.onFirstByte();
        m_sent = true;
        setExpiry(m_request.deadline);
        if (request.body.size() > smallRequestBytes) {
            m_writing = true;
            net::co_spawn(
                m_strand, [self = shared_from_this()]() -> net::awaitable<void> { co_await self->writeAside(); },
                net::detached);
            co_return true;
        }
        auto [ec, n] = co_await bhttp::async_write(*m_stream, m_message, token);
        co_return !ec;
    }

    /// Writes while the answer is awaited: a server may answer before it has read the whole request.
    net::awaitable<void> PooledCall::writeAside()
    {
        auto* stream = m_stream.get();
        auto [ec, n] = co_await bhttp::async_write(*stream, m_message, token);
        m_writing = static_cast<bool>(ec);
    }

    net::awaitable<boost::system::error_code> PooledCall::readBody(
        bhttp::response_parser<bhttp::buffer_body>& parser, std::string& body)
    {
        std::string chunk(chunkBytes, '\0');
        const bool handsOn = m_events.onData && parser.get().result_int() == 200;
        while (!parser.is_done()) {
            parser.get().body().data = chunk.data();
            parser.get().body().size = chunk.size();
            auto [ec, n] = co_await bhttp::async_read_some(*m_stream, m_buffer, parser, token);
            const std::string_view got(chunk.data(), chunk.size() - parser.get().body().size);
            if (handsOn && !got.empty())
                m_events.onData(got);
            else
                body.append(got);
            if (ec && ec != bhttp::error::need_buffer)
                co_return ec;
        }
        co_return boost::system::error_code();
    }

    net::awaitable<CallResult> PooledCall::read()
    {
        bhttp::response_parser<bhttp::buffer_body> parser;
        parser.body_limit(largestAnswerBytes);
        auto [ec, n] = co_await bhttp::async_read_header(*m_stream, m_buffer, parser, token);
        m_gotBytes = n > 0;
        if (ec)
            co_return failed(ec);
        CallResult result { CallEnd::Complete, {}, {} };
        result.response.status = parser.get().result_int();
        for (const auto& it : parser.get())
            result.response.headers.push_back({ std::string(it.name_string()), std::string(it.value()) });
        if (m_events.onHead)
            m_events.onHead(result.response);
        const auto bodyError = co_await readBody(parser, result.response.body);
        if (bodyError)
            co_return failed(bodyError);
        if (parser.keep_alive() && m_buffer.size() == 0 && !m_cancelled && !m_writing && !m_request.newConnection) {
            m_stream->expires_never();
            m_pool->give(m_request.server, std::move(m_stream), m_clock.now());
        }
        co_return result;
    }

    net::awaitable<CallResult> PooledCall::attempt()
    {
        m_buffer.clear();
        if (!m_stream) {
            const bool connected = co_await connect();
            if (!connected)
                co_return ended(m_sent ? CallEnd::Broken : CallEnd::NotSent, "cannot connect");
        }
        if (!m_sent && (m_cancelled || m_clock.now() > m_request.sendBy))
            co_return ended(CallEnd::NotSent, "too late to send");
        const bool written = co_await write();
        if (!written)
            co_return ended(m_cancelled ? CallEnd::Cancelled : CallEnd::Broken, "cannot write");
        auto result = co_await read();
        co_return result;
    }

    net::awaitable<void> PooledCall::run()
    {
        auto result = co_await attempt();
        const bool stale = m_reused && !m_gotBytes && result.end == CallEnd::Broken && !m_writing;
        if (stale) {
            m_stream.reset();
            result = co_await attempt();
        }
        const bool silent
            = !m_gotBytes && m_sent && (result.end == CallEnd::TimedOut || result.end == CallEnd::Cancelled);
        if (stale || silent)
            m_pool->drop(m_request.server);
        if (m_stream)
            m_stream->close();
        const auto events = std::move(m_events);
        events.onDone(std::move(result));
    }

    class PooledClient final : public Client {
    public:
        PooledClient(IoPool& pool, const Clock& clock)
            : m_context(pool.context())
            , m_clock(clock)
        {
        }

        std::shared_ptr<Call> start(CallRequest request, CallEvents events) override
        {
            const bool reuses = request.idempotent && !request.newConnection;
            auto stream = reuses ? m_idle->take(request.server, m_clock.now()) : nullptr;
            net::any_io_executor strand
                = stream ? stream->get_executor() : net::any_io_executor(net::make_strand(m_context));
            auto call = std::make_shared<PooledCall>(
                std::move(strand), std::move(stream), m_idle, m_clock, std::move(request), std::move(events));
            // Posted, so that no event runs inside `start`.
            net::post(call->executor(), [call] {
                net::co_spawn(
                    call->executor(), [call]() -> net::awaitable<void> { co_await call->run(); }, net::detached);
            });
            return call;
        }

    private:
        net::io_context& m_context;
        const Clock& m_clock;
        std::shared_ptr<IdlePool> m_idle = std::make_shared<IdlePool>();
    };

} // namespace

std::unique_ptr<Client> Client::create(IoPool& pool, const Clock& clock)
{
    return std::make_unique<PooledClient>(pool, clock);
}

} // namespace foxtailwheel::http
