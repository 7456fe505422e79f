#pragma once

#include "foxtailwheel/base/Clock.h"
#include "foxtailwheel/control/Lease.h"
#include "foxtailwheel/http/Client.h"
#include "foxtailwheel/serving/Dispatcher.h"
#include "foxtailwheel/store/Table.h"
#include "foxtailwheel/telemetry/Metrics.h"

#include <map>
#include <memory>
#include <mutex>
#include <set>

namespace foxtailwheel::daemon {

/// @brief Orders the model engines of each pool to load the declared model; one lease for each pool selects the
/// instance that sends the orders.
///
/// Orders are level-triggered and idempotent: the declared model is sent until the engine accepts it, and periodically
/// after that.
class OrderService {
public:
    OrderService(store::Table& table, http::Client& client, const Clock& clock, serving::Dispatcher& dispatcher,
        telemetry::Metrics& metrics, InstanceId self);

    /// @brief Advances the leases and sends due orders; called once a second.
    /// @param isContender Returns whether this instance is one of the few that contend for a pool's lease.
    void tick(const std::function<bool(const ServiceId&)>& isContender);

private:
    struct Pool;

    void advanceLease(const std::shared_ptr<Pool>& pool);
    void sendDueOrders(const std::shared_ptr<Pool>& pool, const config::Service& service);
    void sendOrder(const std::shared_ptr<Pool>& pool, const config::Service& service,
        const config::BackendServer& server, FencingToken fencing);

    store::Table& m_table;
    http::Client& m_client;
    const Clock& m_clock;
    serving::Dispatcher& m_dispatcher;
    telemetry::Metrics& m_metrics;
    InstanceId m_self;
    std::mutex m_mutex;
    std::map<ServiceId, std::shared_ptr<Pool>> m_pools;
};

} // namespace foxtailwheel::daemon
