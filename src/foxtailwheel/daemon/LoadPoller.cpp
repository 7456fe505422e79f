#include "LoadPoller.h"

#include "LoadHeader.h"
#include "foxtailwheel/base/Json.h"

#include <algorithm>

namespace foxtailwheel::daemon {

namespace {

    using namespace std::chrono_literals;

    constexpr Duration pollTimeout = 800ms;
    constexpr Duration freshReport = 1s;
    constexpr std::size_t loadsAskedAtOnce = 8;
    constexpr std::size_t eventsAskedAtOnce = 4;

} // namespace

LoadPoller::LoadPoller(http::Client& client, const Clock& clock, serving::Dispatcher& dispatcher)
    : m_client(client)
    , m_clock(clock)
    , m_dispatcher(dispatcher)
{
}

std::vector<LoadPoller::Target> LoadPoller::stalest(
    const serving::Catalog& catalog, bool enginesOnly, std::map<BackendServerId, TimePoint>& asked, std::size_t most)
{
    std::vector<Target> targets;
    const auto now = m_clock.now();
    for (const auto& service : catalog.declarations->services) {
        if (enginesOnly && service.kind != config::ServiceKind::ModelEngine)
            continue;
        for (const auto& it : catalog.pools.at(service.id)->status()) {
            const auto heardAt = std::max(asked[it.server.id], enginesOnly ? TimePoint() : it.reportedAt);
            if (it.inSubset && now - heardAt >= freshReport)
                targets.push_back({ service.id, it.server, heardAt });
        }
    }
    std::sort(targets.begin(), targets.end(), [](const Target& a, const Target& b) { return a.heardAt < b.heardAt; });
    targets.resize(std::min(most, targets.size()));
    for (const auto& it : targets)
        asked[it.server.id] = now;
    return targets;
}

void LoadPoller::poll()
{
    const auto catalog = m_dispatcher.catalog();
    if (!catalog)
        return;
    for (const auto& it : stalest(*catalog, false, m_loadAskedAt, loadsAskedAtOnce))
        askLoad(it.service, it.server);
    for (const auto& it : stalest(*catalog, true, m_eventsAskedAt, eventsAskedAtOnce))
        askCacheEvents(it.service, it.server);
}

void LoadPoller::askLoad(const ServiceId& service, const config::BackendServer& server)
{
    const auto until = m_clock.now() + pollTimeout;
    http::CallRequest call { { server.host, server.port }, { "GET", "/v1/load", {}, {} }, until, until, true };
    http::CallEvents events;
    events.onDone = [this, service, id = server.id](const http::CallResult& result) {
        routing::LoadReport report;
        report.measuredAt = m_clock.now();
        if (result.end == http::CallEnd::Complete && readLoadHeader(result.response.headers, report))
            m_dispatcher.onLoadReport(service, id, report);
    };
    m_client.start(std::move(call), std::move(events));
}

void LoadPoller::askCacheEvents(const ServiceId& service, const config::BackendServer& server)
{
    std::uint64_t after = 0;
    {
        const std::lock_guard lock(m_mutex);
        after = m_lastEvent[server.id];
    }
    const auto until = m_clock.now() + pollTimeout;
    http::CallRequest call { { server.host, server.port },
        { "GET", "/v1/cache-events?after=" + std::to_string(after), {}, {} }, until, until, true };
    http::CallEvents events;
    events.onDone = [this, service, id = server.id](const http::CallResult& result) {
        if (result.end != http::CallEnd::Complete || result.response.status != 200)
            return;
        const auto body = nlohmann::json::parse(result.response.body, nullptr, false);
        for (const auto& it : arrayAt(body, "events")) {
            const routing::CacheEvent event { countAt(it, "sequence"), countAt(it, "prefix"), flagAt(it, "evicted") };
            m_dispatcher.onCacheEvent(service, id, event);
            const std::lock_guard lock(m_mutex);
            m_lastEvent[id] = std::max(m_lastEvent[id], event.sequence);
        }
    };
    m_client.start(std::move(call), std::move(events));
}

} // namespace foxtailwheel::daemon
