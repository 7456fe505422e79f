#include "foxtailwheel/base/Clock.h"
#include "foxtailwheel/base/Hash.h"
#include "foxtailwheel/base/Json.h"
#include "foxtailwheel/base/Random.h"
#include "foxtailwheel/config/Settings.h"
#include "foxtailwheel/http/Client.h"
#include "foxtailwheel/standin/Backend.h"

#include <algorithm>
#include <array>
#include <atomic>
#include <condition_variable>
#include <cxxopts.hpp>
#include <iostream>
#include <mutex>
#include <sstream>
#include <thread>

namespace {

using namespace foxtailwheel;
using namespace std::chrono_literals;
using nlohmann::json;

constexpr Duration requestTimeout = 60s;
constexpr std::uint64_t maxTokens = 12;

/// Number of requests by outcome.
struct OutcomeCounts {
    std::atomic<std::uint64_t> correct { 0 };
    std::atomic<std::uint64_t> notRun { 0 };
    std::atomic<std::uint64_t> unknown { 0 };
    std::atomic<std::uint64_t> truncated { 0 }; ///< The connection closed before the response was complete.
    std::atomic<std::uint64_t> notSent { 0 };
    std::atomic<std::uint64_t> mismatched { 0 }; ///< The response is complete but does not match the request.
};

/// Blocks until every request that was added is done.
class WaitGroup {
public:
    void add()
    {
        const std::lock_guard lock(m_mutex);
        ++m_pending;
    }
    void done()
    {
        const std::lock_guard lock(m_mutex);
        if (--m_pending == 0)
            m_changed.notify_all();
    }
    void wait()
    {
        std::unique_lock lock(m_mutex);
        m_changed.wait(lock, [this] { return m_pending == 0; });
    }

private:
    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::size_t m_pending = 0;
};

enum class RequestKind { Unary, Streaming, Portal, Booking };

std::string makePrompt(std::uint64_t n)
{
    return "request number " + std::to_string(n);
}

json makeBody(RequestKind kind, std::uint64_t n)
{
    if (kind == RequestKind::Unary || kind == RequestKind::Streaming)
        return { { "prompt", makePrompt(n) }, { "max_tokens", maxTokens } };
    return { { "order", n }, { "nets", n % 7 } };
}

/// Returns the text of a streamed response; empty unless the stream contains the `done` event and no token is missing
/// or duplicated.
std::string streamedText(const std::string& events)
{
    std::istringstream lines(events);
    std::string text;
    std::uint64_t next = 0;
    bool done = false;
    std::string event;
    for (std::string line; std::getline(lines, line);) {
        if (line.starts_with("event: "))
            event = line.substr(7);
        if (!line.starts_with("data: "))
            continue;
        const auto data = json::parse(line.substr(6), nullptr, false);
        if (event == "tokens" && unsignedAt(data, "offset") != next)
            return {};
        next += unsignedAt(data, "count");
        text += textAt(data, "text");
        done = done || event == "done";
    }
    return done ? text : std::string();
}

bool isExpectedResponse(RequestKind kind, std::uint64_t n, const std::string& body)
{
    const auto expected = standin::generatedText(json(makePrompt(n)).dump(), maxTokens);
    if (kind == RequestKind::Streaming)
        return streamedText(body) == expected;
    const auto response = json::parse(body, nullptr, false);
    if (!response.is_object() || !response.contains("result"))
        return false;
    if (kind == RequestKind::Unary)
        return response["result"] == expected;
    return response["result"].is_object() && response["result"].value("echo", json()) == makeBody(kind, n);
}

class LoadGenerator {
public:
    LoadGenerator(std::vector<config::Endpoint> callerEndpoints, std::string credential)
        : m_callerEndpoints(std::move(callerEndpoints))
        , m_credential(std::move(credential))
    {
    }
    ~LoadGenerator() { m_pool->stop(); }
    LoadGenerator(const LoadGenerator&) = delete;
    LoadGenerator& operator=(const LoadGenerator&) = delete;

    int runCheck(std::uint64_t requests);
    int runSustained(Duration duration, double requestsPerSecond);
    int measureLatency(const config::Endpoint& backend, std::uint64_t requests);
    int measureThroughput(Duration duration, std::size_t concurrency);

private:
    void startRequest(const config::Endpoint& endpoint, RequestKind kind, std::uint64_t n);
    void onRequestDone(RequestKind kind, std::uint64_t n, const http::CallResult& result, const std::string& streamed);
    Duration measureRequest(const config::Endpoint& endpoint, const std::string& target, const std::string& body);
    void repeatRequests(const config::Endpoint& endpoint, TimePoint deadline);
    int printCounts() const;
    bool isReady(const config::Endpoint& endpoint);

    std::vector<config::Endpoint> m_callerEndpoints;
    std::string m_credential;
    std::unique_ptr<Clock> m_clock = systemClock();
    std::unique_ptr<http::IoPool> m_pool = http::IoPool::create(2);
    std::unique_ptr<http::Client> m_client = http::Client::create(*m_pool, *m_clock);
    WaitGroup m_requestsInProgress;
    OutcomeCounts m_counts;
};

void LoadGenerator::startRequest(const config::Endpoint& endpoint, RequestKind kind, std::uint64_t n)
{
    constexpr std::array<const char*, 4> pipelines { "answer", "answer", "portal", "book" };
    m_requestsInProgress.add();
    const auto deadline = m_clock->now() + requestTimeout;
    http::Request request { "POST",
        std::string("/v1/pipelines/") + pipelines.at(static_cast<std::size_t>(kind)) + "/runs", {},
        makeBody(kind, n).dump() };
    request.headers.push_back({ "Authorization", "Bearer " + m_credential });
    if (kind == RequestKind::Booking)
        request.headers.push_back({ "Idempotency-Key", "order-" + std::to_string(n) });
    if (kind == RequestKind::Streaming)
        request.headers.push_back({ "Accept", "text/event-stream" });
    auto streamed = std::make_shared<std::string>();
    http::CallCallbacks callbacks;
    if (kind == RequestKind::Streaming)
        callbacks.onData = [streamed](std::string_view chunk) { streamed->append(chunk); };
    callbacks.onDone
        = [this, kind, n, streamed](const http::CallResult& result) { onRequestDone(kind, n, result, *streamed); };
    m_client->start(
        { endpoint, std::move(request), deadline, deadline, kind != RequestKind::Booking }, std::move(callbacks));
}

void LoadGenerator::onRequestDone(
    RequestKind kind, std::uint64_t n, const http::CallResult& result, const std::string& streamed)
{
    if (result.outcome == http::TransportOutcome::NotSent)
        ++m_counts.notSent;
    else if (result.outcome != http::TransportOutcome::Complete)
        ++m_counts.truncated;
    else if (result.response.status == 200)
        ++(isExpectedResponse(kind, n, kind == RequestKind::Streaming ? streamed : result.response.body)
                ? m_counts.correct
                : m_counts.mismatched);
    else if (textAt(json::parse(result.response.body, nullptr, false), "outcome") == "not_run")
        ++m_counts.notRun;
    else
        ++m_counts.unknown;
    m_requestsInProgress.done();
}

int LoadGenerator::printCounts() const
{
    std::cout << "whole " << m_counts.correct << ", not run " << m_counts.notRun << ", unknown " << m_counts.unknown
              << ", cut " << m_counts.truncated << ", not sent " << m_counts.notSent << ", wrong "
              << m_counts.mismatched << std::endl;
    return m_counts.mismatched + m_counts.truncated == 0 ? 0 : 1;
}

int LoadGenerator::runCheck(std::uint64_t requests)
{
    for (std::uint64_t n = 0; n < requests; ++n)
        startRequest(m_callerEndpoints[n % m_callerEndpoints.size()], static_cast<RequestKind>(n % 4), n);
    m_requestsInProgress.wait();
    const int code = printCounts();
    return m_counts.correct == requests ? code : 1;
}

bool LoadGenerator::isReady(const config::Endpoint& endpoint)
{
    std::mutex mutex;
    std::condition_variable changed;
    int status = -1;
    const auto deadline = m_clock->now() + 200ms;
    http::CallCallbacks callbacks;
    callbacks.onDone = [&](const http::CallResult& result) {
        const std::lock_guard lock(mutex);
        status = result.outcome == http::TransportOutcome::Complete ? static_cast<int>(result.response.status) : 0;
        changed.notify_all();
    };
    m_client->start({ endpoint, { "GET", "/readyz", {}, {} }, deadline, deadline, false }, std::move(callbacks));
    std::unique_lock lock(mutex);
    changed.wait(lock, [&] { return status >= 0; });
    return status == 200;
}

/// Sends at a constant rate to the ready instances. Readiness is probed every 100 ms, as the platform's load balancer
/// does.
int LoadGenerator::runSustained(Duration duration, double requestsPerSecond)
{
    const auto deadline = m_clock->now() + duration;
    std::vector<config::Endpoint> readyEndpoints;
    TimePoint nextProbe {};
    std::uint64_t n = 0;
    while (m_clock->now() < deadline) {
        if (m_clock->now() >= nextProbe) {
            readyEndpoints.clear();
            for (const auto& it : m_callerEndpoints) {
                if (isReady(it))
                    readyEndpoints.push_back(it);
            }
            nextProbe = m_clock->now() + 100ms;
        }
        if (!readyEndpoints.empty())
            startRequest(readyEndpoints[n % readyEndpoints.size()], static_cast<RequestKind>(n % 4), n);
        ++n;
        std::this_thread::sleep_for(fromSeconds(1 / requestsPerSecond));
    }
    m_requestsInProgress.wait();
    const int code = printCounts();
    return m_counts.notRun + m_counts.unknown + m_counts.notSent == 0 ? code : 1;
}

Duration LoadGenerator::measureRequest(
    const config::Endpoint& endpoint, const std::string& target, const std::string& body)
{
    std::mutex mutex;
    std::condition_variable changed;
    bool done = false;
    const auto startTime = m_clock->now();
    http::Request request { "POST", target, { { "Authorization", "Bearer " + m_credential } }, body };
    http::CallCallbacks callbacks;
    callbacks.onDone = [&](const http::CallResult& /*result*/) {
        const std::lock_guard lock(mutex);
        done = true;
        changed.notify_all();
    };
    m_client->start({ endpoint, std::move(request), startTime + requestTimeout, startTime + requestTimeout, true },
        std::move(callbacks));
    std::unique_lock lock(mutex);
    changed.wait(lock, [&] { return done; });
    return m_clock->now() - startTime;
}

/// Alternates between calling the backend directly and through an instance, one request at a time.
int LoadGenerator::measureLatency(const config::Endpoint& backend, std::uint64_t requests)
{
    const std::string body = R"({"order": 1})";
    std::vector<Duration> directTimes;
    std::vector<Duration> proxiedTimes;
    for (std::uint64_t n = 0; n < requests; ++n) {
        directTimes.push_back(measureRequest(backend, "/v1/call", R"({"request": {"order": 1}, "inputs": {}})"));
        proxiedTimes.push_back(measureRequest(m_callerEndpoints.front(), "/v1/pipelines/portal/runs", body));
    }
    std::sort(directTimes.begin(), directTimes.end());
    std::sort(proxiedTimes.begin(), proxiedTimes.end());
    const auto percentile = [requests](const std::vector<Duration>& times, double quantile) {
        return toMilliseconds(times[static_cast<std::size_t>(quantile * static_cast<double>(requests - 1))]);
    };
    std::cout << "direct  median " << percentile(directTimes, 0.5) << " ms, 99th " << percentile(directTimes, 0.99)
              << " ms\n"
              << "through median " << percentile(proxiedTimes, 0.5) << " ms, 99th " << percentile(proxiedTimes, 0.99)
              << " ms\n"
              << "added   median " << percentile(proxiedTimes, 0.5) - percentile(directTimes, 0.5) << " ms, 99th "
              << percentile(proxiedTimes, 0.99) - percentile(directTimes, 0.99) << " ms" << std::endl;
    return 0;
}

void LoadGenerator::repeatRequests(const config::Endpoint& endpoint, TimePoint deadline)
{
    m_requestsInProgress.add();
    const auto now = m_clock->now();
    http::Request request { "POST", "/v1/pipelines/portal/runs", { { "Authorization", "Bearer " + m_credential } },
        R"({"order": 1})" };
    http::CallCallbacks callbacks;
    callbacks.onDone = [this, endpoint, deadline](const http::CallResult& result) {
        ++(result.outcome == http::TransportOutcome::Complete && result.response.status == 200 ? m_counts.correct
                                                                                               : m_counts.notRun);
        if (m_clock->now() < deadline)
            repeatRequests(endpoint, deadline);
        m_requestsInProgress.done();
    };
    m_client->start(
        { endpoint, std::move(request), now + requestTimeout, now + requestTimeout, true }, std::move(callbacks));
}

/// Keeps `concurrency` requests in progress on one instance and prints the throughput.
int LoadGenerator::measureThroughput(Duration duration, std::size_t concurrency)
{
    const auto startTime = m_clock->now();
    for (std::size_t i = 0; i < concurrency; ++i)
        repeatRequests(m_callerEndpoints.front(), startTime + duration);
    m_requestsInProgress.wait();
    std::cout << static_cast<double>(m_counts.correct) / toSeconds(m_clock->now() - startTime) << " requests/s, "
              << m_counts.correct << " answered, " << m_counts.notRun << " not" << std::endl;
    return 0;
}

/// Returns what is wrong with the options; empty if nothing is.
std::string findOptionError(const cxxopts::ParseResult& args)
{
    constexpr std::array<std::string_view, 4> modes { "check", "sustain", "latency", "throughput" };
    const auto mode = args["mode"].as<std::string>();
    if (std::find(modes.begin(), modes.end(), mode) == modes.end())
        return "--mode: '" + mode + "' is none of check, sustain, latency and throughput";
    if (args["requests"].as<std::uint64_t>() == 0 || args["seconds"].as<unsigned>() == 0
        || args["at-once"].as<std::size_t>() == 0 || !(args["rate"].as<double>() > 0))
        return "--requests, --seconds, --rate and --at-once must be positive";
    if (args.count("credential") == 0)
        return "--credential is missing";
    config::Endpoint backend;
    if (mode == "latency" && !config::parseEndpoint(args["direct"].as<std::string>(), backend))
        return "--direct: '" + args["direct"].as<std::string>() + "' is not an address IP:PORT";
    return {};
}

int run(const cxxopts::ParseResult& args)
{
    if (const auto error = findOptionError(args); !error.empty()) {
        std::cerr << "foxtailwheel-load: " << error << "\n";
        return 2;
    }
    std::vector<config::Endpoint> callerEndpoints;
    for (const auto& it : args["callers"].as<std::vector<std::string>>()) {
        config::Endpoint endpoint;
        if (!config::parseEndpoint(it, endpoint) || !endpoint.host.starts_with("127.")) {
            std::cerr << "foxtailwheel-load: '" << it << "' is not a loopback address IP:PORT\n";
            return 2;
        }
        callerEndpoints.push_back(endpoint);
    }
    LoadGenerator generator(callerEndpoints, args["credential"].as<std::string>());
    const auto mode = args["mode"].as<std::string>();
    const auto requests = std::min<std::uint64_t>(args["requests"].as<std::uint64_t>(), 100000);
    const auto duration = std::min<Duration>(std::chrono::seconds(args["seconds"].as<unsigned>()), 5min);
    if (mode == "check")
        return generator.runCheck(requests);
    if (mode == "sustain")
        return generator.runSustained(duration, args["rate"].as<double>());
    if (mode == "throughput")
        return generator.measureThroughput(duration, args["at-once"].as<std::size_t>());
    config::Endpoint backend;
    config::parseEndpoint(args["direct"].as<std::string>(), backend);
    return generator.measureLatency(backend, requests);
}

} // namespace

int main(int argc, char** argv)
{
    cxxopts::Options options(
        "foxtailwheel-load", "Sends a bounded load to instances on loopback and validates the responses.\n");
    options.add_options()("callers", "addresses of the caller APIs, IP:PORT",
        cxxopts::value<std::vector<std::string>>())("credential", "credential of a client account",
        cxxopts::value<std::string>())("mode", "check, sustain, latency or throughput",
        cxxopts::value<std::string>()->default_value("check"))("requests", "number of requests (check, latency)",
        cxxopts::value<std::uint64_t>()->default_value("1000"))("seconds", "duration in seconds (sustain, throughput)",
        cxxopts::value<unsigned>()->default_value("10"))("rate", "requests per second (sustain)",
        cxxopts::value<double>()->default_value("200"))("at-once", "concurrent requests (throughput)",
        cxxopts::value<std::size_t>()->default_value("32"))("direct", "address of a backend stand-in (latency)",
        cxxopts::value<std::string>()->default_value(""))("h,help", "print this help");
    try {
        const auto args = options.parse(argc, argv);
        if (args.count("help") > 0 || args.count("callers") == 0) {
            std::cout << options.help();
            return args.count("help") > 0 ? 0 : 2;
        }
        return run(args);
    } catch (const cxxopts::exceptions::exception& ex) {
        std::cerr << "foxtailwheel-load: " << ex.what() << "\n";
        return 2;
    }
}
