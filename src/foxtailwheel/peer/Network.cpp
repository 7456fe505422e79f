#include "foxtailwheel/peer/Network.h"

#include "foxtailwheel/peer/Handshake.h"

#include <atomic>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <deque>
#include <map>
#include <mutex>
#include <netinet/tcp.h>
#include <optional>

namespace foxtailwheel::peer {

namespace net = boost::asio;
namespace beast = boost::beast;
using tcp = net::ip::tcp;

namespace {

    using namespace std::chrono_literals;

    constexpr auto token = net::as_tuple(net::use_awaitable);
    constexpr Duration connectTimeout = 500ms;
    constexpr Duration handshakeTimeout = 2s;
    constexpr Duration writeTimeout = 3s;
    /// Bytes that stay unacknowledged this long break the connection: the other end has gone silent.
    constexpr unsigned unacknowledgedMilliseconds = 1000;
    constexpr Duration readIdleTimeout = 60s;
    constexpr Duration longestIdle = 30s;
    constexpr std::size_t mostQueuedBytes = 16U << 20U;
    constexpr std::size_t mostIncoming = 4096;
    constexpr std::size_t lengthBytes = 4;

    struct Counters {
        std::array<std::atomic<std::uint64_t>, 5> refused {};
        std::atomic<std::uint64_t> sentFrames { 0 };
        std::atomic<std::uint64_t> sentBytes { 0 };
        std::atomic<std::uint64_t> receivedFrames { 0 };
        std::atomic<std::uint64_t> droppedFrames { 0 };
        std::atomic<std::size_t> incoming { 0 };
        std::atomic<bool> closing { false };

        void refuse(Refusal refusal) { ++refused.at(static_cast<std::size_t>(refusal)); }
    };

    std::string frameOf(const std::string& body)
    {
        std::string frame;
        for (std::size_t i = 0; i < lengthBytes; ++i)
            frame.push_back(static_cast<char>(body.size() >> (8 * i)));
        return frame + body;
    }

    std::size_t lengthOf(const std::array<std::uint8_t, lengthBytes>& bytes)
    {
        std::size_t n = 0;
        for (std::size_t i = 0; i < lengthBytes; ++i)
            n |= static_cast<std::size_t>(bytes.at(i)) << (8 * i);
        return n;
    }

    /// Frames go one way, so anything to read is the connection's end.
    bool stillOpen(tcp::socket& socket)
    {
        char byte = 0;
        boost::system::error_code ec;
        socket.non_blocking(true, ec);
        socket.receive(net::buffer(&byte, 1), tcp::socket::message_peek, ec);
        return ec == net::error::would_block;
    }

    /// Frames on their way to one peer, over one connection that is made anew when it breaks.
    class Outgoing : public std::enable_shared_from_this<Outgoing> {
    public:
        Outgoing(net::io_context& context, config::Endpoint to, std::string key, std::shared_ptr<Counters> counters,
            Network::Closed closed)
            : m_closed(std::move(closed))
            , m_strand(net::make_strand(context))
            , m_to(std::move(to))
            , m_key(std::move(key))
            , m_counters(std::move(counters))
        {
        }

        void send(std::string frame);
        void close();

    private:
        net::awaitable<void> drain();
        net::awaitable<bool> connect();
        net::awaitable<bool> shakeHands();
        void watch();

        Network::Closed m_closed;
        net::strand<net::io_context::executor_type> m_strand;
        config::Endpoint m_to;
        std::string m_key;
        std::shared_ptr<Counters> m_counters;
        std::unique_ptr<beast::tcp_stream> m_stream;
        std::deque<std::string> m_queue;
        std::size_t m_queuedBytes = 0;
        bool m_draining = false;
        std::chrono::steady_clock::time_point m_usedAt {};
    };

    void Outgoing::send(std::string frame)
    {
        net::post(m_strand, [self = shared_from_this(), frame = std::move(frame)]() mutable {
            if (self->m_queuedBytes + frame.size() > mostQueuedBytes || self->m_counters->closing) {
                ++self->m_counters->droppedFrames;
                return;
            }
            self->m_queuedBytes += frame.size();
            self->m_queue.push_back(std::move(frame));
            if (std::exchange(self->m_draining, true))
                return;
            net::co_spawn(
                self->m_strand, [self]() -> net::awaitable<void> { co_await self->drain(); }, net::detached);
        });
    }

    void Outgoing::close()
    {
        net::post(m_strand, [self = shared_from_this()] {
            if (self->m_stream)
                self->m_stream->close();
        });
    }

    net::awaitable<bool> Outgoing::connect()
    {
        boost::system::error_code ec;
        const auto address = net::ip::make_address(m_to.host, ec);
        if (ec)
            co_return false;
        m_stream = std::make_unique<beast::tcp_stream>(m_strand);
        m_stream->expires_after(connectTimeout);
        auto [connectError] = co_await m_stream->async_connect(tcp::endpoint(address, m_to.port), token);
        if (connectError)
            co_return false;
        m_stream->socket().set_option(tcp::no_delay(true), ec);
        setsockopt(m_stream->socket().native_handle(), IPPROTO_TCP, TCP_USER_TIMEOUT, &unacknowledgedMilliseconds,
            sizeof unacknowledgedMilliseconds);
        const bool proven = co_await shakeHands();
        if (proven)
            watch();
        co_return proven;
    }

    /// Tells when the other end closes the connection.
    void Outgoing::watch()
    {
        if (!m_closed)
            return;
        m_stream->socket().async_wait(tcp::socket::wait_read,
            [weak = weak_from_this(), stream = m_stream.get()](const boost::system::error_code& ec) {
                const auto self = weak.lock();
                if (!self || self->m_counters->closing || ec == net::error::operation_aborted
                    || self->m_stream.get() != stream)
                    return;
                self->m_closed(self->m_to);
            });
    }

    net::awaitable<bool> Outgoing::shakeHands()
    {
        const auto mine = freshNonce();
        std::array<std::uint8_t, greeting.size() + proofBytes> hello {};
        std::copy(greeting.begin(), greeting.end(), hello.begin());
        std::copy(mine.begin(), mine.end(), hello.begin() + greeting.size());
        m_stream->expires_after(handshakeTimeout);
        auto [helloError, helloBytes] = co_await net::async_write(*m_stream, net::buffer(hello), token);
        if (helloError)
            co_return false;
        std::array<std::uint8_t, 2 * proofBytes> answer {};
        auto [answerError, answerBytes] = co_await net::async_read(*m_stream, net::buffer(answer), token);
        if (answerError)
            co_return false;
        Nonce theirs {};
        Proof proof {};
        std::copy_n(answer.begin(), proofBytes, theirs.begin());
        std::copy_n(answer.begin() + proofBytes, proofBytes, proof.begin());
        if (!sameProof(proof, prove(m_key, "listener", theirs, mine))) {
            m_counters->refuse(Refusal::WrongKey);
            co_return false;
        }
        const auto own = prove(m_key, "connector", mine, theirs);
        auto [proofError, proofSent] = co_await net::async_write(*m_stream, net::buffer(own), token);
        co_return !proofError;
    }

    net::awaitable<void> Outgoing::drain()
    {
        while (!m_queue.empty()) {
            const auto now = std::chrono::steady_clock::now();
            // The other end closes an idle connection, and what is written after that is lost without an error.
            bool connected = m_stream != nullptr && stillOpen(m_stream->socket()) && now - m_usedAt < longestIdle;
            m_usedAt = now;
            if (!connected)
                connected = co_await connect();
            const auto frame = std::move(m_queue.front());
            m_queue.pop_front();
            m_queuedBytes -= frame.size();
            if (!connected) {
                m_stream.reset();
                ++m_counters->droppedFrames;
                continue;
            }
            m_stream->expires_after(writeTimeout);
            auto [ec, n] = co_await net::async_write(*m_stream, net::buffer(frame), token);
            m_stream->expires_never();
            if (ec) {
                m_stream.reset();
                ++m_counters->droppedFrames;
                continue;
            }
            ++m_counters->sentFrames;
            m_counters->sentBytes += frame.size();
        }
        m_draining = false;
    }

    /// One connection that a peer has made; frames only come in.
    class Incoming {
    public:
        Incoming(
            tcp::socket socket, const std::string& key, Network::Receive receive, std::shared_ptr<Counters> counters)
            : m_stream(std::move(socket))
            , m_key(key)
            , m_receive(std::move(receive))
            , m_counters(std::move(counters))
        {
            ++m_counters->incoming;
        }
        ~Incoming() { --m_counters->incoming; }
        Incoming(const Incoming&) = delete;
        Incoming& operator=(const Incoming&) = delete;

        net::awaitable<void> serve();

    private:
        net::awaitable<bool> shakeHands();
        net::awaitable<bool> readFrame();

        beast::tcp_stream m_stream;
        const std::string& m_key;
        Network::Receive m_receive;
        std::shared_ptr<Counters> m_counters;
    };

    net::awaitable<bool> Incoming::shakeHands()
    {
        m_stream.expires_after(handshakeTimeout);
        std::array<std::uint8_t, greeting.size() + proofBytes> hello {};
        auto [helloError, helloBytes] = co_await net::async_read(m_stream, net::buffer(hello), token);
        if (helloError)
            co_return false;
        if (!std::equal(greeting.begin(), greeting.end(), hello.begin())) {
            m_counters->refuse(Refusal::WrongProtocol);
            co_return false;
        }
        Nonce theirs {};
        std::copy_n(hello.begin() + greeting.size(), proofBytes, theirs.begin());
        const auto mine = freshNonce();
        const auto own = prove(m_key, "listener", mine, theirs);
        std::array<std::uint8_t, 2 * proofBytes> answer {};
        std::copy(mine.begin(), mine.end(), answer.begin());
        std::copy(own.begin(), own.end(), answer.begin() + proofBytes);
        auto [answerError, answerBytes] = co_await net::async_write(m_stream, net::buffer(answer), token);
        if (answerError)
            co_return false;
        Proof proof {};
        auto [proofError, proofRead] = co_await net::async_read(m_stream, net::buffer(proof), token);
        if (proofError)
            co_return false;
        const bool proven = sameProof(proof, prove(m_key, "connector", theirs, mine));
        if (!proven)
            m_counters->refuse(Refusal::WrongKey);
        co_return proven;
    }

    net::awaitable<bool> Incoming::readFrame()
    {
        m_stream.expires_after(readIdleTimeout);
        std::array<std::uint8_t, lengthBytes> length {};
        auto [lengthError, lengthRead] = co_await net::async_read(m_stream, net::buffer(length), token);
        if (lengthError) {
            if (lengthRead > 0)
                m_counters->refuse(Refusal::CutFrame);
            co_return false;
        }
        const auto n = lengthOf(length);
        if (n > largestMessageBytes) {
            m_counters->refuse(Refusal::OversizedFrame);
            co_return false;
        }
        std::vector<std::uint8_t> body(n);
        auto [bodyError, bodyRead] = co_await net::async_read(m_stream, net::buffer(body), token);
        if (bodyError) {
            m_counters->refuse(Refusal::CutFrame);
            co_return false;
        }
        auto message = decodeMessage(body);
        if (!message.has_value()) {
            m_counters->refuse(Refusal::GarbledFrame);
            co_return false;
        }
        ++m_counters->receivedFrames;
        m_receive(std::move(message).value());
        co_return true;
    }

    net::awaitable<void> Incoming::serve()
    {
        bool usable = co_await shakeHands();
        while (usable && !m_counters->closing)
            usable = co_await readFrame();
        m_stream.close();
    }

    class TcpNetwork final : public Network {
    public:
        TcpNetwork(net::io_context& context, std::string key, Receive receive, Closed closed)
            : m_context(context)
            , m_acceptor(net::make_strand(context))
            , m_key(std::move(key))
            , m_receive(std::move(receive))
            , m_closed(std::move(closed))
        {
        }

        boost::system::error_code open(const config::Endpoint& address);
        void send(const config::Endpoint& to, const Message& message) override;
        void close() override;
        NetworkCounts counts() const override;
        std::uint16_t port() const override;

    private:
        net::awaitable<void> acceptAll();

        net::io_context& m_context;
        tcp::acceptor m_acceptor;
        std::string m_key;
        Receive m_receive;
        Closed m_closed;
        std::shared_ptr<Counters> m_counters = std::make_shared<Counters>();
        std::mutex m_mutex;
        std::map<config::Endpoint, std::shared_ptr<Outgoing>> m_outgoing;
    };

    boost::system::error_code TcpNetwork::open(const config::Endpoint& address)
    {
        boost::system::error_code ec;
        const auto host = net::ip::make_address(address.host, ec);
        if (!ec)
            m_acceptor.open(tcp::v4(), ec);
        if (!ec)
            m_acceptor.set_option(tcp::acceptor::reuse_address(true), ec);
        if (!ec)
            m_acceptor.bind({ host, address.port }, ec);
        if (!ec)
            m_acceptor.listen(tcp::acceptor::max_listen_connections, ec);
        if (!ec)
            net::co_spawn(
                m_acceptor.get_executor(), [this]() -> net::awaitable<void> { co_await acceptAll(); }, net::detached);
        return ec;
    }

    net::awaitable<void> TcpNetwork::acceptAll()
    {
        while (!m_counters->closing) {
            auto [ec, socket] = co_await m_acceptor.async_accept(net::make_strand(m_context), token);
            if (ec == net::error::operation_aborted || ec == net::error::bad_descriptor)
                co_return;
            if (ec || m_counters->incoming >= mostIncoming)
                continue;
            const auto executor = socket.get_executor();
            auto incoming = std::make_shared<Incoming>(std::move(socket), m_key, m_receive, m_counters);
            net::co_spawn(
                executor, [incoming]() -> net::awaitable<void> { co_await incoming->serve(); }, net::detached);
        }
    }

    void TcpNetwork::send(const config::Endpoint& to, const Message& message)
    {
        std::shared_ptr<Outgoing> outgoing;
        {
            const std::lock_guard lock(m_mutex);
            auto& known = m_outgoing[to];
            if (!known)
                known = std::make_shared<Outgoing>(m_context, to, m_key, m_counters, m_closed);
            outgoing = known;
        }
        outgoing->send(frameOf(encodeMessage(message)));
    }

    void TcpNetwork::close()
    {
        m_counters->closing = true;
        net::post(m_acceptor.get_executor(), [this] {
            boost::system::error_code ec;
            m_acceptor.close(ec);
        });
        const std::lock_guard lock(m_mutex);
        for (const auto& it : m_outgoing)
            it.second->close();
    }

    NetworkCounts TcpNetwork::counts() const
    {
        NetworkCounts counts;
        for (std::size_t i = 0; i < counts.refused.size(); ++i)
            counts.refused.at(i) = m_counters->refused.at(i);
        counts.sentFrames = m_counters->sentFrames;
        counts.sentBytes = m_counters->sentBytes;
        counts.receivedFrames = m_counters->receivedFrames;
        counts.droppedFrames = m_counters->droppedFrames;
        return counts;
    }

    std::uint16_t TcpNetwork::port() const
    {
        boost::system::error_code ec;
        return m_acceptor.local_endpoint(ec).port();
    }

} // namespace

Result<std::unique_ptr<Network>> Network::listen(
    http::IoPool& pool, const config::Endpoint& address, std::string key, Receive receive, Closed closed)
{
    auto network = std::make_unique<TcpNetwork>(pool.context(), std::move(key), std::move(receive), std::move(closed));
    if (const auto ec = network->open(address))
        return fail(Errc::Unreachable, "cannot listen on " + address.toString() + ": " + ec.message());
    return std::unique_ptr<Network>(std::move(network));
}

} // namespace foxtailwheel::peer
