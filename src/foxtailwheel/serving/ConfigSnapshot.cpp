#include "foxtailwheel/serving/ConfigSnapshot.h"

namespace foxtailwheel::serving {

std::shared_ptr<const ConfigSnapshot> makeConfigSnapshot(ConfigVersion version,
    std::shared_ptr<const config::Declarations> declarations, const ConfigSnapshot* previous,
    const routing::PoolOptions& options)
{
    auto snapshot = std::make_shared<ConfigSnapshot>();
    snapshot->version = version;
    snapshot->declarations = std::move(declarations);
    for (const auto& it : snapshot->declarations->pipelines) {
        auto plan = pipeline::makePlan(*snapshot->declarations, it.id);
        if (plan.has_value())
            snapshot->plans.emplace(it.id, std::make_shared<const pipeline::Plan>(std::move(plan).value()));
    }
    for (const auto& it : snapshot->declarations->services) {
        std::shared_ptr<routing::ServerPool> pool;
        if (previous != nullptr && previous->pools.contains(it.id))
            pool = previous->pools.at(it.id);
        if (pool)
            pool->update(it, *snapshot->declarations);
        else
            pool = routing::ServerPool::create(it, *snapshot->declarations, options);
        snapshot->pools.emplace(it.id, std::move(pool));
    }
    for (const auto& it : snapshot->declarations->accounts) {
        snapshot->accounts.emplace(it.id, &it);
        snapshot->credentials.emplace(it.credentialSha256, &it);
    }
    return snapshot;
}

} // namespace foxtailwheel::serving
