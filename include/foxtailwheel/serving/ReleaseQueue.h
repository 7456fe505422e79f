#pragma once

#include "foxtailwheel/base/Units.h"
#include "foxtailwheel/config/Settings.h"
#include "foxtailwheel/serving/PieceBroker.h"

#include <functional>
#include <map>
#include <optional>
#include <vector>

namespace foxtailwheel::serving {

/// @brief Collects releases of results, so that those for the same server leave in one call, and holds them back while
/// the server wants no calls. Not thread-safe.
class ReleaseQueue {
public:
    /// @brief Returns the time until which the producer of a result is paused; empty if it is not.
    using PausedUntil = std::function<std::optional<TimePoint>(const ServiceId&, const BackendServerId&)>;

    void add(const ReleaseResults& release, TimePoint now);
    /// @brief Drops the releases for servers in zones for which `isDrained` is true: results expire by themselves.
    void dropIf(const std::function<bool(const AvailabilityZoneId&)>& isDrained);
    /// @brief Removes and returns the releases that can be sent now. Those for a server that is paused for longer than
    /// results last are dropped.
    std::vector<ReleaseResults> takeDue(TimePoint now, const PausedUntil& pausedUntil);
    /// @brief Returns the time of the next release; empty if there is none.
    std::optional<TimePoint> nextDueAt() const;

private:
    struct Entry {
        ReleaseResults release;
        TimePoint dueAt;
    };

    std::map<config::Endpoint, Entry> m_entries;
};

} // namespace foxtailwheel::serving
