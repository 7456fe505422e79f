#include "RawServer.h"
#include "foxtailwheel/base/File.h"
#include "foxtailwheel/http/Client.h"

#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <criterion/criterion.h>
#include <future>

using namespace foxtailwheel;
using namespace std::chrono_literals;

namespace {

namespace net = boost::asio;

/// Bytes that the kernel may hold between the server and the client.
constexpr std::size_t maxSocketBytes = std::size_t { 16 } << 20U;
constexpr std::size_t givenUpAfter = std::size_t { 256 } << 20U;
#ifdef __SANITIZE_ADDRESS__
constexpr bool keepsFreedMemory = true;
#else
constexpr bool keepsFreedMemory = false;
#endif
constexpr std::size_t bodyLimit = std::size_t { 1 } << 20U;

/// Server that reads requests and answers each with a prefix and then the same bytes until the client closes.
class EndlessServer {
public:
    EndlessServer(std::string prefix, std::string repeated)
        : m_prefix(std::move(prefix))
        , m_repeated(std::move(repeated))
    {
        while (m_repeated.size() < (std::size_t { 16 } << 10U))
            m_repeated += m_repeated;
    }

    std::uint16_t port() const { return m_server.port(); }
    /// Bytes that the client or the kernel has taken, over all connections.
    std::size_t sentBytes() const { return m_sentBytes; }

private:
    void serve(http::RawServer::Socket& socket)
    {
        boost::system::error_code ec;
        std::string request;
        net::read_until(socket, net::dynamic_buffer(request), "\r\n\r\n", ec);
        net::write(socket, net::buffer(m_prefix), ec);
        for (std::size_t sent = 0; !ec && sent < givenUpAfter; sent += m_repeated.size()) {
            net::write(socket, net::buffer(m_repeated), ec);
            m_sentBytes += m_repeated.size();
        }
    }

    std::string m_prefix;
    std::string m_repeated;
    std::atomic<std::size_t> m_sentBytes { 0 };
    http::RawServer m_server { [this](http::RawServer::Socket& socket) { serve(socket); } };
};

struct ClientFixture {
    explicit ClientFixture(const http::ClientOptions& options = {})
        : client(http::Client::create(*pool, *clock, options))
    {
    }
    ~ClientFixture() { pool->stop(); }
    ClientFixture(const ClientFixture&) = delete;
    ClientFixture& operator=(const ClientFixture&) = delete;

    std::future<http::CallResult> start(std::uint16_t port, std::uint64_t maxBodyBytes)
    {
        const auto deadline = clock->now() + 30s;
        http::CallRequest request { { "127.0.0.1", port }, { "GET", "/", {}, {} }, deadline, deadline };
        request.maxBodyBytes = maxBodyBytes;
        auto done = std::make_shared<std::promise<http::CallResult>>();
        http::CallCallbacks callbacks;
        callbacks.onDone = [done](http::CallResult result) { done->set_value(std::move(result)); };
        client->start(std::move(request), std::move(callbacks));
        return done->get_future();
    }

    std::unique_ptr<Clock> clock = systemClock();
    std::unique_ptr<http::IoPool> pool = http::IoPool::create(2);
    std::unique_ptr<http::Client> client;
};

/// Largest resident size of this process so far, in bytes.
std::size_t peakMemory()
{
    const auto status = readFile("/proc/self/status").value();
    const auto at = status.find("VmHWM:");
    return std::stoul(status.substr(at + 6)) * 1024;
}

struct EndlessCase {
    const char* name;
    std::string prefix;
    std::string repeated;
};

const std::vector<EndlessCase> endlessCases {
    { "status line", "HTTP/1.1 200 ", "x" },
    { "bytes that are no response", "", "\x01\x02" },
    { "header field", "HTTP/1.1 200 OK\r\nX: ", "x" },
    { "header fields", "HTTP/1.1 200 OK\r\n", "X: y\r\n" },
    { "body without length", "HTTP/1.1 200 OK\r\n\r\n", "x" },
    { "body with length", "HTTP/1.1 200 OK\r\nContent-Length: 99999999999\r\n\r\n", "x" },
    { "chunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "4\r\nabcd\r\n" },
    { "chunk size", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "0" },
    { "chunk extension", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4;a=", "x" },
    { "trailer", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "X: y\r\n" },
    { "interim responses", "", "HTTP/1.1 100 Continue\r\n\r\n" },
};

} // namespace

Test(HttpClient, endlessResponsesEndAtTheirBound)
{
    for (const auto& it : endlessCases) {
        EndlessServer server(it.prefix, it.repeated);
        ClientFixture fixture;
        auto future = fixture.start(server.port(), bodyLimit);
        cr_assert(future.wait_for(20s) == std::future_status::ready, "%s", it.name);
        const auto result = future.get();
        cr_assert(result.outcome == http::TransportOutcome::ConnectionLost, "%s", it.name);
        cr_assert_leq(result.response.body.size(), bodyLimit, "%s", it.name);
        cr_assert_lt(server.sentBytes(), bodyLimit + maxSocketBytes, "%s: %zu bytes", it.name, server.sentBytes());
    }
}

Test(HttpClient, endlessResponsesOfManyCallsStayWithinTheLimitOfAll)
{
    constexpr std::size_t maxBufferedBytes = std::size_t { 8 } << 20U;
    EndlessServer server("HTTP/1.1 200 OK\r\n\r\n", "x");
    ClientFixture fixture(http::ClientOptions { maxBufferedBytes });
    const auto before = peakMemory();
    std::vector<std::future<http::CallResult>> results;
    for (int i = 0; i < 16; ++i)
        results.push_back(fixture.start(server.port(), std::uint64_t { 32 } << 20U));
    for (auto& it : results) {
        cr_assert(it.wait_for(30s) == std::future_status::ready);
        cr_assert(it.get().outcome == http::TransportOutcome::ConnectionLost);
    }
    // Beside the bodies, each connection has buffers. The address sanitizer keeps freed memory resident, so only the
    // other builds can check this.
    if (!keepsFreedMemory)
        cr_assert_lt(peakMemory() - before, 2 * maxBufferedBytes, "%zu KB", (peakMemory() - before) / 1024);
}

Test(HttpClient, otherCallsAreServedBesideAnEndlessResponse)
{
    EndlessServer endless("HTTP/1.1 200 OK\r\n\r\n", "x");
    EndlessServer sound("HTTP/1.1 200 OK\r\nContent-Length: 40000\r\n\r\n", "y");
    ClientFixture fixture(http::ClientOptions { std::size_t { 1 } << 20U });
    auto largest = fixture.start(endless.port(), std::uint64_t { 64 } << 20U);
    for (int i = 0; i < 20; ++i) {
        auto result = fixture.start(sound.port(), bodyLimit).get();
        cr_assert(result.outcome == http::TransportOutcome::Complete, "%s", result.detail.c_str());
        cr_assert_eq(result.response.body, std::string(40000, 'y'));
    }
    cr_assert(largest.get().outcome == http::TransportOutcome::ConnectionLost);
}
