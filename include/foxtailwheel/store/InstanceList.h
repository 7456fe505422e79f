#pragma once

#include "foxtailwheel/base/Ids.h"
#include "foxtailwheel/base/Units.h"
#include "foxtailwheel/config/Settings.h"

#include <functional>
#include <string>
#include <vector>

namespace foxtailwheel::store {

/// @brief One entry of the platform's list.
struct ListedInstance {
    InstanceId id;
    config::Endpoint peers; ///< Where other instances reach it.
    AvailabilityZoneId zone;
    std::string region;
    bool leaving = false;
};

/// @brief What the list said.
struct ListResult {
    bool answered = false;
    std::vector<ListedInstance> instances;
    std::vector<BackendServerId> leavingServers; ///< Backend servers that are leaving.
};

/// @brief The platform's list of live and leaving instances; it lags.
class InstanceList {
public:
    virtual ~InstanceList() = default;
    /// @brief Reads the list.
    virtual void fetch(TimePoint deadline, std::function<void(ListResult)> done) = 0;
    /// @brief Puts this instance on the list, or renews it.
    virtual void announce(const ListedInstance& self, TimePoint deadline) = 0;
};

} // namespace foxtailwheel::store
