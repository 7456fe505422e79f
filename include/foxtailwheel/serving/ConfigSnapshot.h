#pragma once

#include "foxtailwheel/base/Ids.h"
#include "foxtailwheel/config/Declarations.h"
#include "foxtailwheel/pipeline/Plan.h"
#include "foxtailwheel/routing/ServerPool.h"

#include <memory>
#include <string>
#include <unordered_map>

namespace foxtailwheel::serving {

/// @brief Immutable snapshot of one accepted configuration, with the indexes that requests are served from.
struct ConfigSnapshot {
    ConfigVersion version;
    std::shared_ptr<const config::Declarations> declarations;
    std::unordered_map<PipelineId, std::shared_ptr<const pipeline::Plan>> plans;
    std::unordered_map<ServiceId, std::shared_ptr<routing::ServerPool>> pools;
    std::unordered_map<ClientAccountId, const config::ClientAccount*> accounts;
    std::unordered_map<std::string, const config::ClientAccount*> credentials; ///< Keyed by credential SHA-256.
};

/// @brief Builds the snapshot of a configuration. Pools of services that still exist are reused from `previous`.
/// @param previous The snapshot active until now, or null.
std::shared_ptr<const ConfigSnapshot> makeConfigSnapshot(ConfigVersion version,
    std::shared_ptr<const config::Declarations> declarations, const ConfigSnapshot* previous,
    const routing::PoolOptions& options);

} // namespace foxtailwheel::serving
