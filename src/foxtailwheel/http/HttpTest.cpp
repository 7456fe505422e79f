#include "foxtailwheel/http/Client.h"
#include "foxtailwheel/http/Server.h"

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <criterion/criterion.h>
#include <future>
#include <thread>

using namespace foxtailwheel;
using namespace std::chrono_literals;

namespace {

namespace net = boost::asio;
using net::ip::tcp;

/// A server that answers with the body it got, and a client.
struct Fixture {
    explicit Fixture(http::Handler handler = echo())
    {
        http::ServerOptions options;
        options.listen = { "127.0.0.1", 0 };
        options.maxBodyBytes = 1000;
        options.maxHeaderBytes = 1000;
        options.headerTimeout = 300ms;
        options.bodyTimeout = 300ms;
        options.maxUnreadBytes = 64U << 10U;
        auto listening = http::Server::listen(*pool, options, std::move(handler));
        cr_assert(listening.has_value());
        server = std::move(listening).value();
    }
    ~Fixture() { pool->stop(); }
    Fixture(const Fixture&) = delete;
    Fixture& operator=(const Fixture&) = delete;

    static http::Handler echo()
    {
        return [](http::Request request, const std::shared_ptr<http::Responder>& responder) {
            responder->respond({ 200, {}, std::move(request.body) });
        };
    }

    http::CallResult call(const std::string& body, bool idempotent = true, Duration timeout = 10s)
    {
        const auto until = clock->now() + timeout;
        std::promise<http::CallResult> done;
        http::CallEvents events;
        events.onDone = [&](http::CallResult result) { done.set_value(std::move(result)); };
        client->start({ { "127.0.0.1", server->port() }, { "POST", "/", {}, body }, until, until, idempotent },
            std::move(events));
        return done.get_future().get();
    }

    /// Sends raw bytes and reads until the server closes.
    std::string raw(const std::string& bytes)
    {
        net::io_context context;
        tcp::socket socket(context);
        socket.connect({ net::ip::make_address("127.0.0.1"), server->port() });
        boost::system::error_code ec;
        net::write(socket, net::buffer(bytes), ec);
        std::string answer;
        net::read(socket, net::dynamic_buffer(answer), ec);
        return answer;
    }

    std::unique_ptr<Clock> clock = systemClock();
    std::unique_ptr<http::IoPool> pool = http::IoPool::create(2);
    std::unique_ptr<http::Client> client = http::Client::create(*pool, *clock);
    std::unique_ptr<http::Server> server;
};

} // namespace

Test(Http, bodiesComeBackOverReusedConnections)
{
    Fixture it;
    for (int i = 0; i < 50; ++i)
        cr_assert_eq(it.call(std::to_string(i)).response.body, std::to_string(i));
    cr_assert_eq(it.server->connections(), 1U);
}

Test(Http, callsWithAnEffectGetConnectionsOfTheirOwn)
{
    Fixture it;
    for (int i = 0; i < 5; ++i)
        cr_assert(it.call("x", false).end == http::CallEnd::Complete);
    cr_assert_geq(it.server->connections(), 5U);
}

Test(Http, faultyRequestsGetAClearError)
{
    Fixture it;
    cr_assert(it.raw("NONSENSE\r\n\r\n").find(" 400 ") != std::string::npos);
    cr_assert(it.raw("POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 5000\r\n\r\n").find(" 413 ") != std::string::npos);
    cr_assert(it.raw("GET / HTTP/1.1\r\nHost: x\r\nX-Long: " + std::string(5000, 'x') + "\r\n\r\n").find(" 431 ")
        != std::string::npos);
}

Test(Http, slowSendersAreLetGo)
{
    Fixture it;
    cr_assert(it.raw("POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 10\r\n\r\nabc").find(" 408 ") != std::string::npos);
    cr_assert(it.raw("POST / HTTP/1.1\r\nHo").find(" 408 ") != std::string::npos);
}

Test(Http, aSilentServerEndsAtTheDeadlineAndIsToldApart)
{
    std::vector<std::shared_ptr<http::Responder>> held;
    std::mutex mutex;
    Fixture it([&](const http::Request&, const std::shared_ptr<http::Responder>& responder) {
        const std::lock_guard lock(mutex);
        held.push_back(responder);
    });
    cr_assert(it.call("x", true, 300ms).end == http::CallEnd::TimedOut);
    it.pool->stop();
    held.clear();
}

Test(Http, aServerThatClosesIsBroken)
{
    Fixture it([](const http::Request&, const std::shared_ptr<http::Responder>& responder) { responder->abort(); });
    cr_assert(it.call("x").end == http::CallEnd::Broken);
}

Test(Http, aBodyThatEndsEarlyIsNoAnswer)
{
    Fixture it([](const http::Request&, const std::shared_ptr<http::Responder>& responder) {
        responder->beginStream({ 200, {}, {} });
        responder->write("half");
        responder->abort();
    });
    cr_assert(it.call("x").end == http::CallEnd::Broken);
}

Test(Http, nobodyThereMeansNotSent)
{
    Fixture it;
    const auto until = it.clock->now() + 5s;
    std::promise<http::CallResult> done;
    bool firstByte = false;
    http::CallEvents events;
    events.onFirstByte = [&] { firstByte = true; };
    events.onDone = [&](http::CallResult result) { done.set_value(std::move(result)); };
    it.client->start({ { "127.0.0.1", 1 }, { "POST", "/", {}, "x" }, until, until, false }, std::move(events));
    cr_assert(done.get_future().get().end == http::CallEnd::NotSent);
    cr_assert(!firstByte);
}

Test(Http, aCallerThatLeavesIsNoticed)
{
    std::promise<void> gone;
    Fixture it([&](const http::Request&, const std::shared_ptr<http::Responder>& responder) {
        responder->onGone([&gone] { gone.set_value(); });
    });
    {
        net::io_context context;
        tcp::socket socket(context);
        socket.connect({ net::ip::make_address("127.0.0.1"), it.server->port() });
        net::write(socket, net::buffer(std::string("GET / HTTP/1.1\r\nHost: x\r\n\r\n")));
        std::this_thread::sleep_for(50ms);
    }
    cr_assert(gone.get_future().wait_for(10s) == std::future_status::ready);
}

Test(Http, aCallerThatDoesNotReadHoldsBoundedMemory)
{
    std::atomic<std::size_t> taken { 0 };
    Fixture it([&](const http::Request&, const std::shared_ptr<http::Responder>& responder) {
        responder->beginStream({ 200, {}, {} });
        while (responder->write(std::string(16U << 10U, 'x')) && taken < (64U << 20U))
            taken += 16U << 10U;
    });
    net::io_context context;
    tcp::socket socket(context);
    socket.connect({ net::ip::make_address("127.0.0.1"), it.server->port() });
    net::write(socket, net::buffer(std::string("GET / HTTP/1.1\r\nHost: x\r\n\r\n")));
    char byte = 0;
    boost::system::error_code ec;
    net::read(socket, net::buffer(&byte, 1), ec);
    cr_assert_lt(taken.load(), 64U << 20U);
}

Test(HttpServer, aRequestWhoseEndTwoReadersCouldSeeDifferentlyIsRefused)
{
    const std::vector<std::string> heads { "Host: a\r\nTransfer-Encoding: xchunked\r\n",
        "Host: a\r\nTransfer-Encoding: chunked, identity\r\n", "Host: a\r\nTransfer-Encoding: identity\r\n",
        "Host: a\r\nTransfer-Encoding: chunked\r\nContent-Length: 4\r\n",
        "Host: a\r\nTransfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n", "X: 1\r\n",
        "Host: a\r\nHost: b\r\n" };
    for (const auto& head : heads) {
        std::atomic<int> handled { 0 };
        Fixture fixture([&](const http::Request&, const std::shared_ptr<http::Responder>& responder) {
            ++handled;
            responder->respond({ 200, {}, {} });
        });
        const auto answer
            = fixture.raw("POST / HTTP/1.1\r\n" + head + "\r\n0\r\n\r\nGET /inner HTTP/1.1\r\nHost: a\r\n\r\n");
        cr_assert_eq(handled, 0, "%s", head.c_str());
        cr_assert(answer.starts_with("HTTP/1.1 400") || answer.starts_with("HTTP/1.1 501"), "%s: %s", head.c_str(),
            answer.c_str());
    }
}

Test(HttpServer, aServerMayOutliveItsPool)
{
    for (int i = 0; i < 200; ++i) {
        auto pool = http::IoPool::create(1);
        http::ServerOptions options;
        options.listen = { "127.0.0.1", 0 };
        auto server = http::Server::listen(*pool, options, Fixture::echo());
        cr_assert(server.has_value());
        pool.reset();
        server.value().reset();
    }
}

Test(HttpClient, anAnswerBeforeTheWholeRequestWasReadIsTaken)
{
    net::io_context context;
    tcp::acceptor acceptor(context, { net::ip::make_address("127.0.0.1"), 0 });
    std::thread early([&] {
        tcp::socket socket(context);
        acceptor.accept(socket);
        std::string buf(1024, ' ');
        boost::system::error_code ec;
        socket.read_some(net::buffer(buf), ec);
        net::write(socket, net::buffer(std::string("HTTP/1.1 503 Full\r\nContent-Length: 0\r\n\r\n")), ec);
        std::this_thread::sleep_for(300ms);
    });
    const auto pool = http::IoPool::create(1);
    const auto clock = systemClock();
    const auto client = http::Client::create(*pool, *clock);
    std::promise<http::CallResult> done;
    http::CallEvents events;
    events.onDone = [&](http::CallResult result) { done.set_value(std::move(result)); };
    const auto until = clock->now() + 5s;
    client->start({ { "127.0.0.1", acceptor.local_endpoint().port() },
                      { "POST", "/", {}, std::string(32U << 20U, 'x') }, until, until, true },
        std::move(events));
    const auto result = done.get_future().get();
    early.join();
    pool->stop();
    cr_assert_eq(result.end, http::CallEnd::Complete);
    cr_assert_eq(result.response.status, 503);
}
