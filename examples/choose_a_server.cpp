// Distributes calls over a pool of backend servers; the slow server receives fewer of them.
#include "foxtailwheel/routing/ServerPool.h"

#include <iostream>
#include <map>

using namespace foxtailwheel;
using namespace std::chrono_literals;

int main()
{
    config::Service service;
    service.id = ServiceId("encode");
    service.typicalTime = 10ms;
    service.concurrency = 4;
    for (const auto* name : { "fast-1", "fast-2", "slow" })
        service.servers.push_back({ BackendServerId(name), "127.0.0.1", 9000, AvailabilityZoneId("a") });
    routing::PoolOptions options;
    options.self = InstanceId("example");
    options.zone = AvailabilityZoneId("a");
    const auto pool = routing::ServerPool::create(service, {}, options);

    std::map<BackendServerId, int> calls;
    TimePoint now(1h);
    for (int i = 0; i < 300; ++i, now += 10ms) {
        const auto placement = pool->place({}, now);
        const auto& id = placement->server.id;
        ++calls[id];
        const Duration latency = id == BackendServerId("slow") ? 80ms : 10ms;
        pool->onCallEnded(id, { routing::CallOutcome::Success, latency, {} }, now);
    }
    for (const auto& it : calls)
        std::cout << it.first << " " << it.second << "\n";
    return 0;
}
