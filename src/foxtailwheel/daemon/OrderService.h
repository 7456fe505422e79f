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

/// @brief Keeps the model engines of each pool on the declared model, through one lease for each pool.
///
/// Orders are level-triggered: the declared model is told again until the engine has it, and telling it twice does no
/// harm.
class OrderService {
public:
    OrderService(store::Table& table, http::Client& client, const Clock& clock, serving::Dispatcher& dispatcher,
        telemetry::Metrics& metrics, InstanceId self);

    /// @brief Lets time pass; called once a second.
    /// @param contends Says whether this instance is one of the few that contend for a pool's lease.
    void tick(const std::function<bool(const ServiceId&)>& contends);

private:
    struct Pool;

    void advance(const std::shared_ptr<Pool>& pool);
    void order(const std::shared_ptr<Pool>& pool, const config::Service& service);
    void send(const std::shared_ptr<Pool>& pool, const config::Service& service, const config::BackendServer& server,
        FencingNumber fencing);

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
