#pragma once

#include "foxtailwheel/base/Units.h"

#include <cstdint>
#include <vector>

namespace foxtailwheel::routing {

/// @brief Load that a backend server reports.
struct LoadReport {
    std::uint32_t running = 0; ///< Calls in execution.
    std::uint32_t queued = 0; ///< Calls in the queue of the server.
    TimePoint measuredAt; ///< Time of the measurement by the clock of this instance.
};

/// @brief Estimated number of calls at one backend server. Calls of this instance are counted exactly; calls of other
/// instances are derived from load reports, which arrive late.
class LoadEstimate {
public:
    /// @brief Counts a call that this instance sent to the server.
    void onCallStarted(TimePoint now);
    /// @brief Removes a call of this instance that ended from the count.
    void onCallEnded(TimePoint now);
    /// @brief Applies a load report; a report that is not newer than the last is ignored.
    void onReport(const LoadReport& report);
    /// @brief Returns the calls of this instance in progress.
    std::uint32_t ownCalls() const { return m_ownCalls; }
    /// @brief Returns the calls of other instances at the time of the last report.
    double otherCalls() const { return m_otherCalls; }
    /// @brief Returns the measurement time of the last report.
    TimePoint reportedAt() const { return m_reportedAt; }
    /// @brief Returns the calls of all instances according to the last report.
    double reportedCalls() const { return m_reportedCalls; }
    /// @brief Returns the estimated calls at the server now, including those of this instance.
    double totalCalls() const { return m_otherCalls + m_ownCalls; }

private:
    struct Sample {
        TimePoint at;
        std::uint32_t ownCalls = 0;
    };

    static constexpr std::size_t historyLength = 64;

    void recordSample(TimePoint now);
    std::uint32_t ownCallsAt(TimePoint at) const;

    std::vector<Sample>
        m_history; ///< Ring buffer; allocated on the first call, since most servers of a large pool receive none.
    std::size_t m_nextSample = 0;
    std::uint32_t m_ownCalls = 0;
    double m_otherCalls = 0;
    double m_reportedCalls = 0;
    TimePoint m_reportedAt {};
};

} // namespace foxtailwheel::routing
