#include "RawServer.h"
#include "foxtailwheel/http/Client.h"

#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <criterion/criterion.h>
#include <future>
#include <optional>

using namespace foxtailwheel;
using namespace std::chrono_literals;

namespace {

namespace net = boost::asio;

enum class ConnectionEnd { KeepOpen, Close, Reset };

/// Server that answers each request with the same bytes.
class FixedServer {
public:
    /// @param resetDelay Time from the response to the reset of the connection; the client may miss what it has not
    /// read.
    FixedServer(std::string response, ConnectionEnd end, Duration resetDelay = 100ms)
        : m_response(std::move(response))
        , m_end(end)
        , m_resetDelay(resetDelay)
    {
    }

    std::uint16_t port() const { return m_server.port(); }

private:
    void serve(http::RawServer::Socket& socket) const
    {
        std::string received;
        boost::system::error_code ec;
        while (!ec) {
            const auto n = net::read_until(socket, net::dynamic_buffer(received), "\r\n\r\n", ec);
            received.erase(0, n);
            if (ec)
                return;
            net::write(socket, net::buffer(m_response), ec);
            if (m_end == ConnectionEnd::Reset) {
                std::this_thread::sleep_for(m_resetDelay);
                socket.set_option(net::socket_base::linger(true, 0), ec);
            }
            if (m_end != ConnectionEnd::KeepOpen) {
                socket.close(ec);
                return;
            }
        }
    }

    std::string m_response;
    ConnectionEnd m_end;
    Duration m_resetDelay;
    http::RawServer m_server { [this](http::RawServer::Socket& socket) { serve(socket); } };
};

/// Sends a request and returns the result; times out after 2 s.
/// @param threads Threads of the client.
http::CallResult call(
    std::uint16_t port, const std::string& method = "GET", const std::string& body = {}, unsigned threads = 1)
{
    const auto clock = systemClock();
    const auto pool = http::IoPool::create(threads);
    const auto client = http::Client::create(*pool, *clock);
    std::promise<http::CallResult> done;
    http::CallCallbacks callbacks;
    callbacks.onDone = [&](http::CallResult result) { done.set_value(std::move(result)); };
    const auto deadline = clock->now() + 2s;
    http::CallRequest request { { "127.0.0.1", port }, { method, "/", {}, body }, deadline, deadline };
    request.newConnection = true;
    client->start(std::move(request), std::move(callbacks));
    auto future = done.get_future();
    cr_assert(future.wait_for(10s) == std::future_status::ready, "the call has not ended");
    auto result = future.get();
    pool->stop();
    return result;
}

/// Longer than the buffers of a loopback connection, so that its write is still in progress when the response ends.
const std::string longBody(std::size_t { 16 } << 20U, 'b');

/// Responds when the head of a request has arrived, and reads nothing more. Ends its side in order first if `inOrder`.
void respondEarlyAndReset(http::RawServer::Socket& socket, const std::string& response, bool inOrder)
{
    boost::system::error_code ec;
    std::string request;
    net::read_until(socket, net::dynamic_buffer(request), "\r\n\r\n", ec);
    net::write(socket, net::buffer(response), ec);
    if (inOrder)
        socket.shutdown(net::socket_base::shutdown_send, ec);
    std::this_thread::sleep_for(20ms);
    socket.set_option(net::socket_base::linger(true, 0), ec);
    socket.close(ec);
}

} // namespace

Test(HttpClient, interimResponsesAreNotTakenForTheResponse)
{
    FixedServer server("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"
                       "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody",
        ConnectionEnd::KeepOpen);
    const auto result = call(server.port());
    cr_assert_eq(result.outcome, http::TransportOutcome::Complete);
    cr_assert_eq(result.response.status, 200);
    cr_assert_eq(result.response.body, "body");
}

Test(HttpClient, responseToAHeadRequestHasNoBody)
{
    FixedServer server("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n", ConnectionEnd::KeepOpen);
    const auto result = call(server.port(), "HEAD");
    cr_assert_eq(result.outcome, http::TransportOutcome::Complete);
    cr_assert_eq(result.response.status, 200);
}

Test(HttpClient, responseWithoutALengthIsCompleteOnlyIfTheConnectionWasClosed)
{
    FixedServer closing("HTTP/1.1 200 OK\r\n\r\nbody", ConnectionEnd::Close);
    const auto complete = call(closing.port());
    cr_assert_eq(complete.outcome, http::TransportOutcome::Complete);
    cr_assert_eq(complete.response.body, "body");
    FixedServer resetting("HTTP/1.1 200 OK\r\n\r\nbody", ConnectionEnd::Reset);
    cr_assert_eq(call(resetting.port()).outcome, http::TransportOutcome::ConnectionLost);
}

Test(HttpClient, callThatIsCancelledWhileDataArrivesEnds)
{
    std::atomic<std::size_t> sent { 0 };
    http::RawServer server([&](http::RawServer::Socket& socket) {
        boost::system::error_code ec;
        std::string request;
        net::read_until(socket, net::dynamic_buffer(request), "\r\n\r\n", ec);
        net::write(socket, net::buffer(std::string("HTTP/1.1 200 OK\r\n\r\n")), ec);
        for (const std::string block(64U << 10U, 'x'); !ec && sent < (1U << 30U); sent += block.size())
            net::write(socket, net::buffer(block), ec);
    });
    const auto clock = systemClock();
    const auto pool = http::IoPool::create(1);
    const auto client = http::Client::create(*pool, *clock);
    std::promise<http::CallResult> done;
    std::shared_ptr<http::Call> httpCall;
    std::size_t received = 0;
    std::size_t receivedAfterCancel = 0;
    http::CallCallbacks callbacks;
    callbacks.onData = [&](std::string_view bytes) {
        received += bytes.size();
        if (received > (1U << 20U))
            receivedAfterCancel += bytes.size();
        if (received > (1U << 20U) && httpCall)
            std::exchange(httpCall, nullptr)->cancel();
    };
    callbacks.onDone = [&](http::CallResult result) { done.set_value(std::move(result)); };
    pool->post([&] {
        const auto deadline = clock->now() + 10s;
        http::CallRequest request { { "127.0.0.1", server.port() }, { "GET", "/", {}, {} }, deadline, deadline };
        request.newConnection = true;
        httpCall = client->start(std::move(request), std::move(callbacks));
    });
    const auto result = done.get_future().get();
    pool->stop();
    cr_assert_eq(result.outcome, http::TransportOutcome::Cancelled);
    cr_assert_lt(receivedAfterCancel, 1U << 20U, "%zu bytes after the cancellation", receivedAfterCancel);
}

Test(HttpClient, traceRequestWithABodyIsSent)
{
    FixedServer server("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody", ConnectionEnd::Close);
    const auto result = call(server.port(), "TRACE", "body");
    cr_assert_eq(result.outcome, http::TransportOutcome::Complete);
    cr_assert_eq(result.response.status, 200);
}

// The write of the request took the error of the connection, and the read saw a regular end: half of a response reached
// the caller as a whole one.
Test(HttpClient, responseWithoutALengthIsNotCompleteIfAResetEndsTheWriteOfItsRequest)
{
    http::RawServer server(
        [](http::RawServer::Socket& socket) { respondEarlyAndReset(socket, "HTTP/1.1 200 OK\r\n\r\nhalf", false); });
    for (const unsigned threads : { 1U, 4U }) {
        for (int i = 0; i < 25; ++i) {
            const auto result = call(server.port(), "POST", longBody, threads);
            cr_assert_eq(result.outcome, http::TransportOutcome::ConnectionLost, "%s", result.response.body.c_str());
        }
    }
}

Test(HttpClient, resetWhileTheRequestIsWrittenIsNoEndOfAResponseAtAnyMoment)
{
    for (const Duration delay : { 0ms, 1ms, 3ms, 10ms, 40ms }) {
        for (const std::size_t bytes : { 9U << 10U, 200U << 10U, 3U << 20U, 16U << 20U }) {
            for (const std::string head :
                { "HTTP/1.1 200 OK\r\n\r\n", "HTTP/1.0 200 OK\r\nConnection: close\r\n\r\n" }) {
                http::RawServer server([&](http::RawServer::Socket& socket) {
                    boost::system::error_code ec;
                    std::string request;
                    net::read_until(socket, net::dynamic_buffer(request), "\r\n\r\n", ec);
                    net::write(socket, net::buffer(head + std::string(2000, 'h')), ec);
                    std::this_thread::sleep_for(delay);
                    socket.set_option(net::socket_base::linger(true, 0), ec);
                });
                for (int i = 0; i < 5; ++i) {
                    const auto result = call(server.port(), "POST", std::string(bytes, 'b'), i % 2 == 0 ? 1 : 4);
                    cr_assert_eq(result.outcome, http::TransportOutcome::ConnectionLost, "%zu bytes", bytes);
                }
            }
        }
    }
}

Test(HttpClient, responseThatEndsInOrderIsCompleteAlthoughItsRequestWasNotRead)
{
    for (const std::string head : { "HTTP/1.1 200 OK\r\n\r\n", "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n" }) {
        http::RawServer server(
            [&](http::RawServer::Socket& socket) { respondEarlyAndReset(socket, head + "whole", true); });
        for (const unsigned threads : { 1U, 4U }) {
            for (int i = 0; i < 25; ++i) {
                const auto result = call(server.port(), "POST", longBody, threads);
                cr_assert_eq(result.outcome, http::TransportOutcome::Complete, "%s", result.detail.c_str());
                cr_assert_eq(result.response.body, "whole");
            }
        }
    }
}

// A server in trouble sent a status of 000, and clients of another system got it as a response.
Test(HttpClient, statusOutsideItsRangeIsNoResponse)
{
    for (const std::string status : { "000", "001", "099", "600", "700", "999", "20", "2000", "-20", "2x0", "" }) {
        for (const std::string end : { "Content-Length: 4\r\n\r\nbody", "\r\nbody" }) {
            std::string response = "HTTP/1.1 ";
            response += status;
            response += " Odd\r\n";
            FixedServer server(response + end, ConnectionEnd::Close);
            const auto result = call(server.port());
            cr_assert_eq(result.outcome, http::TransportOutcome::ConnectionLost, "status %s", status.c_str());
            cr_assert(result.response.body.empty());
        }
    }
    for (const std::string status : { "200", "299", "404", "599" }) {
        FixedServer server("HTTP/1.1 " + status + " Odd\r\nContent-Length: 4\r\n\r\nbody", ConnectionEnd::Close);
        cr_assert_eq(call(server.port()).outcome, http::TransportOutcome::Complete, "status %s", status.c_str());
    }
}

// Clients of other systems got a success with an empty or short body when a server stopped in the head of its response.
Test(HttpClient, responseThatBreaksOffAtAnyByteIsNotComplete)
{
    const std::string head = "HTTP/1.1 200 OK\r\nETag: \"s\"\r\nServer: model\r\n";
    const std::string interim = "HTTP/1.1 100 Continue\r\n\r\n";
    for (const auto& response : {
             head + "Content-Length: 5\r\n\r\nwhole",
             interim + head + "Content-Length: 5\r\n\r\nwhole",
             head + "Transfer-Encoding: chunked\r\n\r\n2;x=y\r\nwh\r\n3\r\nole\r\n0\r\nLast: 1\r\n\r\n",
             head + "\r\n",
         }) {
        for (std::size_t n = 0; n < response.size(); ++n) {
            for (const auto end : { ConnectionEnd::Close, ConnectionEnd::Reset }) {
                FixedServer server(response.substr(0, n), end, 0ms);
                const auto result = call(server.port());
                cr_assert_eq(result.outcome, http::TransportOutcome::ConnectionLost, "outcome %d, %s, %zu bytes of %s",
                    static_cast<int>(result.outcome), result.detail.c_str(), n, response.c_str());
            }
        }
    }
}

// A server that crashed inside of the head of its response could not be told from one that never began to respond.
Test(HttpClient, connectionThatEndsInsideOfTheHeadIsToldApart)
{
    const std::string head = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n";
    for (const auto end : { ConnectionEnd::Close, ConnectionEnd::Reset }) {
        for (const std::size_t n : { std::size_t { 1 }, std::size_t { 20 }, head.size() - 1 })
            cr_assert(call(FixedServer(head.substr(0, n), end).port()).brokeInHead, "%zu bytes", n);
        for (const auto& bytes : { std::string(), head + "bo", std::string("no response at all\r\n\r\n") })
            cr_assert(!call(FixedServer(bytes, end).port()).brokeInHead, "%s", bytes.c_str());
    }
}

// The connection was closed with the response, so a server that reads on after it got a part of the body.
Test(HttpClient, restOfARequestIsSentAfterAnEarlyResponse)
{
    std::promise<std::size_t> received;
    http::RawServer server([&](http::RawServer::Socket& socket) {
        boost::system::error_code ec;
        std::string request;
        const auto headBytes = net::read_until(socket, net::dynamic_buffer(request), "\r\n\r\n", ec);
        net::write(socket, net::buffer(std::string("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody")), ec);
        std::this_thread::sleep_for(50ms);
        // Bytes after the response would reset the connection if the client had closed it.
        net::write(socket, net::buffer(std::string("more")), ec);
        auto n = request.size() - headBytes;
        std::string part(64U << 10U, '\0');
        while (!ec)
            n += socket.read_some(net::buffer(part), ec);
        received.set_value(n);
    });
    const auto clock = systemClock();
    const auto pool = http::IoPool::create(1);
    const auto client = http::Client::create(*pool, *clock);
    std::promise<http::CallResult> done;
    http::CallCallbacks callbacks;
    callbacks.onDone = [&](http::CallResult result) { done.set_value(std::move(result)); };
    const auto deadline = clock->now() + 20s;
    http::CallRequest request { { "127.0.0.1", server.port() }, { "POST", "/", {}, longBody }, deadline, deadline };
    request.newConnection = true;
    client->start(std::move(request), std::move(callbacks));
    cr_assert_eq(done.get_future().get().response.body, "body");
    cr_assert_eq(received.get_future().get(), longBody.size());
    pool->stop();
}
