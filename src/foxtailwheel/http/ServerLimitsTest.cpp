#include "foxtailwheel/http/Server.h"

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <criterion/criterion.h>
#include <thread>

using namespace foxtailwheel;
using namespace std::chrono_literals;

namespace {

namespace net = boost::asio;
using net::ip::tcp;

const std::string chunkedHead = "POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n";
const std::string getRequest = "GET / HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";

/// A server with small limits and a budget of 100,000 bytes.
struct Fixture {
    Fixture()
    {
        http::ServerOptions options;
        options.listen = { "127.0.0.1", 0 };
        options.maxBodyBytes = 60000;
        options.maxChunkHeaderBytes = 1000;
        options.maxTrailerBytes = 1000;
        options.memory = memory;
        auto listening = http::Server::listen(
            *pool, options, [this](const http::Request&, const std::shared_ptr<http::Responder>& responder) {
                ++handled;
                responder->respond({ 200, {}, {} });
            });
        cr_assert(listening.has_value());
        server = std::move(listening).value();
    }
    ~Fixture() { pool->stop(); }
    Fixture(const Fixture&) = delete;
    Fixture& operator=(const Fixture&) = delete;

    /// Sends bytes and returns the first line of the response.
    std::string send(const std::string& bytes)
    {
        net::io_context context;
        tcp::socket socket(context);
        socket.connect({ net::ip::make_address("127.0.0.1"), server->port() });
        boost::system::error_code ec;
        net::write(socket, net::buffer(bytes), ec);
        std::string response;
        net::read(socket, net::dynamic_buffer(response), ec);
        return response.substr(0, response.find('\r'));
    }

    std::shared_ptr<http::MemoryBudget> memory = http::MemoryBudget::create({ .maxBytes = 100000 });
    std::atomic<int> handled { 0 };
    std::unique_ptr<http::IoPool> pool = http::IoPool::create(2);
    std::unique_ptr<http::Server> server;
};

} // namespace

// Guards against clients that lose the response because the connection is reset, or that are refused with a status that
// does not say what was wrong.
Test(ServerLimits, answersPartsBeyondTheirLimitWithTheirStatus)
{
    Fixture it;
    std::string trailers;
    while (trailers.size() < 200000)
        trailers += "X: y\r\n";
    cr_assert(it.send(chunkedHead + "0\r\n" + trailers).starts_with("HTTP/1.1 431"));
    cr_assert(it.send(chunkedHead + "4;" + std::string(200000, 'x')).starts_with("HTTP/1.1 431"));
    cr_assert(it.send(chunkedHead + "fffff\r\n" + std::string(200000, 'x')).starts_with("HTTP/1.1 413"));
    cr_assert(it.send("\r\n\r\n" + getRequest).starts_with("HTTP/1.1 400"));
    cr_assert_eq(it.handled, 0);
    cr_assert(it.send(getRequest).starts_with("HTTP/1.1 200"));
}

// Guards against new requests that are accepted near the bound, and against memory that stays counted when its clients
// have left.
Test(ServerLimits, refusesRequestsWhileMemoryIsShortAndServesThemAfterwards)
{
    Fixture it;
    {
        const auto other = it.memory->hold([] {});
        other->set(http::MemoryUse::RequestInProgress, 80000);
        cr_assert(it.send(getRequest).starts_with("HTTP/1.1 503"));
        cr_assert_eq(it.handled, 0);
    }
    const std::string body(50000, 'x');
    cr_assert(it.send("POST / HTTP/1.1\r\nHost: x\r\nConnection: close\r\nContent-Length: 50000\r\n\r\n" + body)
                  .starts_with("HTTP/1.1 200"));
    for (int i = 0; i < 500 && it.memory->heldBytes() > 0; ++i)
        std::this_thread::sleep_for(10ms);
    cr_assert_eq(it.memory->heldBytes(), 0U);
}

// Guards against a large body that takes the memory of all: it is refused, and was not handled.
Test(ServerLimits, refusesTheLargestIncompleteBodyAboveTheBound)
{
    Fixture it;
    const auto other = it.memory->hold([] {});
    other->set(http::MemoryUse::RequestInProgress, 30000);
    const auto response = it.send(chunkedHead + "e000\r\n" + std::string(0xe000, 'x'));
    cr_assert(response.starts_with("HTTP/1.1 503"), "%s", response.c_str());
    cr_assert_eq(it.handled, 0);
}
