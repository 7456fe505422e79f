#include "foxtailwheel/http/Server.h"

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
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

/// Timeouts that expire during a stall. The requests have to be sent before, also on a busy machine: a connection whose
/// timeout has passed by then is closed rightly.
constexpr Duration timeoutInStall = 2s;
constexpr Duration stallTime = 2500ms;

const std::string getRequest = "GET / HTTP/1.1\r\nHost: x\r\n\r\n";

/// A server with one thread that answers with status 200; `stall` keeps its thread busy.
struct StallingServer {
    explicit StallingServer(http::ServerLimits limits)
    {
        http::ServerOptions options;
        static_cast<http::ServerLimits&>(options) = limits;
        options.listen = { "127.0.0.1", 0 };
        auto listening = http::Server::listen(
            *pool, options, [](const http::Request& request, const std::shared_ptr<http::Responder>& responder) {
                responder->respond({ 200, {}, request.body });
            });
        cr_assert(listening.has_value());
        server = std::move(listening).value();
    }
    ~StallingServer() { pool->stop(); }
    StallingServer(const StallingServer&) = delete;
    StallingServer& operator=(const StallingServer&) = delete;

    tcp::socket connect()
    {
        tcp::socket socket(context);
        socket.connect({ net::ip::make_address("127.0.0.1"), server->port() });
        return socket;
    }

    /// Blocks the server's thread until `resume` is called.
    void stall()
    {
        std::promise<void> stalled;
        pool->post([&] {
            pool->postAfter(10ms, [] {});
            stalled.set_value();
            resumed.get_future().wait();
        });
        stalled.get_future().wait();
        // A timer that expires before the data arrives makes the timers precede the data.
        std::this_thread::sleep_for(50ms);
    }
    void resume() { resumed.set_value(); }

    net::io_context context;
    std::unique_ptr<http::IoPool> pool = http::IoPool::create(1);
    std::unique_ptr<http::Server> server;
    std::promise<void> resumed;
};

/// Returns a response that ends with its head; empty if the connection ends before.
std::string readResponse(tcp::socket& socket)
{
    std::string response;
    boost::system::error_code ec;
    net::read_until(socket, net::dynamic_buffer(response), "\r\n\r\n", ec);
    return response;
}

/// Sends a part of a request and returns the response.
std::string sendAndRead(tcp::socket& socket, const std::string& bytes)
{
    boost::system::error_code ec;
    net::write(socket, net::buffer(bytes), ec);
    return readResponse(socket);
}

http::ServerLimits limitsWith(Duration headerTimeout, Duration bodyTimeout, Duration idleTimeout)
{
    http::ServerLimits limits;
    limits.headerTimeout = headerTimeout;
    limits.bodyTimeout = bodyTimeout;
    limits.idleTimeout = idleTimeout;
    return limits;
}

} // namespace

Test(HttpServer, raisedIdleTimeoutHoldsForConnectionsThatWaitAlready)
{
    auto limits = limitsWith(5s, 5s, 300ms);
    StallingServer it(limits);
    auto socket = it.connect();
    cr_assert(sendAndRead(socket, getRequest).starts_with("HTTP/1.1 200"));
    limits.idleTimeout = 5s;
    it.server->setLimits(limits);
    std::this_thread::sleep_for(900ms);
    cr_assert(sendAndRead(socket, getRequest).starts_with("HTTP/1.1 200"));
}

Test(HttpServer, raisedBodyLimitHoldsForConnectionsThatWaitAlready)
{
    auto limits = limitsWith(5s, 5s, 5s);
    limits.maxBodyBytes = 4;
    StallingServer it(limits);
    auto socket = it.connect();
    cr_assert(sendAndRead(socket, getRequest).starts_with("HTTP/1.1 200"));
    std::this_thread::sleep_for(50ms);
    limits.maxBodyBytes = 100;
    it.server->setLimits(limits);
    const auto response = sendAndRead(socket, "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 5\r\n\r\nabcde");
    cr_assert(response.starts_with("HTTP/1.1 200"), "%s", response.c_str());
}

Test(HttpServer, idleConnectionIsClosedAtTheTimeoutInForce)
{
    auto limits = limitsWith(5s, 5s, 200ms);
    StallingServer it(limits);
    auto socket = it.connect();
    cr_assert(sendAndRead(socket, getRequest).starts_with("HTTP/1.1 200"));
    const auto start = std::chrono::steady_clock::now();
    limits.idleTimeout = 600ms;
    it.server->setLimits(limits);
    cr_assert(readResponse(socket).empty());
    const auto elapsed = std::chrono::steady_clock::now() - start;
    cr_assert(elapsed > 500ms && elapsed < 5s);
}

Test(HttpServer, requestsThatArriveWhileTheProcessIsStalledAreAnswered)
{
    StallingServer it(limitsWith(timeoutInStall, timeoutInStall, timeoutInStall));
    std::vector<tcp::socket> sockets;
    const auto start = std::chrono::steady_clock::now();
    for (int i = 0; i < 400; ++i) {
        sockets.push_back(it.connect());
        cr_assert(sendAndRead(sockets.back(), getRequest).starts_with("HTTP/1.1 200"));
    }
    it.stall();
    for (auto& socket : sockets)
        net::write(socket, net::buffer(getRequest));
    cr_assert(std::chrono::steady_clock::now() - start < timeoutInStall, "the requests come too late to be answered");
    std::this_thread::sleep_for(stallTime);
    it.resume();
    int answered = 0;
    for (auto& socket : sockets)
        answered += readResponse(socket).starts_with("HTTP/1.1 200") ? 1 : 0;
    cr_assert_eq(answered, 400, "%d answered", answered);
}

Test(HttpServer, restOfARequestThatArrivesWhileTheProcessIsStalledIsRead)
{
    const std::string head = "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 4\r\n\r\n";
    for (const auto& [part, rest] :
        { std::pair(head.substr(0, 30), head.substr(30) + "abcd"), std::pair(head + "ab", std::string("cd")) }) {
        StallingServer it(limitsWith(timeoutInStall, timeoutInStall, timeoutInStall));
        std::vector<tcp::socket> sockets;
        const auto start = std::chrono::steady_clock::now();
        for (int i = 0; i < 400; ++i)
            sockets.push_back(it.connect());
        for (auto& socket : sockets)
            net::write(socket, net::buffer(part));
        std::this_thread::sleep_for(100ms);
        it.stall();
        for (auto& socket : sockets)
            net::write(socket, net::buffer(rest));
        cr_assert(std::chrono::steady_clock::now() - start < timeoutInStall, "the rest comes too late to be read");
        std::this_thread::sleep_for(stallTime);
        it.resume();
        int answered = 0;
        for (auto& socket : sockets)
            answered += readResponse(socket).starts_with("HTTP/1.1 200") ? 1 : 0;
        cr_assert_eq(answered, 400, "%d answered", answered);
    }
}

Test(HttpServer, requestLineInASegmentOfItsOwnIsNotIdleness)
{
    StallingServer it(limitsWith(5s, 5s, 5s));
    auto socket = it.connect();
    cr_assert(sendAndRead(socket, getRequest).starts_with("HTTP/1.1 200"));
    const auto lineEnd = getRequest.find("\r\n") + 2;
    net::write(socket, net::buffer(getRequest.substr(0, lineEnd)));
    std::this_thread::sleep_for(100ms);
    it.server->stopAccepting();
    it.server->closeIdleConnections(0ms);
    std::this_thread::sleep_for(100ms);
    cr_assert(sendAndRead(socket, getRequest.substr(lineEnd)).starts_with("HTTP/1.1 200"));
}
