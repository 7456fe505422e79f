#include "LoadPoller.h"

#include "LoadHeader.h"
#include "foxtailwheel/base/Json.h"

#include <algorithm>

namespace foxtailwheel::daemon {

namespace {

    using namespace std::chrono_literals;

    constexpr Duration pollTimeout = 800ms;
    constexpr Duration maxReportAge = 1s;
    constexpr std::size_t maxLoadPolls = 8;
    constexpr std::size_t maxCacheEventPolls = 4;

} // namespace

LoadPoller::LoadPoller(http::Client& client, const Clock& clock, serving::Dispatcher& dispatcher)
    : m_client(client)
    , m_clock(clock)
    , m_dispatcher(dispatcher)
{
}

std::vector<LoadPoller::Target> LoadPoller::selectStalest(const serving::ConfigSnapshot& snapshot, bool enginesOnly,
    std::map<BackendServerId, TimePoint>& polledAt, std::size_t maxCount)
{
    std::vector<Target> targets;
    const auto now = m_clock.now();
    for (const auto& service : snapshot.declarations->services) {
        if (enginesOnly && service.kind != config::ServiceKind::ModelEngine)
            continue;
        for (const auto& it : snapshot.pools.at(service.id)->status()) {
            const auto updatedAt = std::max(polledAt[it.server.id], enginesOnly ? TimePoint() : it.reportedAt);
            if (it.inSubset && now - updatedAt >= maxReportAge)
                targets.push_back({ service.id, it.server, updatedAt });
        }
    }
    std::sort(
        targets.begin(), targets.end(), [](const Target& a, const Target& b) { return a.updatedAt < b.updatedAt; });
    targets.resize(std::min(maxCount, targets.size()));
    for (const auto& it : targets)
        polledAt[it.server.id] = now;
    return targets;
}

void LoadPoller::poll()
{
    const auto snapshot = m_dispatcher.snapshot();
    if (!snapshot)
        return;
    for (const auto& it : selectStalest(*snapshot, false, m_loadPolledAt, maxLoadPolls))
        pollLoad(it.service, it.server);
    for (const auto& it : selectStalest(*snapshot, true, m_eventsPolledAt, maxCacheEventPolls))
        pollCacheEvents(it.service, it.server);
}

void LoadPoller::pollLoad(const ServiceId& service, const config::BackendServer& server)
{
    const auto deadline = m_clock.now() + pollTimeout;
    http::CallRequest call { { server.host, server.port }, { "GET", "/v1/load", {}, {} }, deadline, deadline, true };
    http::CallCallbacks callbacks;
    callbacks.onDone = [this, service, server](const http::CallResult& result) {
        if (result.outcome != http::TransportOutcome::Complete)
            return;
        routing::LoadReport report;
        report.measuredAt = m_clock.now();
        if (parseLoadHeader(result.response.headers, report))
            m_dispatcher.onLoadReport(service, server.id, report);
        if (result.response.status == 200)
            m_dispatcher.onServerChecked(service, server, m_clock.now());
    };
    m_client.start(std::move(call), std::move(callbacks));
}

void LoadPoller::pollCacheEvents(const ServiceId& service, const config::BackendServer& server)
{
    std::uint64_t after = 0;
    {
        const std::lock_guard lock(m_mutex);
        after = m_lastEventSequence[server.id];
    }
    const auto deadline = m_clock.now() + pollTimeout;
    http::CallRequest call { { server.host, server.port },
        { "GET", "/v1/cache-events?after=" + std::to_string(after), {}, {} }, deadline, deadline, true };
    http::CallCallbacks callbacks;
    callbacks.onDone = [this, service, id = server.id](const http::CallResult& result) {
        if (result.outcome != http::TransportOutcome::Complete || result.response.status != 200)
            return;
        const auto body = parseJson(result.response.body);
        for (const auto& it : arrayAt(body, "events")) {
            const routing::CacheEvent event { unsignedAt(it, "sequence"), unsignedAt(it, "prefix"),
                flagAt(it, "evicted") };
            m_dispatcher.onCacheEvent(service, id, event);
            const std::lock_guard lock(m_mutex);
            m_lastEventSequence[id] = std::max(m_lastEventSequence[id], event.sequence);
        }
    };
    m_client.start(std::move(call), std::move(callbacks));
}

} // namespace foxtailwheel::daemon
