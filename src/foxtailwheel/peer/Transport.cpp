#include "foxtailwheel/peer/Transport.h"

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
#include <set>

namespace foxtailwheel::peer {

namespace net = boost::asio;
namespace beast = boost::beast;
using tcp = net::ip::tcp;

namespace {

    using namespace std::chrono_literals;

    constexpr auto completionToken = net::as_tuple(net::use_awaitable);
    constexpr Duration connectTimeout = 500ms;
    constexpr Duration handshakeTimeout = 2s;
    constexpr Duration writeTimeout = 3s;
    /// TCP_USER_TIMEOUT: the connection fails if sent data stays unacknowledged for this long.
    constexpr unsigned tcpUserTimeoutMilliseconds = 1000;
    constexpr Duration readIdleTimeout = 60s;
    constexpr Duration acceptRetryDelay = 50ms;
    constexpr Duration maxIdleTime = 30s;
    constexpr std::size_t maxQueuedBytes = 16U << 20U;
    constexpr std::size_t maxIncomingConnections = 4096;
    constexpr std::size_t lengthPrefixBytes = 4;

    struct Counters {
        std::array<std::atomic<std::uint64_t>, 5> refused {};
        std::atomic<std::uint64_t> sentFrames { 0 };
        std::atomic<std::uint64_t> sentBytes { 0 };
        std::atomic<std::uint64_t> receivedFrames { 0 };
        std::atomic<std::uint64_t> droppedFrames { 0 };
        std::atomic<std::size_t> incoming { 0 };
        std::atomic<bool> closing { false };

        void countRefusal(RefusalReason refusal) { ++refused.at(static_cast<std::size_t>(refusal)); }
    };

    /// Returns the address of the sender of a message; null if the message does not name it.
    const config::Endpoint* senderOf(const Message& message)
    {
        return std::visit(
            [](const auto& it) -> const config::Endpoint* {
                if constexpr (requires { it.sender.endpoint; })
                    return &it.sender.endpoint;
                else if constexpr (requires { it.digest.sender.endpoint; })
                    return &it.digest.sender.endpoint;
                else
                    return nullptr;
            },
            message);
    }

    /// Peers that have sent a message.
    class KnownSenders {
    public:
        /// Returns true if the peer was not known.
        bool add(const config::Endpoint& peer)
        {
            const std::lock_guard lock(m_mutex);
            return m_peers.insert(peer).second;
        }

    private:
        std::mutex m_mutex;
        std::set<config::Endpoint> m_peers;
    };

    std::string encodeFrame(const std::string& body)
    {
        std::string frame;
        for (std::size_t i = 0; i < lengthPrefixBytes; ++i)
            frame.push_back(static_cast<char>(body.size() >> (8 * i)));
        return frame + body;
    }

    std::size_t decodeLength(const std::array<std::uint8_t, lengthPrefixBytes>& bytes)
    {
        std::size_t n = 0;
        for (std::size_t i = 0; i < lengthPrefixBytes; ++i)
            n |= static_cast<std::size_t>(bytes.at(i)) << (8 * i);
        return n;
    }

    /// Peers never send frames on an outgoing connection, so a readable socket means that the connection has ended.
    bool isOpen(tcp::socket& socket)
    {
        char byte = 0;
        boost::system::error_code ec;
        socket.non_blocking(true, ec);
        socket.receive(net::buffer(&byte, 1), tcp::socket::message_peek, ec);
        return ec == net::error::would_block;
    }

    /// Queue of frames to one peer and the connection that carries them; reconnects after a failure.
    class OutgoingConnection : public std::enable_shared_from_this<OutgoingConnection> {
    public:
        OutgoingConnection(net::io_context& context, config::Endpoint to, std::string key,
            std::shared_ptr<Counters> counters, Transport::DisconnectHandler onDisconnect)
            : m_onDisconnect(std::move(onDisconnect))
            , m_strand(net::make_strand(context))
            , m_to(std::move(to))
            , m_key(std::move(key))
            , m_counters(std::move(counters))
        {
        }

        void send(std::string frame);
        void close();

    private:
        net::awaitable<void> writeQueuedFrames();
        net::awaitable<bool> connect();
        net::awaitable<bool> performHandshake();
        void watchForDisconnect();
        void reportLoss();

        Transport::DisconnectHandler m_onDisconnect;
        net::strand<net::io_context::executor_type> m_strand;
        config::Endpoint m_to;
        std::string m_key;
        std::shared_ptr<Counters> m_counters;
        std::unique_ptr<beast::tcp_stream> m_stream;
        std::deque<std::string> m_queue;
        std::size_t m_queuedBytes = 0;
        bool m_writing = false;
        bool m_lossReported = false;
        std::chrono::steady_clock::time_point m_lastUsedAt {};
    };

    void OutgoingConnection::send(std::string frame)
    {
        net::post(m_strand, [self = shared_from_this(), frame = std::move(frame)]() mutable {
            if (self->m_queuedBytes + frame.size() > maxQueuedBytes || self->m_counters->closing) {
                ++self->m_counters->droppedFrames;
                return;
            }
            self->m_queuedBytes += frame.size();
            self->m_queue.push_back(std::move(frame));
            if (std::exchange(self->m_writing, true))
                return;
            net::co_spawn(
                self->m_strand, [self]() -> net::awaitable<void> { co_await self->writeQueuedFrames(); },
                net::detached);
        });
    }

    void OutgoingConnection::close()
    {
        net::post(m_strand, [self = shared_from_this()] {
            if (self->m_stream)
                self->m_stream->close();
        });
    }

    net::awaitable<bool> OutgoingConnection::connect()
    {
        boost::system::error_code ec;
        const auto address = net::ip::make_address(m_to.host, ec);
        if (ec)
            co_return false;
        m_stream = std::make_unique<beast::tcp_stream>(m_strand);
        m_lossReported = false;
        m_stream->expires_after(connectTimeout);
        auto [connectError] = co_await m_stream->async_connect(tcp::endpoint(address, m_to.port), completionToken);
        if (connectError == net::error::connection_refused && m_onDisconnect && !m_counters->closing)
            m_onDisconnect(m_to, DisconnectReason::Refused);
        if (connectError)
            co_return false;
        m_stream->socket().set_option(tcp::no_delay(true), ec);
        setsockopt(m_stream->socket().native_handle(), IPPROTO_TCP, TCP_USER_TIMEOUT, &tcpUserTimeoutMilliseconds,
            sizeof tcpUserTimeoutMilliseconds);
        const bool authenticated = co_await performHandshake();
        if (authenticated)
            watchForDisconnect();
        co_return authenticated;
    }

    /// Calls the disconnect handler when the peer closes the connection.
    void OutgoingConnection::watchForDisconnect()
    {
        if (!m_onDisconnect)
            return;
        m_stream->socket().async_wait(tcp::socket::wait_read,
            [weak = weak_from_this(), stream = m_stream.get()](const boost::system::error_code& ec) {
                const auto self = weak.lock();
                if (!self || ec == net::error::operation_aborted || self->m_stream.get() != stream)
                    return;
                // Peers close connections that were idle for a while; no message can be lost then.
                const bool idle = std::chrono::steady_clock::now() - self->m_lastUsedAt >= maxIdleTime;
                // A write in progress fails and discards the stream.
                self->m_stream->close();
                if (!idle)
                    self->reportLoss();
            });
    }

    /// Reports the loss of an established connection, once.
    void OutgoingConnection::reportLoss()
    {
        if (m_onDisconnect && !m_counters->closing && !std::exchange(m_lossReported, true))
            m_onDisconnect(m_to, DisconnectReason::Lost);
    }

    net::awaitable<bool> OutgoingConnection::performHandshake()
    {
        const auto generated = generateNonce();
        if (!generated)
            co_return false;
        const auto& ownNonce = *generated;
        std::array<std::uint8_t, protocolMagic.size() + proofBytes> hello {};
        std::copy(protocolMagic.begin(), protocolMagic.end(), hello.begin());
        std::copy(ownNonce.begin(), ownNonce.end(), hello.begin() + protocolMagic.size());
        m_stream->expires_after(handshakeTimeout);
        auto [helloError, helloBytes] = co_await net::async_write(*m_stream, net::buffer(hello), completionToken);
        if (helloError)
            co_return false;
        std::array<std::uint8_t, 2 * proofBytes> response {};
        auto [responseError, responseBytes]
            = co_await net::async_read(*m_stream, net::buffer(response), completionToken);
        if (responseError)
            co_return false;
        Nonce peerNonce {};
        Proof peerProof {};
        std::copy_n(response.begin(), proofBytes, peerNonce.begin());
        std::copy_n(response.begin() + proofBytes, proofBytes, peerProof.begin());
        if (!proofsEqual(peerProof, computeProof(m_key, "listener", peerNonce, ownNonce))) {
            m_counters->countRefusal(RefusalReason::WrongKey);
            co_return false;
        }
        const auto ownProof = computeProof(m_key, "connector", ownNonce, peerNonce);
        auto [proofError, proofSent] = co_await net::async_write(*m_stream, net::buffer(ownProof), completionToken);
        co_return !proofError;
    }

    net::awaitable<void> OutgoingConnection::writeQueuedFrames()
    {
        while (!m_queue.empty()) {
            const auto now = std::chrono::steady_clock::now();
            // The peer closes idle connections, and a frame written after that would be lost without an error.
            const bool recentlyUsed = m_stream != nullptr && now - m_lastUsedAt < maxIdleTime;
            bool connected = recentlyUsed && isOpen(m_stream->socket());
            if (recentlyUsed && !connected)
                reportLoss();
            m_lastUsedAt = now;
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
            auto [ec, n] = co_await net::async_write(*m_stream, net::buffer(frame), completionToken);
            m_stream->expires_never();
            if (ec) {
                m_stream.reset();
                ++m_counters->droppedFrames;
                reportLoss();
                continue;
            }
            ++m_counters->sentFrames;
            m_counters->sentBytes += frame.size();
        }
        m_writing = false;
    }

    /// A connection accepted from a peer; carries frames in one direction only, from the peer.
    class IncomingConnection {
    public:
        IncomingConnection(tcp::socket socket, const std::string& key, Transport::MessageHandler onMessage,
            Transport::DisconnectHandler onDisconnect, std::shared_ptr<KnownSenders> senders,
            std::shared_ptr<Counters> counters)
            : m_stream(std::move(socket))
            , m_key(key)
            , m_onMessage(std::move(onMessage))
            , m_onDisconnect(std::move(onDisconnect))
            , m_senders(std::move(senders))
            , m_counters(std::move(counters))
        {
            ++m_counters->incoming;
        }
        ~IncomingConnection() { --m_counters->incoming; }
        IncomingConnection(const IncomingConnection&) = delete;
        IncomingConnection& operator=(const IncomingConnection&) = delete;

        net::awaitable<void> serve();

    private:
        net::awaitable<bool> performHandshake();
        net::awaitable<bool> readFrame();
        std::optional<config::Endpoint> replacedPeer(const Message& message);

        beast::tcp_stream m_stream;
        const std::string& m_key;
        Transport::MessageHandler m_onMessage;
        Transport::DisconnectHandler m_onDisconnect;
        std::shared_ptr<KnownSenders> m_senders;
        bool m_senderChecked = false;
        std::shared_ptr<Counters> m_counters;
    };

    net::awaitable<bool> IncomingConnection::performHandshake()
    {
        m_stream.expires_after(handshakeTimeout);
        std::array<std::uint8_t, protocolMagic.size() + proofBytes> hello {};
        auto [helloError, helloBytes] = co_await net::async_read(m_stream, net::buffer(hello), completionToken);
        if (helloError)
            co_return false;
        if (!std::equal(protocolMagic.begin(), protocolMagic.end(), hello.begin())) {
            m_counters->countRefusal(RefusalReason::WrongProtocol);
            co_return false;
        }
        Nonce peerNonce {};
        std::copy_n(hello.begin() + protocolMagic.size(), proofBytes, peerNonce.begin());
        const auto generated = generateNonce();
        if (!generated)
            co_return false;
        const auto& ownNonce = *generated;
        const auto ownProof = computeProof(m_key, "listener", ownNonce, peerNonce);
        std::array<std::uint8_t, 2 * proofBytes> response {};
        std::copy(ownNonce.begin(), ownNonce.end(), response.begin());
        std::copy(ownProof.begin(), ownProof.end(), response.begin() + proofBytes);
        auto [responseError, responseBytes]
            = co_await net::async_write(m_stream, net::buffer(response), completionToken);
        if (responseError)
            co_return false;
        Proof peerProof {};
        auto [proofError, proofRead] = co_await net::async_read(m_stream, net::buffer(peerProof), completionToken);
        if (proofError)
            co_return false;
        const bool authenticated = proofsEqual(peerProof, computeProof(m_key, "connector", peerNonce, ownNonce));
        if (!authenticated)
            m_counters->countRefusal(RefusalReason::WrongKey);
        co_return authenticated;
    }

    /// Returns the sender of the first message if this connection replaces an earlier one of it: the peer dropped what
    /// it could not send in between.
    std::optional<config::Endpoint> IncomingConnection::replacedPeer(const Message& message)
    {
        const auto* peer = m_senderChecked ? nullptr : senderOf(message);
        if (peer == nullptr)
            return std::nullopt;
        m_senderChecked = true;
        return m_senders->add(*peer) ? std::nullopt : std::optional(*peer);
    }

    net::awaitable<bool> IncomingConnection::readFrame()
    {
        m_stream.expires_after(readIdleTimeout);
        std::array<std::uint8_t, lengthPrefixBytes> length {};
        auto [lengthError, lengthRead] = co_await net::async_read(m_stream, net::buffer(length), completionToken);
        if (lengthError) {
            if (lengthRead > 0)
                m_counters->countRefusal(RefusalReason::TruncatedFrame);
            co_return false;
        }
        const auto n = decodeLength(length);
        if (n > maxMessageBytes) {
            m_counters->countRefusal(RefusalReason::OversizedFrame);
            co_return false;
        }
        std::vector<std::uint8_t> body(n);
        auto [bodyError, bodyRead] = co_await net::async_read(m_stream, net::buffer(body), completionToken);
        if (bodyError) {
            m_counters->countRefusal(RefusalReason::TruncatedFrame);
            co_return false;
        }
        auto message = decodeMessage(body);
        if (!message.has_value()) {
            m_counters->countRefusal(RefusalReason::MalformedFrame);
            co_return false;
        }
        ++m_counters->receivedFrames;
        const auto replaced = replacedPeer(message.value());
        // The message may be what was lost before.
        m_onMessage(std::move(message).value());
        if (replaced && m_onDisconnect && !m_counters->closing)
            m_onDisconnect(*replaced, DisconnectReason::Lost);
        co_return true;
    }

    net::awaitable<void> IncomingConnection::serve()
    {
        bool connected = co_await performHandshake();
        while (connected && !m_counters->closing)
            connected = co_await readFrame();
        m_stream.close();
    }

    class TcpTransport final : public Transport {
    public:
        TcpTransport(
            net::io_context& context, std::string key, MessageHandler onMessage, DisconnectHandler onDisconnect)
            : m_context(context)
            , m_acceptor(net::make_strand(context))
            , m_key(std::move(key))
            , m_onMessage(std::move(onMessage))
            , m_onDisconnect(std::move(onDisconnect))
        {
        }

        boost::system::error_code open(const config::Endpoint& address);
        void send(const config::Endpoint& to, const Message& message) override;
        void close() override;
        TransportCounts counts() const override;
        std::uint16_t port() const override;

    private:
        net::awaitable<void> acceptConnections();

        net::io_context& m_context;
        tcp::acceptor m_acceptor;
        std::string m_key;
        MessageHandler m_onMessage;
        DisconnectHandler m_onDisconnect;
        std::shared_ptr<Counters> m_counters = std::make_shared<Counters>();
        std::shared_ptr<KnownSenders> m_senders = std::make_shared<KnownSenders>();
        std::mutex m_mutex;
        std::map<config::Endpoint, std::shared_ptr<OutgoingConnection>> m_outgoing;
    };

    boost::system::error_code TcpTransport::open(const config::Endpoint& address)
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
                m_acceptor.get_executor(), [this]() -> net::awaitable<void> { co_await acceptConnections(); },
                net::detached);
        return ec;
    }

    net::awaitable<void> TcpTransport::acceptConnections()
    {
        net::steady_timer retryTimer(m_acceptor.get_executor());
        while (!m_counters->closing) {
            auto [ec, socket] = co_await m_acceptor.async_accept(net::make_strand(m_context), completionToken);
            if (ec == net::error::operation_aborted || ec == net::error::bad_descriptor)
                co_return;
            if (ec) {
                // For example, descriptors have run out; the connection stays in the accept queue.
                retryTimer.expires_after(acceptRetryDelay);
                co_await retryTimer.async_wait(completionToken);
                continue;
            }
            if (m_counters->incoming >= maxIncomingConnections)
                continue;
            const auto executor = socket.get_executor();
            auto incoming = std::make_shared<IncomingConnection>(
                std::move(socket), m_key, m_onMessage, m_onDisconnect, m_senders, m_counters);
            net::co_spawn(
                executor, [incoming]() -> net::awaitable<void> { co_await incoming->serve(); }, net::detached);
        }
    }

    void TcpTransport::send(const config::Endpoint& to, const Message& message)
    {
        std::shared_ptr<OutgoingConnection> outgoing;
        {
            const std::lock_guard lock(m_mutex);
            auto& connection = m_outgoing[to];
            if (!connection)
                connection = std::make_shared<OutgoingConnection>(m_context, to, m_key, m_counters, m_onDisconnect);
            outgoing = connection;
        }
        outgoing->send(encodeFrame(encodeMessage(message)));
    }

    void TcpTransport::close()
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

    TransportCounts TcpTransport::counts() const
    {
        TransportCounts counts;
        for (std::size_t i = 0; i < counts.refused.size(); ++i)
            counts.refused.at(i) = m_counters->refused.at(i);
        counts.sentFrames = m_counters->sentFrames;
        counts.sentBytes = m_counters->sentBytes;
        counts.receivedFrames = m_counters->receivedFrames;
        counts.droppedFrames = m_counters->droppedFrames;
        return counts;
    }

    std::uint16_t TcpTransport::port() const
    {
        boost::system::error_code ec;
        return m_acceptor.local_endpoint(ec).port();
    }

} // namespace

Result<std::unique_ptr<Transport>> Transport::listen(http::IoPool& pool, const config::Endpoint& address,
    std::string key, MessageHandler onMessage, DisconnectHandler onDisconnect)
{
    auto transport
        = std::make_unique<TcpTransport>(pool.context(), std::move(key), std::move(onMessage), std::move(onDisconnect));
    if (const auto ec = transport->open(address))
        return fail(Errc::Unreachable, "cannot listen on " + address.toString() + ": " + ec.message());
    return std::unique_ptr<Transport>(std::move(transport));
}

} // namespace foxtailwheel::peer
