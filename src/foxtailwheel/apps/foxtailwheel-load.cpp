#include "foxtailwheel/base/Clock.h"
#include "foxtailwheel/base/Hash.h"
#include "foxtailwheel/base/Json.h"
#include "foxtailwheel/base/Random.h"
#include "foxtailwheel/config/Settings.h"
#include "foxtailwheel/http/Client.h"
#include "foxtailwheel/standin/Backend.h"

#include <algorithm>
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

constexpr Duration callTimeout = 60s;
constexpr std::uint64_t tokensAsked = 12;

/// What became of all requests.
struct Counts {
    std::atomic<std::uint64_t> whole { 0 };
    std::atomic<std::uint64_t> notRun { 0 };
    std::atomic<std::uint64_t> unknown { 0 };
    std::atomic<std::uint64_t> cut { 0 }; ///< The connection ended within an answer.
    std::atomic<std::uint64_t> unsent { 0 };
    std::atomic<std::uint64_t> wrong { 0 }; ///< Whole, but not the answer to this request.
};

/// Counts down requests in progress.
class Latch {
public:
    void add()
    {
        const std::lock_guard lock(m_mutex);
        ++m_open;
    }
    void done()
    {
        const std::lock_guard lock(m_mutex);
        if (--m_open == 0)
            m_changed.notify_all();
    }
    void wait()
    {
        std::unique_lock lock(m_mutex);
        m_changed.wait(lock, [this] { return m_open == 0; });
    }

private:
    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::size_t m_open = 0;
};

enum class Kind { Whole, Stream, Portal, Booking };

std::string promptOf(std::uint64_t n)
{
    return "request number " + std::to_string(n);
}

json bodyOf(Kind kind, std::uint64_t n)
{
    if (kind == Kind::Whole || kind == Kind::Stream)
        return { { "prompt", promptOf(n) }, { "max_tokens", tokensAsked } };
    return { { "order", n }, { "nets", n % 7 } };
}

/// Text of a streamed answer; empty unless it ended by its own end mark and no token is missing or doubled.
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
        if (event == "tokens" && countAt(data, "offset") != next)
            return {};
        next += countAt(data, "count");
        text += textAt(data, "text");
        done = done || event == "done";
    }
    return done ? text : std::string();
}

bool isRight(Kind kind, std::uint64_t n, const std::string& body)
{
    const auto wanted = standin::textOf(json(promptOf(n)).dump(), tokensAsked);
    if (kind == Kind::Stream)
        return streamedText(body) == wanted;
    const auto answer = json::parse(body, nullptr, false);
    if (!answer.is_object() || !answer.contains("result"))
        return false;
    if (kind == Kind::Whole)
        return answer["result"] == wanted;
    return answer["result"].is_object() && answer["result"].value("echo", json()) == bodyOf(kind, n);
}

class Load {
public:
    Load(std::vector<config::Endpoint> callers, std::string credential)
        : m_callers(std::move(callers))
        , m_credential(std::move(credential))
    {
    }
    ~Load() { m_pool->stop(); }
    Load(const Load&) = delete;
    Load& operator=(const Load&) = delete;

    int check(std::uint64_t requests);
    int sustain(Duration length, double perSecond);
    int latency(const config::Endpoint& direct, std::uint64_t requests);
    int throughput(Duration length, std::size_t atOnce);

private:
    void start(const config::Endpoint& to, Kind kind, std::uint64_t n);
    void ended(Kind kind, std::uint64_t n, const http::CallResult& result, const std::string& streamed);
    Duration timed(const config::Endpoint& to, const std::string& target, const std::string& body);
    void keepBusy(const config::Endpoint& to, TimePoint until);
    int report() const;
    bool ready(const config::Endpoint& to);

    std::vector<config::Endpoint> m_callers;
    std::string m_credential;
    std::unique_ptr<Clock> m_clock = systemClock();
    std::unique_ptr<http::IoPool> m_pool = http::IoPool::create(2);
    std::unique_ptr<http::Client> m_client = http::Client::create(*m_pool, *m_clock);
    Latch m_latch;
    Counts m_counts;
};

void Load::start(const config::Endpoint& to, Kind kind, std::uint64_t n)
{
    constexpr std::array<const char*, 4> pipelines { "answer", "answer", "portal", "book" };
    m_latch.add();
    const auto until = m_clock->now() + callTimeout;
    http::Request request { "POST",
        std::string("/v1/pipelines/") + pipelines.at(static_cast<std::size_t>(kind)) + "/runs", {},
        bodyOf(kind, n).dump() };
    request.headers.push_back({ "Authorization", "Bearer " + m_credential });
    if (kind == Kind::Booking)
        request.headers.push_back({ "Idempotency-Key", "order-" + std::to_string(n) });
    if (kind == Kind::Stream)
        request.headers.push_back({ "Accept", "text/event-stream" });
    auto streamed = std::make_shared<std::string>();
    http::CallEvents events;
    if (kind == Kind::Stream)
        events.onData = [streamed](std::string_view chunk) { streamed->append(chunk); };
    events.onDone = [this, kind, n, streamed](const http::CallResult& result) { ended(kind, n, result, *streamed); };
    m_client->start({ to, std::move(request), until, until, kind != Kind::Booking }, std::move(events));
}

void Load::ended(Kind kind, std::uint64_t n, const http::CallResult& result, const std::string& streamed)
{
    if (result.end == http::CallEnd::NotSent)
        ++m_counts.unsent;
    else if (result.end != http::CallEnd::Complete)
        ++m_counts.cut;
    else if (result.response.status == 200)
        ++(isRight(kind, n, kind == Kind::Stream ? streamed : result.response.body) ? m_counts.whole : m_counts.wrong);
    else if (textAt(json::parse(result.response.body, nullptr, false), "outcome") == "not_run")
        ++m_counts.notRun;
    else
        ++m_counts.unknown;
    m_latch.done();
}

int Load::report() const
{
    std::cout << "whole " << m_counts.whole << ", not run " << m_counts.notRun << ", unknown " << m_counts.unknown
              << ", cut " << m_counts.cut << ", not sent " << m_counts.unsent << ", wrong " << m_counts.wrong
              << std::endl;
    return m_counts.wrong + m_counts.cut == 0 ? 0 : 1;
}

int Load::check(std::uint64_t requests)
{
    for (std::uint64_t n = 0; n < requests; ++n)
        start(m_callers[n % m_callers.size()], static_cast<Kind>(n % 4), n);
    m_latch.wait();
    const int code = report();
    return m_counts.whole == requests ? code : 1;
}

bool Load::ready(const config::Endpoint& to)
{
    std::mutex mutex;
    std::condition_variable changed;
    int status = -1;
    const auto until = m_clock->now() + 200ms;
    http::CallEvents events;
    events.onDone = [&](const http::CallResult& result) {
        const std::lock_guard lock(mutex);
        status = result.end == http::CallEnd::Complete ? static_cast<int>(result.response.status) : 0;
        changed.notify_all();
    };
    m_client->start({ to, { "GET", "/readyz", {}, {} }, until, until, false }, std::move(events));
    std::unique_lock lock(mutex);
    changed.wait(lock, [&] { return status >= 0; });
    return status == 200;
}

/// Sends at a steady rate to the instances that are ready, as the platform's balancer does, which looks each 100 ms.
int Load::sustain(Duration length, double perSecond)
{
    const auto until = m_clock->now() + length;
    std::vector<config::Endpoint> usable;
    TimePoint lookAt {};
    std::uint64_t n = 0;
    while (m_clock->now() < until) {
        if (m_clock->now() >= lookAt) {
            usable.clear();
            for (const auto& it : m_callers) {
                if (ready(it))
                    usable.push_back(it);
            }
            lookAt = m_clock->now() + 100ms;
        }
        if (!usable.empty())
            start(usable[n % usable.size()], static_cast<Kind>(n % 4), n);
        ++n;
        std::this_thread::sleep_for(fromSeconds(1 / perSecond));
    }
    m_latch.wait();
    const int code = report();
    return m_counts.notRun + m_counts.unknown + m_counts.unsent == 0 ? code : 1;
}

Duration Load::timed(const config::Endpoint& to, const std::string& target, const std::string& body)
{
    std::mutex mutex;
    std::condition_variable changed;
    bool done = false;
    const auto since = m_clock->now();
    http::Request request { "POST", target, { { "Authorization", "Bearer " + m_credential } }, body };
    http::CallEvents events;
    events.onDone = [&](const http::CallResult& /*result*/) {
        const std::lock_guard lock(mutex);
        done = true;
        changed.notify_all();
    };
    m_client->start({ to, std::move(request), since + callTimeout, since + callTimeout, true }, std::move(events));
    std::unique_lock lock(mutex);
    changed.wait(lock, [&] { return done; });
    return m_clock->now() - since;
}

/// Calls the backend directly and through an instance in turn, one at a time.
int Load::latency(const config::Endpoint& direct, std::uint64_t requests)
{
    const std::string body = R"({"order": 1})";
    std::vector<Duration> alone;
    std::vector<Duration> through;
    for (std::uint64_t n = 0; n < requests; ++n) {
        alone.push_back(timed(direct, "/v1/call", R"({"request": {"order": 1}, "inputs": {}})"));
        through.push_back(timed(m_callers.front(), "/v1/pipelines/portal/runs", body));
    }
    std::sort(alone.begin(), alone.end());
    std::sort(through.begin(), through.end());
    const auto at = [requests](const std::vector<Duration>& times, double q) {
        return toMilliseconds(times[static_cast<std::size_t>(q * static_cast<double>(requests - 1))]);
    };
    std::cout << "direct  median " << at(alone, 0.5) << " ms, 99th " << at(alone, 0.99) << " ms\n"
              << "through median " << at(through, 0.5) << " ms, 99th " << at(through, 0.99) << " ms\n"
              << "added   median " << at(through, 0.5) - at(alone, 0.5) << " ms, 99th "
              << at(through, 0.99) - at(alone, 0.99) << " ms" << std::endl;
    return 0;
}

void Load::keepBusy(const config::Endpoint& to, TimePoint until)
{
    m_latch.add();
    const auto now = m_clock->now();
    http::Request request { "POST", "/v1/pipelines/portal/runs", { { "Authorization", "Bearer " + m_credential } },
        R"({"order": 1})" };
    http::CallEvents events;
    events.onDone = [this, to, until](const http::CallResult& result) {
        ++(result.end == http::CallEnd::Complete && result.response.status == 200 ? m_counts.whole : m_counts.notRun);
        if (m_clock->now() < until)
            keepBusy(to, until);
        m_latch.done();
    };
    m_client->start({ to, std::move(request), now + callTimeout, now + callTimeout, true }, std::move(events));
}

/// Keeps `atOnce` requests in progress at one instance.
int Load::throughput(Duration length, std::size_t atOnce)
{
    const auto since = m_clock->now();
    for (std::size_t i = 0; i < atOnce; ++i)
        keepBusy(m_callers.front(), since + length);
    m_latch.wait();
    std::cout << static_cast<double>(m_counts.whole) / toSeconds(m_clock->now() - since) << " requests/s, "
              << m_counts.whole << " answered, " << m_counts.notRun << " not" << std::endl;
    return 0;
}

int run(const cxxopts::ParseResult& args)
{
    std::vector<config::Endpoint> callers;
    for (const auto& it : args["callers"].as<std::vector<std::string>>()) {
        config::Endpoint endpoint;
        if (!config::parseEndpoint(it, endpoint) || !endpoint.host.starts_with("127.")) {
            std::cerr << "foxtailwheel-load: '" << it << "' is not an address of the loopback range\n";
            return 2;
        }
        callers.push_back(endpoint);
    }
    Load load(callers, args["credential"].as<std::string>());
    const auto mode = args["mode"].as<std::string>();
    const auto requests = std::min<std::uint64_t>(args["requests"].as<std::uint64_t>(), 100000);
    const auto length = std::min<Duration>(std::chrono::seconds(args["seconds"].as<unsigned>()), 5min);
    if (mode == "check")
        return load.check(requests);
    if (mode == "sustain")
        return load.sustain(length, args["rate"].as<double>());
    if (mode == "throughput")
        return load.throughput(length, args["at-once"].as<std::size_t>());
    config::Endpoint direct;
    config::parseEndpoint(args["direct"].as<std::string>(), direct);
    return load.latency(direct, requests);
}

} // namespace

int main(int argc, char** argv)
{
    cxxopts::Options options("foxtailwheel-load", "Bounded load on loopback against the stand-ins' answers.\n");
    options.add_options()("callers", "callers' addresses", cxxopts::value<std::vector<std::string>>())(
        "credential", "credential of a client account", cxxopts::value<std::string>())(
        "mode", "check, sustain, latency or throughput", cxxopts::value<std::string>()->default_value("check"))(
        "requests", "requests (check, latency)", cxxopts::value<std::uint64_t>()->default_value("1000"))(
        "seconds", "length (sustain, throughput)", cxxopts::value<unsigned>()->default_value("10"))(
        "rate", "requests a second (sustain)", cxxopts::value<double>()->default_value("200"))(
        "at-once", "requests in progress (throughput)", cxxopts::value<std::size_t>()->default_value("32"))("direct",
        "address of a backend stand-in (latency)",
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
