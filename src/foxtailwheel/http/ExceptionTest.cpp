#include "foxtailwheel/http/Client.h"
#include "foxtailwheel/http/Server.h"

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <criterion/criterion.h>
#include <future>
#include <stdexcept>

using namespace foxtailwheel;
using namespace std::chrono_literals;

namespace {

namespace net = boost::asio;
using net::ip::tcp;

std::unique_ptr<http::Server> listenWith(http::IoPool& pool, http::Handler handler)
{
    http::ServerOptions options;
    options.listen = { "127.0.0.1", 0 };
    auto listening = http::Server::listen(pool, options, std::move(handler));
    cr_assert(listening.has_value());
    return std::move(listening).value();
}

/// Sends a request and returns everything received until the server closes the connection.
std::string get(std::uint16_t port, const std::string& target)
{
    net::io_context context;
    tcp::socket socket(context);
    socket.connect({ net::ip::make_address("127.0.0.1"), port });
    boost::system::error_code ec;
    net::write(socket, net::buffer("GET " + target + " HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"), ec);
    std::string response;
    net::read(socket, net::dynamic_buffer(response), ec);
    return response;
}

/// Sends a request and waits at most 5 s for the result.
std::optional<http::CallResult> call(
    http::IoPool& pool, std::uint16_t port, http::Request request, http::CallCallbacks callbacks = {})
{
    const auto clock = systemClock();
    const auto client = http::Client::create(pool, *clock);
    const auto done = std::make_shared<std::promise<http::CallResult>>();
    callbacks.onDone = [done](http::CallResult result) { done->set_value(std::move(result)); };
    const auto deadline = clock->now() + 20s;
    const auto httpCall
        = client->start({ { "127.0.0.1", port }, std::move(request), deadline, deadline }, std::move(callbacks));
    auto future = done->get_future();
    if (future.wait_for(5s) != std::future_status::ready)
        return std::nullopt;
    return future.get();
}

} // namespace

Test(HttpServer, requestWhoseHandlerThrowsIsAnswered)
{
    std::atomic<int> errors { 0 };
    std::atomic<int> ended { 0 };
    const auto pool = http::IoPool::create(1, [&](std::string_view /*message*/) { ++errors; });
    const auto server
        = listenWith(*pool, [&](const http::Request& request, const std::shared_ptr<http::Responder>& responder) {
              responder->onDisconnect([&] { ++ended; });
              if (request.target == "/begun")
                  responder->beginStream({ 200, {}, {} });
              if (request.target == "/begun" || request.target == "/failing")
                  throw std::runtime_error("cannot handle the request");
              responder->respond({ 200, {}, {} });
          });
    const auto failed = get(server->port(), "/failing");
    cr_assert(failed.starts_with("HTTP/1.1 500"), "%s", failed.c_str());
    const auto begun = get(server->port(), "/begun");
    cr_assert(begun.starts_with("HTTP/1.1 200"));
    cr_assert_eq(begun.find("\r\n0\r\n"), std::string::npos, "the response must not look complete");
    cr_assert(get(server->port(), "/").starts_with("HTTP/1.1 200"));
    cr_assert_eq(errors, 2);
    cr_assert_eq(ended, 2);
    cr_assert_eq(server->requestsInProgress(), 0);
    pool->stop();
}

Test(IoPool, workThatThrowsDoesNotEndTheOthers)
{
    std::promise<std::string> error;
    const auto pool = http::IoPool::create(1, [&](std::string_view message) { error.set_value(std::string(message)); });
    pool->post([] { throw std::runtime_error("broken"); });
    std::promise<void> done;
    pool->post([&] { done.set_value(); });
    cr_assert(done.get_future().wait_for(10s) == std::future_status::ready);
    cr_assert_eq(error.get_future().get(), "broken");
    pool->stop();
}

Test(HttpClient, callWhoseCallbackThrowsEnds)
{
    const auto pool = http::IoPool::create(2, [](std::string_view /*message*/) {});
    const auto server = listenWith(
        *pool, [](const http::Request&, const std::shared_ptr<http::Responder>& responder) { responder->respond({}); });
    http::CallCallbacks callbacks;
    callbacks.onHead = [](const http::Response& /*head*/) { throw std::runtime_error("cannot use the head"); };
    const auto result = call(*pool, server->port(), { "GET", "/", {}, {} }, std::move(callbacks));
    cr_assert(result.has_value());
    cr_assert_eq(result->outcome, http::TransportOutcome::ConnectionLost);
    pool->stop();
}
