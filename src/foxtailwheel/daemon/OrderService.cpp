#include "OrderService.h"

#include "foxtailwheel/base/Json.h"
#include "foxtailwheel/telemetry/Log.h"

namespace foxtailwheel::daemon {

namespace {

    using namespace std::chrono_literals;

    constexpr Duration tableTimeout = 1s;
    /// Shorter than `LeaseOptions::maxOrderDuration`, the time that a new lease holder waits for earlier orders to end.
    constexpr Duration orderTimeout = 4s;
    constexpr Duration resendPeriod = 30s;
    /// Concurrent orders of a pool: the weight store serves few loads at a time.
    constexpr std::size_t maxOrdersInFlight = 2;

} // namespace

/// A pool with its lease, the last accepted orders of its engines, and the orders in flight.
struct OrderService::Pool {
    Pool(const ServiceId& id, const InstanceId& self)
        : lease(id, self, {})
    {
    }

    struct AcceptedOrder {
        std::string model;
        TimePoint acceptedAt;
    };

    std::mutex mutex;
    control::Lease lease;
    std::map<BackendServerId, AcceptedOrder> acceptedOrders;
    std::set<BackendServerId> ordersInFlight;
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

void OrderService::tick(const std::function<bool(const ServiceId&)>& isContender)
{
    const auto snapshot = m_dispatcher.snapshot();
    if (!snapshot)
        return;
    for (const auto& service : snapshot->declarations->services) {
        if (service.model.empty() || !isContender(service.id))
            continue;
        std::shared_ptr<Pool> pool;
        {
            const std::lock_guard lock(m_mutex);
            auto& entry = m_pools[service.id];
            if (!entry)
                entry = std::make_shared<Pool>(service.id, m_self);
            pool = entry;
        }
        advanceLease(pool);
        sendDueOrders(pool, service);
    }
}

void OrderService::advanceLease(const std::shared_ptr<Pool>& pool)
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

void OrderService::sendDueOrders(const std::shared_ptr<Pool>& pool, const config::Service& service)
{
    const std::lock_guard lock(pool->mutex);
    const bool fencingChecked = service.fencing == config::Fencing::Checked;
    for (const auto& server : service.servers) {
        const auto now = m_clock.now();
        // Checked before each order, because the lease may expire in between.
        const auto fencing = pool->lease.currentFencingToken(now, fencingChecked);
        if (!fencing || pool->ordersInFlight.size() >= maxOrdersInFlight)
            return;
        const auto it = pool->acceptedOrders.find(server.id);
        const bool upToDate = it != pool->acceptedOrders.end() && it->second.model == service.model
            && now - it->second.acceptedAt < resendPeriod;
        if (upToDate || pool->ordersInFlight.contains(server.id))
            continue;
        pool->ordersInFlight.insert(server.id);
        sendOrder(pool, service, server, *fencing);
    }
}

void OrderService::sendOrder(const std::shared_ptr<Pool>& pool, const config::Service& service,
    const config::BackendServer& server, FencingToken fencing)
{
    const nlohmann::json body { { "model", service.model }, { "fencing", fencing.value() } };
    const auto deadline = m_clock.now() + orderTimeout;
    http::CallRequest call { { server.host, server.port },
        { "POST", "/v1/orders", { { "Content-Type", "application/json" } }, body.dump() }, deadline, deadline, false };
    http::CallCallbacks callbacks;
    callbacks.onDone = [this, pool, id = server.id, model = service.model](const http::CallResult& result) {
        const bool accepted = result.outcome == http::TransportOutcome::Complete && result.response.status == 200;
        m_metrics.increment("foxtailwheel_orders_total", { { "result", accepted ? "taken" : "refused" } });
        const std::lock_guard lock(pool->mutex);
        pool->ordersInFlight.erase(id);
        if (accepted)
            pool->acceptedOrders[id] = { model, m_clock.now() };
    };
    m_client.start(std::move(call), std::move(callbacks));
}

} // namespace foxtailwheel::daemon
