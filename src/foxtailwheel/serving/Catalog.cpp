#include "foxtailwheel/serving/Catalog.h"

namespace foxtailwheel::serving {

std::shared_ptr<const Catalog> makeCatalog(ConfigVersion version,
    std::shared_ptr<const config::Declarations> declarations, const Catalog* previous,
    const routing::PoolOptions& options)
{
    auto catalog = std::make_shared<Catalog>();
    catalog->version = version;
    catalog->declarations = std::move(declarations);
    for (const auto& it : catalog->declarations->pipelines) {
        auto plan = pipeline::makePlan(*catalog->declarations, it.id);
        if (plan.has_value())
            catalog->plans.emplace(it.id, std::make_shared<const pipeline::Plan>(std::move(plan).value()));
    }
    for (const auto& it : catalog->declarations->services) {
        std::shared_ptr<routing::ServerPool> pool;
        if (previous != nullptr && previous->pools.contains(it.id))
            pool = previous->pools.at(it.id);
        if (pool)
            pool->update(it, *catalog->declarations);
        else
            pool = routing::ServerPool::create(it, *catalog->declarations, options);
        catalog->pools.emplace(it.id, std::move(pool));
    }
    for (const auto& it : catalog->declarations->accounts) {
        catalog->accounts.emplace(it.id, &it);
        catalog->credentials.emplace(it.credentialSha256, &it);
    }
    return catalog;
}

} // namespace foxtailwheel::serving
