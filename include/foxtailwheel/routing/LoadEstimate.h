#pragma once

#include "foxtailwheel/base/Units.h"

#include <cstdint>
#include <vector>

namespace foxtailwheel::routing {

/// @brief What a backend server says about its own load.
struct LoadReport {
    std::uint32_t running = 0; ///< Calls being worked on.
    std::uint32_t queued = 0; ///< Calls waiting at the server.
    TimePoint measuredAt; ///< When it was measured, on this instance's clock.
};

/// @brief Estimate of the calls at one backend server: own calls are exact, those of others come from lagging reports.
class LoadEstimate {
public:
    /// @brief An own call was sent.
    void started(TimePoint now);
    /// @brief An own call ended.
    void finished(TimePoint now);
    /// @brief Takes a report; one older than the last is ignored.
    void report(const LoadReport& report);
    /// @brief Own calls in progress.
    std::uint32_t own() const { return m_own; }
    /// @brief Calls of other instances at the time of the last report.
    double others() const { return m_others; }
    /// @brief When the last report was measured.
    TimePoint reportedAt() const { return m_reportedAt; }
    /// @brief Calls of all instances as last reported.
    double reported() const { return m_reported; }
    /// @brief Calls at the server now, this instance's included.
    double total() const { return m_others + m_own; }

private:
    struct Sample {
        TimePoint at;
        std::uint32_t own = 0;
    };

    static constexpr std::size_t historyLength = 64;

    void remember(TimePoint now);
    std::uint32_t ownAt(TimePoint at) const;

    std::vector<Sample> m_history; ///< Empty until the first own call, since most servers of a large pool get none.
    std::size_t m_next = 0;
    std::uint32_t m_own = 0;
    double m_others = 0;
    double m_reported = 0;
    TimePoint m_reportedAt {};
};

} // namespace foxtailwheel::routing
