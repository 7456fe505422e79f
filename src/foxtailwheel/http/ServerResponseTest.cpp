#include "foxtailwheel/http/Server.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <criterion/criterion.h>
#include <future>

using namespace foxtailwheel;
using namespace std::chrono_literals;

namespace {

namespace net = boost::asio;
using net::ip::tcp;

struct Connection {
    explicit Connection(http::Handler handler, std::size_t maxQueuedBytes = 256U << 10U)
    {
        http::ServerOptions options;
        options.listen = { "127.0.0.1", 0 };
        options.maxQueuedBytes = maxQueuedBytes;
        auto listening = http::Server::listen(*pool, options, std::move(handler));
        cr_assert(listening.has_value());
        server = std::move(listening).value();
        socket.connect({ net::ip::make_address("127.0.0.1"), server->port() });
    }
    ~Connection() { pool->stop(); }
    Connection(const Connection&) = delete;
    Connection& operator=(const Connection&) = delete;

    void send(const std::string& bytes) { net::write(socket, net::buffer(bytes)); }
    std::string readAll()
    {
        std::string response;
        boost::system::error_code ec;
        net::read(socket, net::dynamic_buffer(response), ec);
        return response;
    }

    std::unique_ptr<http::IoPool> pool = http::IoPool::create(1);
    std::unique_ptr<http::Server> server;
    net::io_context context;
    tcp::socket socket { context };
};

} // namespace

Test(HttpServer, responseToAHeadRequestHasNoBody)
{
    Connection it([](const http::Request& request, const std::shared_ptr<http::Responder>& responder) {
        if (request.target == "/stream") {
            responder->beginStream({ 200, {}, {} });
            responder->write("streamed");
            responder->endStream();
            return;
        }
        responder->respond({ 200, {}, "body" });
    });
    it.send("HEAD / HTTP/1.1\r\nHost: x\r\n\r\nHEAD /stream HTTP/1.1\r\nHost: x\r\n\r\n"
            "GET / HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
    const auto responses = it.readAll();
    const auto second = responses.find("HTTP/1.1 200", 1);
    const auto third = responses.find("HTTP/1.1 200", second + 1);
    cr_assert(second != std::string::npos && third != std::string::npos, "%s", responses.c_str());
    cr_assert(responses.substr(0, third).ends_with("\r\n\r\n"));
    cr_assert_eq(responses.find("streamed"), std::string::npos);
    cr_assert_eq(responses.find("body"), responses.size() - 4);
}

Test(HttpServer, clientThatExpectsContinueIsAskedForTheBody)
{
    Connection it([](const http::Request& request, const std::shared_ptr<http::Responder>& responder) {
        responder->respond({ 200, {}, request.body });
    });
    it.send("POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 4\r\nExpect: 100-continue\r\nConnection: close\r\n\r\n");
    std::string interim;
    net::read_until(it.socket, net::dynamic_buffer(interim), "\r\n\r\n");
    cr_assert(interim.starts_with("HTTP/1.1 100 Continue\r\n\r\n"), "%s", interim.c_str());
    it.send("body");
    cr_assert(it.readAll().ends_with("\r\n\r\nbody"));
}

Test(HttpServer, handlerLearnsThatItsResponseWasAbortedBecauseTheClientReadsTooSlowly)
{
    std::promise<void> disconnected;
    Connection it(
        [&](const http::Request&, const std::shared_ptr<http::Responder>& responder) {
            responder->onDisconnect([&] { disconnected.set_value(); });
            responder->beginStream({ 200, {}, {} });
            while (responder->write(std::string(16U << 10U, 'x'))) { }
        },
        64U << 10U);
    it.send("GET / HTTP/1.1\r\nHost: x\r\n\r\n");
    cr_assert(disconnected.get_future().wait_for(10s) == std::future_status::ready);
}
