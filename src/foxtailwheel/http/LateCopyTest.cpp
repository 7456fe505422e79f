#include "foxtailwheel/http/Client.h"

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <criterion/criterion.h>
#include <future>
#include <thread>

using namespace foxtailwheel;
using namespace std::chrono_literals;

namespace {

namespace net = boost::asio;
using net::ip::tcp;

/// Server that answers each request with its target and, when it has read the next request of a connection, sends the
/// previous answer once more before the own one.
class CopyingServer {
public:
    explicit CopyingServer(bool identifies)
        : m_identifies(identifies)
        , m_thread([this] { run(); })
    {
    }
    ~CopyingServer()
    {
        m_stopping = true;
        net::io_context context;
        tcp::socket socket(context);
        boost::system::error_code ec;
        socket.connect({ net::ip::make_address("127.0.0.1"), port() }, ec);
        m_thread.join();
        for (auto& it : m_threads)
            it.join();
    }
    CopyingServer(const CopyingServer&) = delete;
    CopyingServer& operator=(const CopyingServer&) = delete;

    std::uint16_t port() const { return m_acceptor.local_endpoint().port(); }
    int connections() const { return m_connections; }

private:
    void run()
    {
        for (;;) {
            auto socket = std::make_shared<tcp::socket>(m_context);
            m_acceptor.accept(*socket);
            if (m_stopping)
                return;
            ++m_connections;
            m_threads.emplace_back([this, socket] { serve(*socket); });
        }
    }

    void serve(tcp::socket& socket) const
    {
        std::string received;
        std::string previous;
        for (;;) {
            boost::system::error_code ec;
            const auto n = net::read_until(socket, net::dynamic_buffer(received), "\r\n\r\n", ec);
            if (ec)
                return;
            const auto head = received.substr(0, n);
            received.erase(0, n);
            const auto target = head.substr(4, head.find(' ', 4) - 4);
            std::string response = "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(target.size()) + "\r\n";
            if (m_identifies) {
                const auto at = head.find("Request-Id: ");
                response += head.substr(at, head.find("\r\n", at) + 2 - at);
            }
            response += "\r\n" + target;
            net::write(socket, net::buffer(previous + response), ec);
            previous = response;
        }
    }

    bool m_identifies;
    net::io_context m_context;
    tcp::acceptor m_acceptor { m_context, { net::ip::make_address("127.0.0.1"), 0 } };
    std::atomic<bool> m_stopping { false };
    std::atomic<int> m_connections { 0 };
    std::vector<std::thread> m_threads;
    std::thread m_thread;
};

/// Calls the server with targets that differ, one after another, and returns the results.
std::vector<http::CallResult> callInTurn(std::uint16_t port, int calls)
{
    const auto clock = systemClock();
    const auto pool = http::IoPool::create(1);
    const auto client = http::Client::create(*pool, *clock);
    std::vector<http::CallResult> results;
    for (int i = 0; i < calls; ++i) {
        const auto deadline = clock->now() + 10s;
        const auto target = "/" + std::to_string(i);
        http::CallRequest request { { "127.0.0.1", port }, { "GET", target, {}, {} }, deadline, deadline };
        std::promise<http::CallResult> done;
        http::CallCallbacks callbacks;
        callbacks.onDone = [&done](http::CallResult result) { done.set_value(std::move(result)); };
        client->start(std::move(request), std::move(callbacks));
        results.push_back(done.get_future().get());
    }
    pool->stop();
    return results;
}

} // namespace

Test(HttpClient, lateCopyOfAResponseIsNotTakenForTheNextOne)
{
    CopyingServer server(true);
    const auto results = callInTurn(server.port(), 20);
    int complete = 0;
    for (std::size_t i = 0; i < results.size(); ++i) {
        if (results[i].outcome != http::TransportOutcome::Complete)
            continue;
        ++complete;
        cr_assert_eq(results[i].response.body, "/" + std::to_string(i));
    }
    cr_assert_geq(complete, 10);
}

Test(HttpClient, connectionOfAServerThatDoesNotIdentifyResponsesIsNotReused)
{
    CopyingServer server(false);
    const auto results = callInTurn(server.port(), 5);
    for (std::size_t i = 0; i < results.size(); ++i)
        cr_assert_eq(results[i].response.body, "/" + std::to_string(i));
    cr_assert_eq(server.connections(), 5);
}
