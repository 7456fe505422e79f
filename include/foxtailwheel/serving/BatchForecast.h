#pragma once

#include "foxtailwheel/base/Units.h"
#include "foxtailwheel/config/Routes.h"
#include "foxtailwheel/limits/RateMeter.h"
#include "foxtailwheel/serving/ResultCapacity.h"

#include <cstdint>
#include <map>

namespace foxtailwheel::serving {

/// @brief Predicts how long pieces wait, based on the arrival rates and on the measured duration of calls.
///
/// More urgent pieces that arrive later are sent first, so a piece only gets the throughput that they leave unused. Not
/// thread-safe.
class BatchForecast {
public:
    explicit BatchForecast(const config::BatchLimits& limits);

    void setLimits(const config::BatchLimits& limits) { m_limits = limits; }
    /// @brief Sets whether arrivals above the usual rate are expected to end within seconds, as those of a burst do.
    /// Otherwise the rate of the last second is expected to last.
    void setExpectsBurstsToEnd(bool expects) { m_expectsBurstsToEnd = expects; }
    /// @brief Records the arrival of pieces of one priority that can meet their latency target.
    void recordArrival(std::uint32_t priority, std::size_t pieces, TimePoint now);
    /// @brief Records the duration of a call that was answered.
    void recordCall(std::size_t pieces, Duration time);
    /// @brief Returns the expected duration of a call with `pieces` pieces, based on recent calls.
    Duration callTime(std::size_t pieces) const;
    /// @brief Sets how results occupy the servers, which limits the calls; empty if it does not.
    void setResultsPerServer(std::optional<ResultCapacity::Usage> usage) { m_results = usage; }
    /// @brief Returns the pieces per second that `servers` busy servers process, with calls that are as full as the
    /// capacity for results allows.
    double throughput(double servers) const;
    /// @brief Returns the expected time until pieces with `ahead` pieces before them are processed.
    /// @param late They cannot meet their latency target, so that all others are sent first.
    /// @param ahead Queued pieces that are sent first, including the pieces in question.
    /// @param servers Number of concurrent calls.
    Duration expectedWait(std::uint32_t priority, bool late, std::size_t ahead, double servers, TimePoint now) const;

private:
    /// Arrivals of one priority.
    struct Arrivals {
        limits::RateMeter recent;
        limits::RateMeter usual;
        TimePoint firstAt;

        double usualPerSecond(TimePoint now) const;
    };

    double piecesPerBusyCall() const;
    Duration timeUntilProcessed(double pieces, double throughput, double urgentRate, double usualRate) const;

    config::BatchLimits m_limits;
    std::map<std::uint32_t, Arrivals> m_arrivals; ///< By priority.
    bool m_expectsBurstsToEnd = false;
    std::optional<ResultCapacity::Usage> m_results;
    double m_callTimeRatio = 1; ///< Ratio of measured to declared call duration, exponentially smoothed.
};

} // namespace foxtailwheel::serving
