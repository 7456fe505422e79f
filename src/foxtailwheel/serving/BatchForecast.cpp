#include "foxtailwheel/serving/BatchForecast.h"

#include <algorithm>
#include <cmath>

namespace foxtailwheel::serving {

namespace {

    /// Weight of a new call in the exponentially smoothed call time ratio; roughly averages the last ten calls.
    constexpr double smoothingFactor = 0.1;
    /// Minimum share of the throughput that is assumed for a piece, whatever the arrival rate of more urgent pieces.
    constexpr double minThroughputShare = 0.03;

} // namespace

BatchForecast::BatchForecast(const config::BatchLimits& limits)
    : m_limits(limits)
{
}

void BatchForecast::recordArrival(std::uint32_t priority, std::size_t pieces, TimePoint now)
{
    m_arrivals[priority].add(static_cast<double>(pieces), now);
}

void BatchForecast::recordCall(std::size_t pieces, Duration time)
{
    const auto declared = m_limits.callTime + m_limits.pieceTime * pieces;
    if (declared <= Duration {})
        return;
    const double ratio = std::clamp(toSeconds(time) / toSeconds(declared), 0.3, 5.0);
    m_callTimeRatio += smoothingFactor * (ratio - m_callTimeRatio);
}

Duration BatchForecast::callTime(std::size_t pieces) const
{
    return fromSeconds(m_callTimeRatio * toSeconds(m_limits.callTime + m_limits.pieceTime * pieces));
}

/// Returns the number of pieces of a call of a busy server. A server that is busy all the time with calls of n pieces
/// holds the results of a call for the time of the call and the retention, so n is largest where
/// n (callTime(n) + retention) / callTime(n) results fit.
double BatchForecast::piecesPerBusyCall() const
{
    const double most = m_limits.maxPieces;
    if (!m_results)
        return most;
    const double piece = m_callTimeRatio * toSeconds(m_limits.pieceTime);
    const double call = m_callTimeRatio * toSeconds(m_limits.callTime);
    const double fit = m_results->resultsPerServer;
    const double linear = call + toSeconds(m_results->retention) - fit * piece;
    // Positive root of piece * n^2 + linear * n - fit * call = 0.
    const double n = piece > 0 ? (std::sqrt(linear * linear + 4 * piece * fit * call) - linear) / (2 * piece)
                               : fit * call / std::max(linear, 1e-6);
    return std::clamp(n, 1.0, most);
}

double BatchForecast::throughput(double servers) const
{
    const auto pieces = piecesPerBusyCall();
    const auto seconds = m_callTimeRatio * (toSeconds(m_limits.callTime) + toSeconds(m_limits.pieceTime) * pieces);
    return seconds <= 0 ? 1e9 : servers * pieces / seconds;
}

Duration BatchForecast::expectedWait(
    std::uint32_t priority, bool late, std::size_t ahead, double servers, TimePoint now) const
{
    double urgentRate = 0;
    for (const auto& it : m_arrivals) {
        if (late || it.first < priority)
            urgentRate += it.second.perSecond(now);
    }
    const double total = throughput(servers);
    const double available = std::max(total - urgentRate, total * minThroughputShare);
    const auto inCall = std::min<std::size_t>(ahead, m_limits.maxPieces);
    const double queued = static_cast<double>(ahead - inCall);
    return fromSeconds(queued / std::max(available, 1e-3)) + callTime(inCall);
}

} // namespace foxtailwheel::serving
