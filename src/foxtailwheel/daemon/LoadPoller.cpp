#include "LoadPoller.h"

#include "LoadHeader.h"
#include "foxtailwheel/base/Json.h"

namespace foxtailwheel::daemon {

namespace {

    using namespace std::chrono_literals;

    constexpr Duration pollTimeout = 800ms;

} // namespace

LoadPoller::LoadPoller(http::Client& client, const Clock& clock, serving::Dispatcher& dispatcher)
    : m_client(client)
    , m_clock(clock)
    , m_dispatcher(dispatcher)
{
}

void LoadPoller::poll()
{
    const auto catalog = m_dispatcher.catalog();
    if (!catalog)
        return;
    for (const auto& service : catalog->declarations->services) {
        for (const auto& it : catalog->pools.at(service.id)->status()) {
            if (!it.inSubset)
                continue;
            askLoad(service.id, it.server);
            if (service.kind == config::ServiceKind::ModelEngine)
                askCacheEvents(service.id, it.server);
        }
    }
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
