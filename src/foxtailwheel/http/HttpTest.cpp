#include "foxtailwheel/http/Client.h"
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

/// A client and a server that echoes request bodies unless a handler is given.
struct Fixture {
    explicit Fixture(http::Handler handler = echo(), std::size_t threads = 2)
        : pool(http::IoPool::create(threads))
    {
        http::ServerOptions options;
        options.listen = { "127.0.0.1", 0 };
        options.maxBodyBytes = 1000;
        options.maxHeaderBytes = 1000;
        options.headerTimeout = 300ms;
        options.bodyTimeout = 300ms;
        options.maxQueuedBytes = 64U << 10U;
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
        const auto deadline = clock->now() + timeout;
        std::promise<http::CallResult> done;
        http::CallCallbacks callbacks;
        callbacks.onDone = [&](http::CallResult result) { done.set_value(std::move(result)); };
        client->start({ { "127.0.0.1", server->port() }, { "POST", "/", {}, body }, deadline, deadline, idempotent },
            std::move(callbacks));
        return done.get_future().get();
    }

    /// Sends raw bytes and returns everything received until the server closes the connection.
    std::string sendRaw(const std::string& bytes)
    {
        net::io_context context;
        tcp::socket socket(context);
        socket.connect({ net::ip::make_address("127.0.0.1"), server->port() });
        boost::system::error_code ec;
        net::write(socket, net::buffer(bytes), ec);
        std::string response;
        net::read(socket, net::dynamic_buffer(response), ec);
        return response;
    }

    std::unique_ptr<Clock> clock = systemClock();
    std::unique_ptr<http::IoPool> pool;
    std::unique_ptr<http::Client> client = http::Client::create(*pool, *clock);
    std::unique_ptr<http::Server> server;
};

} // namespace

Test(Http, reusesTheConnectionForIdempotentCalls)
{
    Fixture it;
    for (int i = 0; i < 50; ++i)
        cr_assert_eq(it.call(std::to_string(i)).response.body, std::to_string(i));
    cr_assert_eq(it.server->openConnections(), 1U, "%zu connections", it.server->openConnections());
}

Test(Http, opensANewConnectionForEachNonIdempotentCall)
{
    Fixture it;
    for (int i = 0; i < 5; ++i)
        cr_assert(it.call("x", false).outcome == http::TransportOutcome::Complete);
    cr_assert_geq(it.server->openConnections(), 5U);
}

Test(Http, rejectsInvalidRequestsWithTheMatchingStatus)
{
    Fixture it;
    cr_assert(it.sendRaw("NONSENSE\r\n\r\n").find(" 400 ") != std::string::npos);
    cr_assert(
        it.sendRaw("POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 5000\r\n\r\n").find(" 413 ") != std::string::npos);
    cr_assert(it.sendRaw("GET / HTTP/1.1\r\nHost: x\r\nX-Long: " + std::string(5000, 'x') + "\r\n\r\n").find(" 431 ")
        != std::string::npos);
}

Test(Http, respondsWith408WhenTheRequestIsIncompleteAtTheTimeout)
{
    Fixture it;
    cr_assert(
        it.sendRaw("POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 10\r\n\r\nabc").find(" 408 ") != std::string::npos);
    cr_assert(it.sendRaw("POST / HTTP/1.1\r\nHo").find(" 408 ") != std::string::npos);
}

Test(Http, reportsTimedOutWhenTheServerDoesNotRespond)
{
    std::vector<std::shared_ptr<http::Responder>> responders;
    std::mutex mutex;
    Fixture it([&](const http::Request&, const std::shared_ptr<http::Responder>& responder) {
        const std::lock_guard lock(mutex);
        responders.push_back(responder);
    });
    cr_assert(it.call("x", true, 300ms).outcome == http::TransportOutcome::TimedOut);
    it.pool->stop();
    responders.clear();
}

Test(Http, reportsALostConnectionWhenTheServerCloses)
{
    Fixture it([](const http::Request&, const std::shared_ptr<http::Responder>& responder) { responder->abort(); });
    cr_assert(it.call("x").outcome == http::TransportOutcome::ConnectionLost);
}

Test(Http, reportsALostConnectionWhenTheBodyIsTruncated)
{
    Fixture it([](const http::Request&, const std::shared_ptr<http::Responder>& responder) {
        responder->beginStream({ 200, {}, {} });
        responder->write("half");
        responder->abort();
    });
    cr_assert(it.call("x").outcome == http::TransportOutcome::ConnectionLost);
}

Test(Http, reportsNotSentWhenTheConnectionIsRefused)
{
    Fixture it;
    const auto deadline = it.clock->now() + 5s;
    std::promise<http::CallResult> done;
    bool sendStarted = false;
    http::CallCallbacks callbacks;
    callbacks.onSendStart = [&] { sendStarted = true; };
    callbacks.onDone = [&](http::CallResult result) { done.set_value(std::move(result)); };
    it.client->start({ { "127.0.0.1", 1 }, { "POST", "/", {}, "x" }, deadline, deadline, false }, std::move(callbacks));
    cr_assert(done.get_future().get().outcome == http::TransportOutcome::NotSent);
    cr_assert(!sendStarted);
}

Test(Http, notifiesTheHandlerWhenTheClientDisconnects)
{
    std::promise<void> disconnected;
    Fixture it([&](const http::Request&, const std::shared_ptr<http::Responder>& responder) {
        responder->onDisconnect([&disconnected] { disconnected.set_value(); });
    });
    {
        net::io_context context;
        tcp::socket socket(context);
        socket.connect({ net::ip::make_address("127.0.0.1"), it.server->port() });
        net::write(socket, net::buffer(std::string("GET / HTTP/1.1\r\nHost: x\r\n\r\n")));
        std::this_thread::sleep_for(50ms);
    }
    cr_assert(disconnected.get_future().wait_for(10s) == std::future_status::ready);
}

Test(Http, boundsTheMemoryQueuedForAClientThatDoesNotRead)
{
    std::atomic<std::size_t> queued { 0 };
    Fixture it([&](const http::Request&, const std::shared_ptr<http::Responder>& responder) {
        responder->beginStream({ 200, {}, {} });
        while (responder->write(std::string(16U << 10U, 'x')) && queued < (64U << 20U))
            queued += 16U << 10U;
    });
    net::io_context context;
    tcp::socket socket(context);
    socket.connect({ net::ip::make_address("127.0.0.1"), it.server->port() });
    net::write(socket, net::buffer(std::string("GET / HTTP/1.1\r\nHost: x\r\n\r\n")));
    char byte = 0;
    boost::system::error_code ec;
    net::read(socket, net::buffer(&byte, 1), ec);
    cr_assert_lt(queued.load(), 64U << 20U);
}

Test(HttpServer, rejectsRequestsWithAmbiguousFramingOrHost)
{
    const std::vector<std::string> headerBlocks { "Host: a\r\nTransfer-Encoding: xchunked\r\n",
        "Host: a\r\nTransfer-Encoding: chunked, identity\r\n", "Host: a\r\nTransfer-Encoding: identity\r\n",
        "Host: a\r\nTransfer-Encoding: chunked\r\nContent-Length: 4\r\n",
        "Host: a\r\nTransfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n", "X: 1\r\n",
        "Host: a\r\nHost: b\r\n" };
    for (const auto& headers : headerBlocks) {
        std::atomic<int> handled { 0 };
        Fixture fixture([&](const http::Request&, const std::shared_ptr<http::Responder>& responder) {
            ++handled;
            responder->respond({ 200, {}, {} });
        });
        const auto response
            = fixture.sendRaw("POST / HTTP/1.1\r\n" + headers + "\r\n0\r\n\r\nGET /inner HTTP/1.1\r\nHost: a\r\n\r\n");
        cr_assert_eq(handled, 0, "%s", headers.c_str());
        cr_assert(response.starts_with("HTTP/1.1 400") || response.starts_with("HTTP/1.1 501"), "%s: %s",
            headers.c_str(), response.c_str());
    }
}

namespace {

const std::string getRequest = "GET / HTTP/1.1\r\nHost: x\r\n\r\n";

std::string readResponse(tcp::socket& socket)
{
    std::string response;
    boost::system::error_code ec;
    net::read_until(socket, net::dynamic_buffer(response), "\r\n\r\n", ec);
    return response;
}

} // namespace

Test(HttpServer, plannedStopAnswersConnectionsInTheAcceptQueue)
{
    std::promise<void> blocked;
    std::promise<void> unblock;
    std::atomic<int> handled { 0 };
    Fixture fixture(
        [&](const http::Request&, const std::shared_ptr<http::Responder>& responder) {
            if (++handled == 1) {
                blocked.set_value();
                unblock.get_future().wait();
            }
            responder->respond({ 200, {}, {} });
        },
        1);
    net::io_context context;
    std::vector<tcp::socket> sockets;
    for (int i = 0; i < 20; ++i) {
        sockets.emplace_back(context);
        sockets.back().connect({ net::ip::make_address("127.0.0.1"), fixture.server->port() });
        net::write(sockets.back(), net::buffer(getRequest));
        if (i == 0)
            blocked.get_future().wait();
    }
    fixture.server->disableKeepAlive();
    fixture.server->stopAccepting();
    unblock.set_value();
    for (auto& it : sockets)
        cr_assert(readResponse(it).starts_with("HTTP/1.1 200"));
}

Test(HttpServer, plannedStopAnswersPipelinedRequests)
{
    std::promise<void> blocked;
    std::promise<void> unblock;
    std::atomic<int> handled { 0 };
    Fixture fixture([&](const http::Request&, const std::shared_ptr<http::Responder>& responder) {
        if (++handled == 1) {
            blocked.set_value();
            unblock.get_future().wait();
        }
        responder->respond({ 200, {}, {} });
    });
    net::io_context context;
    tcp::socket socket(context);
    socket.connect({ net::ip::make_address("127.0.0.1"), fixture.server->port() });
    net::write(socket, net::buffer(getRequest + getRequest + getRequest));
    blocked.get_future().wait();
    fixture.server->disableKeepAlive();
    fixture.server->stopAccepting();
    unblock.set_value();
    std::string responses;
    boost::system::error_code ec;
    net::read(socket, net::dynamic_buffer(responses), ec);
    int answered = 0;
    for (auto at = responses.find("HTTP/1.1 200"); at != std::string::npos; at = responses.find("HTTP/1.1 200", at + 1))
        ++answered;
    cr_assert_eq(answered, 3);
    cr_assert_eq(responses.find("Connection: close"), responses.rfind("Connection: close"), "only the last one closes");
}

Test(HttpServer, plannedStopClosesIdleConnectionsOnly)
{
    Fixture fixture;
    net::io_context context;
    tcp::socket idle(context);
    tcp::socket sending(context);
    for (auto* it : { &idle, &sending }) {
        it->connect({ net::ip::make_address("127.0.0.1"), fixture.server->port() });
        net::write(*it, net::buffer(getRequest));
        cr_assert(readResponse(*it).starts_with("HTTP/1.1 200"));
    }
    net::write(sending, net::buffer(getRequest.substr(0, 10)));
    std::this_thread::sleep_for(50ms);
    fixture.server->stopAccepting();
    fixture.server->closeIdleConnections(0ms);
    char byte = 0;
    boost::system::error_code ec;
    cr_assert_eq(net::read(idle, net::buffer(&byte, 1), ec), 0U);
    net::write(sending, net::buffer(getRequest.substr(10)));
    cr_assert(readResponse(sending).starts_with("HTTP/1.1 200"));
}

Test(HttpServer, canBeDestroyedAfterItsIoPool)
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

Test(HttpClient, acceptsAResponseSentBeforeTheWholeRequestWasRead)
{
    net::io_context context;
    tcp::acceptor acceptor(context, { net::ip::make_address("127.0.0.1"), 0 });
    std::thread serverThread([&] {
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
    http::CallCallbacks callbacks;
    callbacks.onDone = [&](http::CallResult result) { done.set_value(std::move(result)); };
    const auto deadline = clock->now() + 5s;
    client->start({ { "127.0.0.1", acceptor.local_endpoint().port() },
                      { "POST", "/", {}, std::string(32U << 20U, 'x') }, deadline, deadline, true },
        std::move(callbacks));
    const auto result = done.get_future().get();
    serverThread.join();
    pool->stop();
    cr_assert_eq(result.outcome, http::TransportOutcome::Complete);
    cr_assert_eq(result.response.status, 503);
}
