#include "foxtailwheel/serving/BatchForecast.h"

#include <algorithm>

namespace foxtailwheel::serving {

namespace {

    /// Share of a new call in the smoothed slowness: about the last ten calls count.
    constexpr double smoothing = 0.1;
    /// Part of the servers that is left to a piece at the least, however much of more urgent work comes in.
    constexpr double leastShare = 0.03;

} // namespace

BatchForecast::BatchForecast(const config::BatchLimits& limits)
    : m_limits(limits)
{
}

void BatchForecast::arrived(std::uint32_t priority, std::size_t pieces, TimePoint now)
{
    m_arrivals[priority].add(static_cast<double>(pieces), now);
}

void BatchForecast::answered(std::size_t pieces, Duration time)
{
    const auto declared = m_limits.callTime + m_limits.pieceTime * pieces;
    if (declared <= Duration {})
        return;
    const double ratio = std::clamp(toSeconds(time) / toSeconds(declared), 0.3, 5.0);
    m_slowness += smoothing * (ratio - m_slowness);
}

Duration BatchForecast::callTime(std::size_t pieces) const
{
    return fromSeconds(m_slowness * toSeconds(m_limits.callTime + m_limits.pieceTime * pieces));
}

double BatchForecast::capacity(double servers) const
{
    const auto full = toSeconds(callTime(m_limits.pieces));
    return full <= 0 ? 1e9 : servers * m_limits.pieces / full;
}

Duration BatchForecast::wait(std::uint32_t priority, bool late, std::size_t ahead, double servers, TimePoint now) const
{
    double urgent = 0;
    for (const auto& it : m_arrivals) {
        if (late || it.first < priority)
            urgent += it.second.perSecond(now);
    }
    const double whole = capacity(servers);
    const double left = std::max(whole - urgent, whole * leastShare);
    const auto inCall = std::min<std::size_t>(ahead, m_limits.pieces);
    const double queued = static_cast<double>(ahead - inCall);
    return fromSeconds(queued / std::max(left, 1e-3)) + callTime(inCall);
}

} // namespace foxtailwheel::serving
