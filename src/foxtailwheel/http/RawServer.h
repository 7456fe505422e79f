#pragma once

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <memory>
#include <thread>
#include <utility>
#include <vector>

namespace foxtailwheel::http {

/// @brief Server for tests that decides about every byte of a connection itself; one thread for each connection.
class RawServer {
public:
    using Socket = boost::asio::ip::tcp::socket;

    /// @param serve Serves a connection until it ends; runs on the thread of the connection.
    explicit RawServer(std::function<void(Socket&)> serve)
        : m_serve(std::move(serve))
        , m_acceptThread([this] { accept(); })
    {
    }
    /// @brief Waits until all connections have ended.
    ~RawServer()
    {
        m_stopping = true;
        boost::asio::io_context context;
        Socket socket(context);
        boost::system::error_code ec;
        socket.connect({ boost::asio::ip::make_address("127.0.0.1"), port() }, ec);
        m_acceptThread.join();
        for (auto& it : m_threads)
            it.join();
    }
    RawServer(const RawServer&) = delete;
    RawServer& operator=(const RawServer&) = delete;

    std::uint16_t port() const { return m_acceptor.local_endpoint().port(); }
    /// @brief Number of connections accepted so far.
    int connections() const { return m_connections; }

private:
    void accept()
    {
        for (;;) {
            auto socket = std::make_shared<Socket>(m_context);
            m_acceptor.accept(*socket);
            if (m_stopping)
                return;
            ++m_connections;
            m_threads.emplace_back([this, socket] { m_serve(*socket); });
        }
    }

    std::function<void(Socket&)> m_serve;
    boost::asio::io_context m_context;
    boost::asio::ip::tcp::acceptor m_acceptor { m_context, { boost::asio::ip::make_address("127.0.0.1"), 0 } };
    std::atomic<bool> m_stopping { false };
    std::atomic<int> m_connections { 0 };
    std::vector<std::thread> m_threads;
    std::thread m_acceptThread;
};

} // namespace foxtailwheel::http
