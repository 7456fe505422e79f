#include "OrderService.h"

#include "foxtailwheel/base/Json.h"
#include "foxtailwheel/telemetry/Log.h"

namespace foxtailwheel::daemon {

namespace {

    using namespace std::chrono_literals;

    constexpr Duration tableTimeout = 1s;
    /// Shorter than `LeaseOptions::longestOrder`, which a new holder waits out.
    constexpr Duration orderTimeout = 4s;
    constexpr Duration repeatPeriod = 30s;
    /// Orders on their way at once: the weight store serves few loads at a time.
    constexpr std::size_t mostOrders = 2;

} // namespace

/// One pool with its lease and what its engines were told.
struct OrderService::Pool {
    Pool(const ServiceId& id, const InstanceId& self)
        : lease(id, self, {})
    {
    }

    struct Told {
        std::string model;
        TimePoint at;
    };

    std::mutex mutex;
    control::Lease lease;
    std::map<BackendServerId, Told> told;
    std::set<BackendServerId> onTheirWay;
};

OrderService::OrderService(store::Table& table, http::Client& client, const Clock& clock,
    serving::Dispatcher& dispatcher, telemetry::Metrics& metrics, InstanceId self)
    : m_table(table)
    , m_client(client)
    , m_clock(clock)
    , m_dispatcher(dispatcher)
    , m_metrics(metrics)
    , m_self(std::move(self))
{
}

void OrderService::tick(const std::function<bool(const ServiceId&)>& contends)
{
    const auto catalog = m_dispatcher.catalog();
    if (!catalog)
        return;
    for (const auto& service : catalog->declarations->services) {
        if (service.model.empty() || !contends(service.id))
            continue;
        std::shared_ptr<Pool> pool;
        {
            const std::lock_guard lock(m_mutex);
            auto& known = m_pools[service.id];
            if (!known)
                known = std::make_shared<Pool>(service.id, m_self);
            pool = known;
        }
        advance(pool);
        order(pool, service);
    }
}

void OrderService::advance(const std::shared_ptr<Pool>& pool)
{
    const std::lock_guard lock(pool->mutex);
    const auto now = m_clock.now();
    switch (pool->lease.step(now)) {
    case control::LeaseStep::None:
        return;
    case control::LeaseStep::Read:
        pool->lease.beginRead();
        m_table.read(pool->lease.key(), now + tableTimeout, [this, pool](const store::ReadResult& result) {
            const std::lock_guard inner(pool->mutex);
            pool->lease.onRead(result, m_clock.now());
        });
        return;
    case control::LeaseStep::Write:
        m_table.transact(
            pool->lease.beginWrite(now), now + tableTimeout, [this, pool](const store::TransactResult& result) {
                const std::lock_guard inner(pool->mutex);
                pool->lease.onWrite(result, m_clock.now());
            });
        return;
    }
}

void OrderService::order(const std::shared_ptr<Pool>& pool, const config::Service& service)
{
    const std::lock_guard lock(pool->mutex);
    const bool checked = service.fencing == config::Fencing::Checked;
    for (const auto& server : service.servers) {
        const auto now = m_clock.now();
        // Asked again right before each order.
        const auto fencing = pool->lease.mayOrder(now, checked);
        if (!fencing || pool->onTheirWay.size() >= mostOrders)
            return;
        const auto it = pool->told.find(server.id);
        const bool done
            = it != pool->told.end() && it->second.model == service.model && now - it->second.at < repeatPeriod;
        if (done || pool->onTheirWay.contains(server.id))
            continue;
        pool->onTheirWay.insert(server.id);
        send(pool, service, server, *fencing);
    }
}

void OrderService::send(const std::shared_ptr<Pool>& pool, const config::Service& service,
    const config::BackendServer& server, FencingNumber fencing)
{
    const nlohmann::json body { { "model", service.model }, { "fencing", fencing.value() } };
    const auto until = m_clock.now() + orderTimeout;
    http::CallRequest call { { server.host, server.port },
        { "POST", "/v1/orders", { { "Content-Type", "application/json" } }, body.dump() }, until, until, false };
    http::CallEvents events;
    events.onDone = [this, pool, id = server.id, model = service.model](const http::CallResult& result) {
        const bool taken = result.end == http::CallEnd::Complete && result.response.status == 200;
        m_metrics.count("foxtailwheel_orders_total", { { "result", taken ? "taken" : "refused" } });
        const std::lock_guard lock(pool->mutex);
        pool->onTheirWay.erase(id);
        if (taken)
            pool->told[id] = { model, m_clock.now() };
    };
    m_client.start(std::move(call), std::move(events));
}

} // namespace foxtailwheel::daemon
