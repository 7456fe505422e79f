#include "RawServer.h"
#include "foxtailwheel/http/Client.h"

#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <criterion/criterion.h>
#include <future>

using namespace foxtailwheel;
using namespace std::chrono_literals;

namespace {

namespace net = boost::asio;

/// Server that answers each request with its target and, when it has read the next request of a connection, sends the
/// previous answer once more before the own one.
class CopyingServer {
public:
    explicit CopyingServer(bool identifies)
        : m_identifies(identifies)
    {
    }

    std::uint16_t port() const { return m_server.port(); }
    int connections() const { return m_server.connections(); }

private:
    void serve(http::RawServer::Socket& socket) const
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
    http::RawServer m_server { [this](http::RawServer::Socket& socket) { serve(socket); } };
};

/// Server that identifies its responses, and writes a refusal without an id before the second one of a connection.
class RefusingServer {
public:
    std::uint16_t port() const { return m_server.port(); }

private:
    static void serve(http::RawServer::Socket& socket)
    {
        static const std::string refusal = "HTTP/1.1 503 Full\r\nX-Not-Started: 1\r\nContent-Length: 0\r\n\r\n";
        std::string received;
        for (int requests = 1;; ++requests) {
            boost::system::error_code ec;
            const auto n = net::read_until(socket, net::dynamic_buffer(received), "\r\n\r\n", ec);
            if (ec)
                return;
            const auto at = received.find("Request-Id: ");
            const auto id = received.substr(at, received.find("\r\n", at) + 2 - at);
            received.erase(0, n);
            const auto response = "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n" + id + "\r\nx";
            net::write(socket, net::buffer((requests == 2 ? refusal : "") + response), ec);
        }
    }

    http::RawServer m_server { serve };
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

// A refusal of an earlier request was taken for the response to the next one, which the server ran.
Test(HttpClient, responseWithoutAnIdOnAReusedConnectionIsNotTaken)
{
    RefusingServer server;
    int complete = 0;
    for (const auto& it : callInTurn(server.port(), 10)) {
        if (it.outcome != http::TransportOutcome::Complete)
            continue;
        ++complete;
        cr_assert_eq(it.response.status, 200);
    }
    cr_assert_geq(complete, 5);
}

Test(HttpClient, interimResponsesWithTheIdOfTheRequestAreSkipped)
{
    http::RawServer server([](http::RawServer::Socket& socket) {
        std::string received;
        boost::system::error_code ec;
        net::read_until(socket, net::dynamic_buffer(received), "\r\n\r\n", ec);
        const std::string response = "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n"
                                     "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx";
        if (!ec)
            net::write(socket, net::buffer(response), ec);
    });
    const auto results = callInTurn(server.port(), 1);
    cr_assert(results[0].outcome == http::TransportOutcome::Complete);
    cr_assert_eq(results[0].response.status, 200);
    cr_assert_eq(results[0].response.body, "x");
}
