#include "foxtailwheel/http/IoPool.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <csignal>
#include <exception>
#include <thread>
#include <vector>

namespace foxtailwheel::http {

namespace net = boost::asio;

struct IoPool::Impl {
    Impl(std::size_t n, ErrorHandler handler)
        : onError(std::move(handler))
        , shared(std::make_shared<net::io_context>(static_cast<int>(n)))
        , context(*shared)
        , workGuard(net::make_work_guard(context))
        , terminationSignals(context)
        , reloadSignals(context)
    {
    }

    /// Runs the context until it is stopped.
    void run()
    {
        while (!context.stopped()) {
            try {
                context.run();
            } catch (const std::exception& error) {
                if (!onError)
                    throw;
                onError(error.what());
            }
        }
    }

    void waitForTermination()
    {
        terminationSignals.async_wait([this](const boost::system::error_code& ec, int /*signal*/) {
            if (ec)
                return;
            onTerminate(++terminationCount);
            waitForTermination();
        });
    }

    void waitForReload()
    {
        reloadSignals.async_wait([this](const boost::system::error_code& ec, int /*signal*/) {
            if (ec)
                return;
            onReload();
            waitForReload();
        });
    }

    ErrorHandler onError;
    std::shared_ptr<net::io_context> shared;
    net::io_context& context;
    net::executor_work_guard<net::io_context::executor_type> workGuard;
    net::signal_set terminationSignals;
    net::signal_set reloadSignals;
    std::function<void(int)> onTerminate;
    std::function<void()> onReload;
    int terminationCount = 0;
    std::vector<std::thread> threads;
};

IoPool::IoPool(std::unique_ptr<Impl> impl)
    : m_impl(std::move(impl))
{
}

IoPool::~IoPool()
{
    stop();
}

std::unique_ptr<IoPool> IoPool::create(std::size_t threads, ErrorHandler onError)
{
    auto impl = std::make_unique<Impl>(threads, std::move(onError));
    for (std::size_t i = 0; i < threads; ++i)
        impl->threads.emplace_back([self = impl.get()] { self->run(); });
    return std::unique_ptr<IoPool>(new IoPool(std::move(impl)));
}

void IoPool::post(std::function<void()> work)
{
    net::post(m_impl->context, std::move(work));
}

void IoPool::postAfter(Duration delay, std::function<void()> work)
{
    auto timer = std::make_shared<net::steady_timer>(m_impl->context, delay);
    timer->async_wait([timer, work = std::move(work)](const boost::system::error_code& ec) {
        if (!ec)
            work();
    });
}

void IoPool::onTerminate(std::function<void(int)> work)
{
    m_impl->onTerminate = std::move(work);
    m_impl->terminationSignals.add(SIGTERM);
    m_impl->terminationSignals.add(SIGINT);
    m_impl->waitForTermination();
}

void IoPool::onReload(std::function<void()> work)
{
    m_impl->onReload = std::move(work);
    m_impl->reloadSignals.add(SIGHUP);
    m_impl->waitForReload();
}

const IoPool::ErrorHandler& IoPool::errorHandler() const
{
    return m_impl->onError;
}

void IoPool::stop()
{
    m_impl->workGuard.reset();
    m_impl->context.stop();
    for (auto& it : m_impl->threads) {
        if (it.joinable())
            it.join();
    }
}

std::shared_ptr<boost::asio::io_context> IoPool::sharedContext()
{
    return m_impl->shared;
}

boost::asio::io_context& IoPool::context()
{
    return m_impl->context;
}

} // namespace foxtailwheel::http
