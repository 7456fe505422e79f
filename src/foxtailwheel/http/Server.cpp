#include "foxtailwheel/http/Server.h"

#include "Connection.h"

#include <algorithm>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <mutex>
#include <vector>

namespace foxtailwheel::http {

namespace net = boost::asio;
using tcp = net::ip::tcp;

namespace {

    constexpr auto completionToken = net::as_tuple(net::use_awaitable);
    constexpr int listenBacklog = 1024;
    /// Pause after a connection could not be accepted, for example because the process has no free descriptor.
    constexpr Duration acceptRetryDelay = std::chrono::milliseconds(50);

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
