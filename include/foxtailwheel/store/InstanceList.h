#pragma once

#include "foxtailwheel/base/Ids.h"
#include "foxtailwheel/base/Units.h"
#include "foxtailwheel/config/Settings.h"

#include <functional>
#include <string>
#include <vector>

namespace foxtailwheel::store {

/// @brief An entry of the platform's instance list.
struct ListedInstance {
    InstanceId id;
    config::Endpoint endpoint; ///< Address at which other instances connect to it.
    AvailabilityZoneId zone;
    std::string region;
    bool leaving = false;
};

/// @brief Outcome of `InstanceList::fetch`.
struct InstanceListResult {
    bool succeeded = false; ///< False if the request failed or the response could not be parsed.
    std::vector<ListedInstance> instances;
    std::vector<BackendServerId> leavingServers; ///< Backend servers that are leaving.
};

/// @brief The platform's registry of live and leaving instances. It is eventually consistent, so entries may be stale.
class InstanceList {
public:
    virtual ~InstanceList() = default;
    /// @brief Reads the list; `done` is called exactly once.
    virtual void fetch(TimePoint deadline, std::function<void(InstanceListResult)> done) = 0;
    /// @brief Registers this instance, or renews its registration.
    virtual void announce(const ListedInstance& self, TimePoint deadline) = 0;
};

} // namespace foxtailwheel::store
